#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "vm/store_era.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstep {

//! The content of the lease's row in the store.
struct lease_record {
    vm_id holder;
    //! Identifies the holder's process; a restarted daemon on the same VM has another one.
    std::uint64_t process = 0;
    //! Increases with each new holder; those of a later era of the store are above all earlier ones.
    std::int64_t fencing_number = 0;
    //! Increases with each renewal and each takeover.
    std::int64_t renewals = 0;
    //! Whether any request has been served since the system started; until then engines may be moved freely.
    bool serving = false;

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

std::string to_text(const lease_record& record);
absl::StatusOr<lease_record> parse_lease(std::string_view text);

//! How long a lease lasts and when it is renewed.
struct lease_times {
    milliseconds duration{4'500};
    milliseconds renew_after{1'500};
    //! The holder stops acting as such this long before other daemons may take over.
    milliseconds margin{1'000};
};

//! One daemon's view of the lease. Clocks of daemons are never compared: a daemon regards another one's lease
//! as expired once it has seen the row unchanged for the lease's duration.
struct lease_state {
    //! The newest row that this daemon has read or written.
    lease_record known;
    //! The store's era, in which the lease has to be taken anew, when it began, and the row that was known
    //! before: its holder may not know of the new era yet.
    store_era era;
    time_point era_began_at{0};
    lease_record before_era;
    //! Version of the row in the store, in this era; 0 if there is no row.
    std::int64_t row_version = 0;
    //! The store's newest version, in this era, when the row or its absence was read last.
    std::int64_t newest_version = 0;
    //! Whether the row, or its absence, has been read at least once.
    bool is_known = false;
    //! When this daemon last saw the row change.
    time_point changed_at{0};
    //! Until when this daemon may act as the holder.
    time_point mine_until{0};
    //! When the last accepted write was sent.
    time_point renewed_at{0};
    //! Whether a write of the row is in flight.
    bool writing = false;
};

//! Records that the store came back from an older copy: the row may be one of before, and this daemon holds
//! the lease no longer.
void begin_era(lease_state& state, store_era era, time_point now);

//! Records that there was no row when the store was at `version`.
void note_lease_absent(lease_state& state, std::int64_t version, time_point now);

//! Records the row as it was read; `version` is the row's version.
void note_lease_row(lease_state& state, const lease_record& record, std::int64_t version, time_point now);

//! Whether this daemon may act as the holder now.
bool holds_lease(const lease_state& state, time_point now);

//! Whether this daemon should write the row now, to renew the lease or to take it over.
bool should_write_lease(const lease_state& state, const lease_times& times, const lease_record& self,
                        time_point now);

//! The row that the holder writes to release the lease, so that another daemon can take over at once. It
//! keeps the fencing number.
lease_record released_lease(const lease_state& state);

//! The row that `self` writes to renew the lease or to take it over.
lease_record next_lease(const lease_state& state, const lease_record& self);

//! Records that the store accepted the write of `written`, which was sent at `sent_at`.
void note_lease_written(lease_state& state, const lease_record& written, std::int64_t version,
                        const lease_times& times, time_point sent_at, time_point now);

} // namespace dandelionstep
