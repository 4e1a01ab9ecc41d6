#include "entry/inspection.hpp"

#include "entry/context/entry_context.hpp"
#include "entry/peers/vm_rows.hpp"
#include "entry/store/store_client.hpp"
#include "route/layer_path.hpp"
#include "route/placement_bound.hpp"
#include "target/layer_placement.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace dandelionstep {
namespace {

constexpr milliseconds call_timeout{3'000};

// Makes calls one after the other on a loop of its own.
class store_reader {
public:
    store_reader(const entry_dialect& dialect, const entry_settings& settings)
        : context(this->loop, dialect, settings), store(this->context)
    {}

    absl::StatusOr<std::vector<stored_row>> read(const std::string& table)
    {
        std::vector<stored_row> rows;
        std::string from;
        while (true) {
            const store_answer answer = this->ask(this->context.dialect.rows_call(table, from));
            if (answer.result != store_result::ok) {
                return absl::UnavailableError("the store does not answer");
            }
            rows.insert(rows.end(), answer.rows.rows.begin(), answer.rows.rows.end());
            const std::optional<std::string> next = next_page_key(answer.rows);
            if (!next) {
                return rows;
            }
            from = *next;
        }
    }

private:
    store_answer ask(const outgoing_call& call)
    {
        store_answer result;
        this->store.call(call, call_timeout, store_reason::rows, [this, &result](const store_answer& answer) {
            result = answer;
            this->loop.stop();
        });
        this->loop.run();
        return result;
    }

    event_loop loop;
    entry_context context;
    store_client store;
};

// What was read of the row; nothing, and a note of why, when it can't be used.
template <typename record_type>
std::optional<record_type> usable(const std::string& table, const stored_row& row,
                                  absl::StatusOr<record_type> parsed, inspected_store& into)
{
    if (!parsed.ok()) {
        into.unreadable.push_back({table, row.key, std::string(parsed.status().message())});
        return std::nullopt;
    }
    return *std::move(parsed);
}

void take_own_row(const stored_row& row, inspected_store& into)
{
    if (row.key == lease_key) {
        into.lease = usable(own_table, row, parse_lease(row.value), into);
    } else if (row.key.starts_with(vm_row_prefix)) {
        if (const auto record = usable(own_table, row, parse_vm_record(row.value), into)) {
            into.readers.push_back(*record);
        }
    }
}

struct target_counts {
    std::int64_t all = 0;
    std::int64_t leaving = 0;
};

std::vector<registered_target> engines_of(const inspected_store& store, const service_id& service)
{
    std::vector<registered_target> engines;
    std::ranges::copy_if(store.targets, std::back_inserter(engines),
                         [&service](const registered_target& target) { return target.service == service; });
    std::ranges::sort(engines, {}, [](const registered_target& target) {
        return std::tuple(target.data_centre, target.layers.begin, target.layers.end, target.id);
    });
    return engines;
}

void print_engines(const entry_service& service, const std::vector<registered_target>& engines,
                   std::ostream& out)
{
    for (const registered_target& engine : engines) {
        const accelerator_kind* kind = find_kind(*service.engine, engine.kind);
        const double room =
            kind == nullptr ? 0 : kv_cache_tokens(*service.engine, *kind, engine.layers.size());
        out << "  engine=" << engine.id.value << " data_centre=" << engine.data_centre.value
            << " kind=" << engine.kind << " layers=" << engine.layers.begin << "-" << engine.layers.end
            << " token_room=" << static_cast<std::int64_t>(room)
            << " leaving=" << (engine.leaving ? "yes" : "no") << "\n";
    }
}

void print_moves(const entry_service& service, const std::vector<registered_target>& engines,
                 std::ostream& out)
{
    for (const auto& [id, layers] : plan_layers(*service.engine, engines)) {
        out << "  move=" << id.value << " layers=" << layers.begin << "-" << layers.end << "\n";
    }
}

} // namespace

absl::StatusOr<inspected_store> inspect_store(const entry_dialect& dialect, const entry_settings& settings)
{
    store_reader reader(dialect, settings);
    const store_names names = dialect.names();
    const auto config = reader.read(names.configuration_table);
    const auto targets = reader.read(names.targets_table);
    const auto own = reader.read(own_table);
    absl::Status status = config.status();
    status.Update(targets.status());
    status.Update(own.status());
    if (!status.ok()) {
        return status;
    }
    inspected_store result;
    for (const stored_row& row : *config) {
        if (row.key == names.configuration_key) {
            result.config = usable(names.configuration_table, row, dialect.parse_config(row.value), result);
        }
    }
    for (const stored_row& row : *targets) {
        if (const auto target =
                usable(names.targets_table, row, dialect.parse_target(row.key, row.value), result)) {
            result.targets.push_back(*target);
        }
    }
    for (const stored_row& row : *own) {
        take_own_row(row, result);
    }
    return result;
}

void print_status(const inspected_store& store, std::ostream& out)
{
    out << "config_version=" << (store.config ? store.config->version.value : -1)
        << " lease_holder=" << (store.lease ? store.lease->holder.value : "")
        << " fencing_number=" << (store.lease ? store.lease->fencing_number : 0) << "\n";
    // A daemon that follows another one leaves its row behind; rows that no longer change lapse.
    for (const vm_record& reader : store.readers) {
        out << "reader=" << reader.vm.value << " data_centre=" << reader.data_centre.value
            << " config_version=" << reader.config_version << " followers=" << reader.followers
            << " reads_since=" << reader.reads_since << " renewals=" << reader.renewals << "\n";
    }
    std::map<std::pair<std::string, std::string>, target_counts> counts;
    for (const registered_target& target : store.targets) {
        target_counts& count = counts[{target.service.value, target.data_centre.value}];
        ++count.all;
        count.leaving += target.leaving ? 1 : 0;
    }
    for (const auto& [where, count] : counts) {
        out << "service=" << where.first << " data_centre=" << where.second << " targets=" << count.all
            << " leaving=" << count.leaving << "\n";
    }
    for (const unreadable_row& row : store.unreadable) {
        out << "unreadable table=" << row.table << " key=" << row.key << " reason=\"" << row.reason << "\"\n";
    }
}

void print_plan(const inspected_store& store, std::ostream& out)
{
    if (!store.config) {
        out << "no configuration\n";
        return;
    }
    for (const auto& [id, service] : store.config->services) {
        if (!service.engine) {
            continue;
        }
        const std::vector<registered_target> engines = engines_of(store, id);
        const placement_bound bound = find_placement_bound(*service.engine, engines);
        out << "service=" << id.value << " engines=" << engines.size()
            << " tokens_in_memory=" << static_cast<std::int64_t>(bound.tokens_in_memory)
            << " tokens_per_second=" << static_cast<std::int64_t>(bound.tokens_per_second) << "\n";
        print_engines(service, engines, out);
        print_moves(service, engines, out);
    }
}

} // namespace dandelionstep
