#include "daemon/report_store.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace dandelionstep {
namespace {

// At most what was counted in one interval is lost with a replaced VM.
constexpr milliseconds write_interval{60'000};
constexpr milliseconds stale_after{150'000};
constexpr std::string_view object_prefix = "burn/";
constexpr int ok_status = 200;

struct stored_counts {
    vm_id vm;
    wall_time written_at;
    burn_table table;
};

absl::StatusOr<stored_counts> parse_stored(const std::string& body)
{
    auto value = parse_json(body);
    if (!value.ok()) {
        return value.status();
    }
    auto vm = string_member(*value, "vm");
    auto written_at = integer_member(*value, "written_at_ms");
    if (!vm.ok() || !written_at.ok()) {
        return vm.ok() ? written_at.status() : vm.status();
    }
    auto table = parse_burn_table(value->value("counts", json()));
    if (!table.ok()) {
        return table.status();
    }
    return stored_counts{vm_id(*vm), {*written_at}, *std::move(table)};
}

} // namespace

struct report_store::reading {
    std::vector<vm_id> known_vms;
    std::vector<std::string> names;
    std::map<vm_id, wall_time> last_written;
    burn_table merged;
    burn_report report;
    std::function<void(const burn_report&)> done;
};

report_store::report_store(daemon_context& context) : context(context)
{
    this->ticker = context.loop.run_every(write_interval, [this] { this->write(); });
}

std::string report_store::own_name() const
{
    // The incarnation keeps a replacement at the same name from overwriting what its predecessor counted.
    return absl::StrCat(std::string(object_prefix), this->context.configured.vm.value, "/",
                        this->context.started.value);
}

void report_store::write(std::function<void(bool stored)> done)
{
    const json value{{"vm", this->context.configured.vm.value},
                     {"written_at_ms", event_loop::wall_now().count},
                     {"counts", to_json(this->context.burn)}};
    this->context.platform.put_object(this->own_name(), dump(value), [done = std::move(done)](bool stored) {
        if (done) {
            done(stored);
        }
    });
}

void report_store::read_all(const std::vector<vm_id>& known_vms, std::function<void(const burn_report&)> done)
{
    auto run = std::make_shared<reading>();
    run->known_vms = known_vms;
    run->merged = this->context.burn;
    run->done = std::move(done);
    this->context.platform.list_objects(object_prefix, [this, run](const object_list& list) {
        if (list.failed) {
            run->report.missing.emplace_back(
                "the platform's object store can't be read: only this daemon's counts are here");
            this->finish(run);
            return;
        }
        run->names = list.names;
        std::erase(run->names, this->own_name());
        this->read_next(run);
    });
}

void report_store::read_next(const std::shared_ptr<reading>& run)
{
    if (run->names.empty()) {
        this->finish(run);
        return;
    }
    const std::string name = run->names.back();
    run->names.pop_back();
    this->context.platform.get_object(name, [this, run, name](const http_result& result) {
        const auto stored = parse_stored(result.body);
        if (!result.answered() || result.status != ok_status || !stored.ok()) {
            run->report.missing.push_back(absl::StrCat("object \"", name, "\" can't be read"));
        } else {
            merge(run->merged, stored->table);
            wall_time& last = run->last_written[stored->vm];
            last = std::max(last, stored->written_at);
        }
        this->read_next(run);
    });
}

void report_store::finish(const std::shared_ptr<reading>& run)
{
    const wall_time now = event_loop::wall_now();
    for (const vm_id& vm : run->known_vms) {
        const auto last = run->last_written.find(vm);
        if (last == run->last_written.end()) {
            run->report.missing.push_back(absl::StrCat("vm \"", vm.value, "\" has written no counts"));
        } else if (now.count - last->second.count > stale_after.count) {
            run->report.missing.push_back(absl::StrCat("vm \"", vm.value, "\" last wrote its counts ",
                                                       (now.count - last->second.count) / 1000, " s ago"));
        }
    }
    run->report.rows = burn_rows(run->merged, declared_levels(this->context.configuration.declared), now);
    run->done(run->report);
}

service_levels declared_levels(const declarations& declared)
{
    service_levels levels;
    for (const auto& [id, each] : declared.models) {
        levels[id.value] = each.level;
    }
    for (const auto& [id, each] : declared.services) {
        levels[id.value] = each.level;
    }
    return levels;
}

} // namespace dandelionstep
