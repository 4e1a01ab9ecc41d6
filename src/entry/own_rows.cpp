#include "entry/own_rows.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

constexpr std::string_view vm_prefix = "vm/";
constexpr milliseconds call_timeout{1'000};
// Bounds how late a lapsed lease is found; each reading is a call that is paid for.
constexpr milliseconds read_interval{2'500};
constexpr milliseconds retry_pause{600};
constexpr milliseconds first_renewal{300};

} // namespace

own_rows::own_rows(entry_context& context_in, store_client& store_in, std::uint64_t process)
    : context(context_in), store(store_in)
{
    this->self.vm = context_in.settings.vm;
    this->self.data_centre = context_in.settings.data_centre;
    this->self.process = process;
}

void own_rows::start()
{
    this->read();
    this->renew_timer = this->context.loop.run_after(
        first_renewal * (1 + static_cast<int>(this->context.draw() * 3)), [this] { this->renew(); });
}

void own_rows::stop()
{
    this->stopped = true;
    this->read_timer = {};
    this->renew_timer = {};
    conditional_write removal;
    removal.row = {own_table, std::string(vm_prefix) + this->self.vm.value, "", 0, true};
    this->store.call(this->context.dialect.write_call({removal}), call_timeout, [](const store_answer&) {});
}

void own_rows::read_soon()
{
    this->read_after({0});
}

void own_rows::read_after(milliseconds pause)
{
    if (!this->stopped) {
        this->read_timer = this->context.loop.run_after(pause, [this] { this->read(); });
    }
}

void own_rows::read()
{
    // The next reading is due even if this one's answer is overtaken.
    this->store.call(
        this->context.dialect.rows_call(own_table, ""), call_timeout, [this](const store_answer& answer) {
            if (answer.result != store_result::ok) {
                this->read_after(retry_pause);
                return;
            }
            this->take(answer.rows);
            const double spread = 0.8 + 0.4 * this->context.draw();
            this->read_after({static_cast<std::int64_t>(static_cast<double>(read_interval.count) * spread)});
        });
}

void own_rows::take(const stored_rows& rows)
{
    const time_point now = event_loop::now();
    std::vector<vm_id> read;
    for (const stored_row& row : rows.rows) {
        if (!row.key.starts_with(vm_prefix)) {
            continue;
        }
        const absl::StatusOr<vm_record> record = parse_vm_record(row.value);
        if (!record.ok()) {
            log_event("vm_row_unreadable",
                      {{"key", row.key}, {"reason", std::string(record.status().message())}});
            continue;
        }
        read.push_back(record->vm);
        note_vm(this->directory, *record, row.version, now);
    }
    keep_only(this->directory, read);
    this->context.daemons = live_vms(this->directory, now);
    this->context.siblings = live_vms_in(this->directory, this->context.settings.data_centre, now);
    this->context.metrics.gauges["live_daemons"] = this->context.daemons;
    if (this->on_rows) {
        this->on_rows(rows);
    }
}

void own_rows::renew()
{
    if (this->stopped) {
        return;
    }
    ++this->self.renewals;
    this->self.config_version = this->context.config ? this->context.config->version.value : -1;
    conditional_write write;
    write.row = {own_table, std::string(vm_prefix) + this->self.vm.value, to_text(this->self), 0, false};
    this->store.call(this->context.dialect.write_call({write}), call_timeout,
                     [this](const store_answer& answer) {
                         const bool written = answer.result == store_result::ok;
                         this->renew_timer = this->context.loop.run_after(
                             written ? vm_renew_interval : retry_pause * 3, [this] { this->renew(); });
                     });
    if (this->removes_outdated && this->removes_outdated()) {
        this->remove_outdated();
    }
}

void own_rows::remove_outdated()
{
    std::vector<conditional_write> removals;
    for (const vm_id& vm : outdated_vms(this->directory, event_loop::now())) {
        conditional_write removal;
        removal.row = {own_table, std::string(vm_prefix) + vm.value, "", 0, true};
        removal.expected_version = this->directory.entries.at(vm).row_version;
        removals.push_back(removal);
    }
    if (!removals.empty()) {
        log_event("vm_rows_removed", {{"count", static_cast<std::int64_t>(removals.size())}});
        this->store.call(this->context.dialect.write_call(removals), call_timeout,
                         [](const store_answer&) {});
    }
}

} // namespace dandelionstep
