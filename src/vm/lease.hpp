#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstep {

//! What the lease's row holds.
struct lease_record {
    vm_id holder;
    //! Distinguishes the processes that a vm runs one after the other.
    std::uint64_t process = 0;
    //! Grows with each new holder.
    std::int64_t fencing_number = 0;
    //! Grows with each renewal.
    std::int64_t renewals = 0;
    //! Whether requests have been served since the system started; until then engines may be moved freely.
    bool serving = false;

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

std::string to_text(const lease_record& record);
absl::StatusOr<lease_record> parse_lease(std::string_view text);

//! How long a lease lasts and when it is renewed.
struct lease_times {
    milliseconds duration{4'500};
    milliseconds renew_after{1'500};
    //! By how much the holder stops before others may take over.
    milliseconds margin{1'000};
};

//! One daemon's view of the lease. Clocks of daemons are never compared: a lease has lapsed for others once
//! they have seen its row unchanged for the duration.
struct lease_state {
    lease_record known;
    //! Version of the row; 0 while there is none.
    std::int64_t row_version = 0;
    //! Whether the row has been read at all.
    bool is_known = false;
    //! When this daemon saw the row change last.
    time_point changed_at{0};
    //! Until when this daemon may act as the holder.
    time_point mine_until{0};
    time_point renewed_at{0};
    //! Whether a write is on its way.
    bool writing = false;
};

//! Notes that there was no row when the store was at `version`.
void note_lease_absent(lease_state& state, std::int64_t version, time_point now);

//! Notes the row as it was read.
void note_lease_row(lease_state& state, const lease_record& record, std::int64_t version, time_point now);

//! Whether this daemon may act as the holder now.
bool holds_lease(const lease_state& state, time_point now);

//! Whether this daemon should write the row now, to renew the lease or to take it over.
bool should_write_lease(const lease_state& state, const lease_times& times, const lease_record& self,
                        time_point now);

//! The row by which the holder lets another daemon take over at once; the fencing number stays.
lease_record released_lease(const lease_state& state);

//! The row to write.
lease_record next_lease(const lease_state& state, const lease_record& self);

//! Notes that the write was accepted; it was sent at `sent_at`.
void note_lease_written(lease_state& state, const lease_record& written, std::int64_t version,
                        const lease_times& times, time_point sent_at, time_point now);

} // namespace dandelionstep
