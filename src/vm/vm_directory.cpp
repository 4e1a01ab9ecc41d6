#include "vm/vm_directory.hpp"

#include "common/json.hpp"
#include "target/parse_endpoint.hpp"
#include "vm/vm_capacity.hpp"

#include <algorithm>
#include <compare>

namespace dandelionstep {
namespace {

// A daemon counts as live until its row has not changed for two and a half renewal intervals.
constexpr milliseconds liveness_timeout = vm_renew_interval * 5 / 2;
// Rows are removed much later, so that a daemon that was cut off for long still finds its own.
constexpr milliseconds expiry_age = vm_renew_interval * 8;

// A reader's rank; the lower one is the senior.
struct seniority {
    int delay_class = 1;
    std::int64_t reads_since = 0;
    vm_id vm;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend auto operator<=>(const seniority&, const seniority&) = default;
};

// VMs of similar capacity share a class, so that they don't replace each other as readers.
int delay_class_of(double capacity)
{
    return static_cast<int>(election_delay_factor_of(capacity));
}

bool is_live(const vm_directory::entry& entry, time_point now)
{
    return now - entry.changed_at <= liveness_timeout;
}

} // namespace

std::string to_text(const vm_record& record)
{
    return dump({{"vm", record.vm.value},
                 {"data_centre", record.data_centre.value},
                 {"process", std::to_string(record.process)},
                 {"config_version", record.config_version},
                 {"renewals", record.renewals},
                 {"peers", to_string(record.peers)},
                 {"capacity", record.capacity},
                 {"reads_since", record.reads_since},
                 {"followers", record.followers}});
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
    record.process = number_in_text(*parsed, "process");
    record.config_version = integer_or(*parsed, "config_version", -1);
    record.renewals = integer_or(*parsed, "renewals", 0);
    record.capacity = number_or(*parsed, "capacity", 0);
    record.reads_since = integer_or(*parsed, "reads_since", 0);
    record.followers = std::max<std::int64_t>(0, integer_or(*parsed, "followers", 0));
    const absl::StatusOr<endpoint> peers = parse_endpoint(string_or(*parsed, "peers", ""));
    if (peers.ok()) {
        record.peers = *peers;
    }
    return record;
}

void note_vm(vm_directory& directory, const vm_record& record, std::int64_t row_version, time_point now)
{
    vm_directory::entry& entry = directory.entries[record.vm];
    if (row_version <= entry.row_version) {
        return;
    }
    const bool is_copy = entry.is_of_earlier_era && record.process == entry.record.process &&
                         record.renewals <= entry.record.renewals;
    entry.row_version = row_version;
    entry.is_of_earlier_era = false;
    if (!is_copy) {
        entry.record = record;
        entry.changed_at = now;
    }
}

void begin_era(vm_directory& directory)
{
    for (auto& [vm, entry] : directory.entries) {
        entry.row_version = 0;
        entry.is_of_earlier_era = true;
    }
}

void keep_only(vm_directory& directory, const std::vector<vm_id>& read)
{
    const std::set<vm_id> kept(read.begin(), read.end());
    std::erase_if(directory.entries, [&](const auto& known) { return !kept.contains(known.first); });
}

vm_counts count_vms(const vm_directory& directory, const vm_self& self, time_point now)
{
    const auto own = 1 + static_cast<std::int64_t>(self.followers.size());
    vm_counts counts{own, own};
    for (const auto& [vm, entry] : directory.entries) {
        if (vm == self.vm || self.followers.contains(vm) || !is_live(entry, now)) {
            continue;
        }
        const std::int64_t with_followers = 1 + entry.record.followers;
        counts.all += with_followers;
        counts.in_data_centre += entry.record.data_centre == self.data_centre ? with_followers : 0;
    }
    return counts;
}

std::vector<peer> readers_of(const vm_directory& directory, const reader_query& query, time_point now)
{
    std::vector<std::pair<seniority, peer>> ranked;
    for (const auto& [vm, entry] : directory.entries) {
        if (vm == query.self || entry.record.data_centre != query.data_centre ||
            entry.record.peers.port == 0 || query.excluded.contains(vm) || !is_live(entry, now)) {
            continue;
        }
        const seniority candidate{delay_class_of(entry.record.capacity), entry.record.reads_since, vm};
        if (!query.reads_since ||
            candidate < seniority{delay_class_of(query.capacity), *query.reads_since, query.self}) {
            ranked.emplace_back(candidate, peer{vm, entry.record.peers});
        }
    }
    std::ranges::sort(ranked, {}, [](const auto& one) { return one.first; });
    std::vector<peer> readers;
    readers.reserve(ranked.size());
    for (const auto& [rank, reader] : ranked) {
        readers.push_back(reader);
    }
    return readers;
}

std::vector<peer> readers_elsewhere(const vm_directory& directory, const data_centre_id& own, time_point now)
{
    std::set<data_centre_id> others;
    for (const auto& [vm, entry] : directory.entries) {
        if (entry.record.data_centre != own) {
            others.insert(entry.record.data_centre);
        }
    }
    std::vector<peer> readers;
    for (const data_centre_id& other : others) {
        reader_query query;
        query.data_centre = other;
        const std::vector<peer> ranked = readers_of(directory, query, now);
        if (!ranked.empty()) {
            readers.push_back(ranked.front());
        }
    }
    return readers;
}

std::vector<vm_id> expired_vms(const vm_directory& directory, time_point now)
{
    std::vector<vm_id> expired;
    for (const auto& [vm, entry] : directory.entries) {
        if (now - entry.changed_at > expiry_age) {
            expired.push_back(vm);
        }
    }
    return expired;
}

} // namespace dandelionstep
