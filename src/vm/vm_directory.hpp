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

//! The row in which a daemon that reads the store describes itself.
struct vm_record {
    vm_id vm;
    data_centre_id data_centre;
    //! Identifies the daemon's process; a restarted daemon on the same VM has another one.
    std::uint64_t process = 0;
    //! Version of the configuration that is in force on the daemon; -1 if there is none.
    std::int64_t config_version = -1;
    //! Increases with each renewal.
    std::int64_t renewals = 0;
    //! Address at which other daemons ask it for updates; the port is 0 if there is none.
    endpoint peers;
    //! Rate at which it can answer other daemons, in Mbit/s; 0 if the row does not say.
    double capacity = 0;
    //! The store's newest version when the daemon began to read. Among VMs of similar capacity, the reader
    //! with the lowest value is the senior one.
    std::int64_t reads_since = 0;
    //! Number of daemons that learn of changes from this one.
    std::int64_t followers = 0;
};

std::string to_text(const vm_record& record);
absl::StatusOr<vm_record> parse_vm_record(std::string_view text);

//! The daemons that one daemon knows from their rows in the store.
struct vm_directory {
    struct entry {
        vm_record record;
        std::int64_t row_version = 0;
        //! When this daemon last saw the row change.
        time_point changed_at;
        //! Whether the row was read in an earlier era of the store, and not since.
        bool is_of_earlier_era = false;
    };
    std::map<vm_id, entry> entries;
};

//! Records a row as it was read.
void note_vm(vm_directory& directory, const vm_record& record, std::int64_t row_version, time_point now);
//! Records that the store came back from an older copy: versions begin anew, and rows that it holds already
//! are no sign of life.
void begin_era(vm_directory& directory);
//! Removes the VMs whose rows were not among those read.
void keep_only(vm_directory& directory, const std::vector<vm_id>& read);

//! The daemon that counts the others, and its followers.
struct vm_self {
    vm_id vm;
    data_centre_id data_centre;
    std::set<vm_id> followers;
};

//! Numbers of daemons, in total and in one data centre.
struct vm_counts {
    std::int64_t all = 1;
    std::int64_t in_data_centre = 1;
};

//! Counts `self`, its followers, and the daemons whose rows changed lately with their followers. A daemon
//! that has just begun to follow another one may be counted twice, but none is left out.
vm_counts count_vms(const vm_directory& directory, const vm_self& self, time_point now);

//! VMs whose rows have not changed for so long that they may be removed.
std::vector<vm_id> expired_vms(const vm_directory& directory, time_point now);

//! A query for the readers that the daemon `self` may follow.
struct reader_query {
    vm_id self;
    data_centre_id data_centre;
    //! The store's newest version when `self` began to read it; unset if `self` does not read the store.
    std::optional<std::int64_t> reads_since;
    //! Rate at which `self` can answer other daemons, in Mbit/s.
    double capacity = 0;
    //! Readers that did not answer lately.
    std::set<vm_id> excluded;
};

//! The readers of the data centre that `self` may follow, the senior one first; empty if `self` has to read
//! the store itself. Two readers never choose each other.
std::vector<peer> readers_of(const vm_directory& directory, const reader_query& query, time_point now);

//! The senior reader of each other data centre.
std::vector<peer> readers_elsewhere(const vm_directory& directory, const data_centre_id& own, time_point now);

//! Interval at which a daemon renews its row.
inline constexpr milliseconds vm_renew_interval{8'000};

} // namespace dandelionstep
