#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/endpoint.hpp"
#include "vm/peer.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! What a daemon that reads the store says of itself there.
struct vm_record {
    vm_id vm;
    data_centre_id data_centre;
    //! Distinguishes the processes that a vm runs one after the other.
    std::uint64_t process = 0;
    //! The configuration that is in force there.
    std::int64_t config_version = -1;
    //! Grows with each renewal.
    std::int64_t renewals = 0;
    //! Where other daemons ask it for what is new; port 0 when nowhere.
    endpoint peers;
    //! How well it can answer others, in Mbit/s; 0 when it does not say.
    double capacity = 0;
    //! The store's newest version when it began to read; of vms that can carry about as much, the lowest is
    //! the senior reader.
    std::int64_t reads_since = 0;
    //! Daemons that get to know of changes from this one.
    std::int64_t followers = 0;
};

std::string to_text(const vm_record& record);
absl::StatusOr<vm_record> parse_vm_record(std::string_view text);

//! The daemons that one daemon knows from their rows in the store.
struct vm_directory {
    struct entry {
        vm_record record;
        std::int64_t row_version = 0;
        //! When this daemon saw the row change last.
        time_point changed_at;
    };
    std::map<vm_id, entry> entries;
};

//! Notes a row as it was read.
void note_vm(vm_directory& directory, const vm_record& record, std::int64_t row_version, time_point now);
//! Forgets the vms whose rows were not among those read.
void keep_only(vm_directory& directory, const std::vector<vm_id>& read);

//! The daemon that counts, and who follows it.
struct vm_self {
    vm_id vm;
    data_centre_id data_centre;
    std::set<vm_id> followers;
};

//! Daemons in all, and in one data centre.
struct vm_counts {
    std::int64_t all = 1;
    std::int64_t in_data_centre = 1;
};

//! Counts `self`, its followers, and the daemons whose rows changed lately with theirs. A daemon that has
//! just begun to follow another may be counted twice, never left out.
vm_counts count_vms(const vm_directory& directory, const vm_self& self, time_point now);

//! Vms whose rows have not changed for so long that they may be removed.
std::vector<vm_id> expired_vms(const vm_directory& directory, time_point now);

//! Who asks whom.
struct reader_query {
    vm_id self;
    data_centre_id data_centre;
    //! Since when `self` reads the store; unset while it follows or has not begun.
    std::optional<std::int64_t> reads_since;
    //! How well `self` can answer others, in Mbit/s.
    double capacity = 0;
    //! Readers that did not answer lately.
    std::set<vm_id> excluded;
};

//! The readers of the data centre that `self` may follow, the senior one first; none when `self` is to read
//! the store. Two readers never choose each other.
std::vector<peer> readers_of(const vm_directory& directory, const reader_query& query, time_point now);

//! How often a daemon renews its row.
inline constexpr milliseconds vm_renew_interval{8'000};

} // namespace dandelionstep
