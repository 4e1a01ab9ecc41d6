#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! What a daemon says of itself in the store.
struct vm_record {
    vm_id vm;
    data_centre_id data_centre;
    //! Distinguishes the processes that a vm runs one after the other.
    std::uint64_t process = 0;
    //! The configuration that is in force there.
    std::int64_t config_version = -1;
    //! Grows with each renewal.
    std::int64_t renewals = 0;
};

std::string to_text(const vm_record& record);
absl::StatusOr<vm_record> parse_vm_record(std::string_view text);

//! The daemons that one daemon knows from their rows in the store.
struct vm_directory {
    struct entry {
        data_centre_id data_centre;
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

//! Number of daemons whose rows changed lately; at least one, for the reader itself.
std::int64_t live_vms(const vm_directory& directory, time_point now);
//! As live_vms, of one data centre.
std::int64_t live_vms_in(const vm_directory& directory, const data_centre_id& data_centre, time_point now);
//! Vms whose rows have not changed for so long that they may be removed.
std::vector<vm_id> outdated_vms(const vm_directory& directory, time_point now);

//! How often a daemon renews its row.
inline constexpr milliseconds vm_renew_interval{8'000};

} // namespace dandelionstep
