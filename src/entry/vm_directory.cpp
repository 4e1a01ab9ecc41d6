#include "entry/vm_directory.hpp"

#include "common/json.hpp"

#include <algorithm>
#include <set>

namespace dandelionstep {
namespace {

// Two renewals and a half may be missed before a daemon no longer counts.
constexpr milliseconds live_time = vm_renew_interval * 5 / 2;
// Rows are removed much later, so that a daemon that was cut off for long finds its own.
constexpr milliseconds outdated_time = vm_renew_interval * 8;

bool is_live(const vm_directory::entry& entry, time_point now)
{
    return now - entry.changed_at <= live_time;
}

} // namespace

std::string to_text(const vm_record& record)
{
    return dump({{"vm", record.vm.value},
                 {"data_centre", record.data_centre.value},
                 {"process", std::to_string(record.process)},
                 {"config_version", record.config_version},
                 {"renewals", record.renewals}});
}

absl::StatusOr<vm_record> parse_vm_record(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const absl::StatusOr<std::string> vm = string_member(*parsed, "vm");
    if (!vm.ok()) {
        return vm.status();
    }
    vm_record record;
    record.vm = vm_id(*vm);
    record.data_centre = data_centre_id(string_or(*parsed, "data_centre", ""));
    record.process = std::strtoull(string_or(*parsed, "process", "0").c_str(), nullptr, 10);
    record.config_version = integer_or(*parsed, "config_version", -1);
    record.renewals = integer_or(*parsed, "renewals", 0);
    return record;
}

void note_vm(vm_directory& directory, const vm_record& record, std::int64_t row_version, time_point now)
{
    vm_directory::entry& entry = directory.entries[record.vm];
    entry.data_centre = record.data_centre;
    if (row_version > entry.row_version) {
        entry.row_version = row_version;
        entry.changed_at = now;
    }
}

void keep_only(vm_directory& directory, const std::vector<vm_id>& read)
{
    const std::set<vm_id> kept(read.begin(), read.end());
    std::erase_if(directory.entries, [&](const auto& known) { return !kept.contains(known.first); });
}

std::int64_t live_vms(const vm_directory& directory, time_point now)
{
    const auto count = std::ranges::count_if(directory.entries,
                                             [now](const auto& known) { return is_live(known.second, now); });
    return std::max<std::int64_t>(1, count);
}

std::int64_t live_vms_in(const vm_directory& directory, const data_centre_id& data_centre, time_point now)
{
    const auto count = std::ranges::count_if(directory.entries, [&](const auto& known) {
        return known.second.data_centre == data_centre && is_live(known.second, now);
    });
    return std::max<std::int64_t>(1, count);
}

std::vector<vm_id> outdated_vms(const vm_directory& directory, time_point now)
{
    std::vector<vm_id> outdated;
    for (const auto& [vm, entry] : directory.entries) {
        if (now - entry.changed_at > outdated_time) {
            outdated.push_back(vm);
        }
    }
    return outdated;
}

} // namespace dandelionstep
