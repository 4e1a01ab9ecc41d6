#include "entry/peers/vm_rows.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

constexpr milliseconds call_timeout{1'000};
// Bounds how late a lapsed lease is found; each reading is a call that is paid for.
constexpr milliseconds read_interval{2'500};
constexpr milliseconds retry_pause{600};
// Daemons that began to read together find each other within this time.
constexpr milliseconds first_read_time{1'500};
// Readers of all data centres learn of a new era in the same moment.
constexpr milliseconds era_spread{300};
// The first renewals come sooner, as they tell how many follow.
constexpr std::int64_t early_renewals = 3;
constexpr milliseconds early_interval{2'500};

std::string row_key(const vm_id& vm)
{
    return std::string(vm_row_prefix) + vm.value;
}

} // namespace

vm_rows::vm_rows(entry_context& context_in, store_client& store_in, std::uint64_t process)
    : context(context_in), store(store_in)
{
    this->self.vm = context_in.settings.vm;
    this->self.data_centre = context_in.settings.data_centre;
    this->self.peers = context_in.settings.peers;
    this->self.capacity = answering_capacity(context_in.settings.capacity);
    this->self.process = process;
}

void vm_rows::look(std::function<void(bool could_read)> done)
{
    this->store.call(this->context.dialect.rows_call(own_table, ""), call_timeout, store_reason::rows,
                     [this, done = std::move(done)](const store_answer& answer) {
                         const bool could_read = answer.result == store_result::ok;
                         if (could_read) {
                             this->take(answer.rows);
                         }
                         done(could_read);
                     });
}

void vm_rows::keep()
{
    if (this->stopped || this->keeping) {
        return;
    }
    this->keeping = true;
    this->read_after({static_cast<std::int64_t>(this->context.draw() * first_read_time.count)});
    this->renew_timer = this->context.loop.run_after({0}, [this] { this->renew(); });
}

void vm_rows::pause()
{
    ++this->generation;
    this->keeping = false;
    this->self.renewals = 0;
    this->reads_since.reset();
    this->read_timer = {};
    this->renew_timer = {};
}

void vm_rows::begin_era()
{
    dandelionstep::begin_era(this->directory);
    this->newest_version = 0;
    if (!this->keeping || this->stopped) {
        return;
    }
    ++this->generation;
    const auto spread = static_cast<std::int64_t>(this->context.draw() * era_spread.count);
    this->read_after({spread});
    this->renew_timer = this->context.loop.run_after({spread}, [this] { this->renew(); });
}

void vm_rows::stop()
{
    this->stopped = true;
    this->read_timer = {};
    this->renew_timer = {};
    if (this->self.renewals == 0) {
        return;
    }
    conditional_write removal;
    removal.row = {own_table, row_key(this->self.vm), "", 0, true};
    this->store.call(
        this->context.dialect.write_call({removal}), call_timeout, store_reason::own_row,
        [](const store_answer& answer) {
            log_event("row_removed", {{"accepted", answer.result == store_result::ok ? "yes" : "no"}});
        });
}

void vm_rows::read_soon()
{
    this->read_after({0});
}

void vm_rows::read_after(milliseconds pause)
{
    if (this->keeping && !this->stopped) {
        this->read_timer = this->context.loop.run_after(pause, [this] { this->read(); });
    }
}

void vm_rows::read()
{
    const std::int64_t asked_in = this->generation;
    // The next reading is due even if this one's answer is overtaken.
    this->look([this, asked_in](bool could_read) {
        if (asked_in != this->generation) {
            return;
        }
        const double spread = 0.8 + 0.4 * this->context.draw();
        const auto usual = static_cast<std::int64_t>(static_cast<double>(read_interval.count) * spread);
        this->read_after(could_read ? milliseconds{usual} : retry_pause);
    });
}

void vm_rows::take(const stored_rows& rows)
{
    const time_point now = event_loop::now();
    std::vector<vm_id> read;
    for (const stored_row& row : rows.rows) {
        if (!row.key.starts_with(vm_row_prefix)) {
            continue;
        }
        const absl::StatusOr<vm_record> record = parse_vm_record(row.value);
        if (!record.ok()) {
            log_event("vm_row_unreadable",
                      {{"key", row.key}, {"reason", std::string(record.status().message())}});
            continue;
        }
        read.push_back(record->vm);
        const bool is_own_vm = record->vm == this->self.vm;
        this->earlier_row = this->earlier_row || (is_own_vm && record->process != this->self.process);
        note_vm(this->directory, *record, row.version, now);
    }
    keep_only(this->directory, read);
    this->newest_version = rows.version;
    this->count_daemons();
    if (this->on_rows) {
        this->on_rows(rows);
    }
}

void vm_rows::count_daemons()
{
    vm_self counted{this->self.vm, this->self.data_centre, {}};
    if (this->followers) {
        counted.followers = this->followers();
    }
    const vm_counts counts = count_vms(this->directory, counted, event_loop::now());
    know_daemons(this->context, counts.all, counts.in_data_centre);
}

std::vector<peer> vm_rows::readers(const std::set<vm_id>& excluded) const
{
    const reader_query query{this->self.vm, this->self.data_centre, std::nullopt, this->self.capacity,
                             excluded};
    return readers_of(this->directory, query, event_loop::now());
}

std::vector<peer> vm_rows::senior_readers(const std::set<vm_id>& excluded) const
{
    const reader_query query{this->self.vm, this->self.data_centre, this->reads_since, this->self.capacity,
                             excluded};
    return readers_of(this->directory, query, event_loop::now());
}

std::vector<peer> vm_rows::readers_elsewhere() const
{
    return dandelionstep::readers_elsewhere(this->directory, this->self.data_centre, event_loop::now());
}

void vm_rows::renew()
{
    if (this->stopped || !this->keeping) {
        return;
    }
    if (!this->reads_since) {
        this->reads_since = this->newest_version;
    }
    this->write_row();
    if (this->holds_lease && this->holds_lease()) {
        this->remove_outdated();
    }
}

void vm_rows::write_row()
{
    const bool leads = this->holds_lease && this->holds_lease();
    vm_record written = this->self;
    written.renewals = ++this->self.renewals;
    written.config_version = this->context.config ? this->context.config->version.value : -1;
    // The holder of the lease reads the store in any case, so it is the one to follow.
    written.reads_since = leads ? 0 : *this->reads_since;
    written.followers = this->followers ? static_cast<std::int64_t>(this->followers().size()) : 0;
    conditional_write write;
    write.row = {own_table, row_key(this->self.vm), to_text(written), 0, false};
    const std::int64_t asked_in = this->generation;
    this->store.call(this->context.dialect.write_call({write}), call_timeout, store_reason::own_row,
                     [this, asked_in](const store_answer& answer) {
                         if (asked_in != this->generation || this->stopped) {
                             return;
                         }
                         const bool is_written = answer.result == store_result::ok;
                         const milliseconds next =
                             this->self.renewals < early_renewals ? early_interval : vm_renew_interval;
                         this->renew_timer = this->context.loop.run_after(is_written ? next : retry_pause * 3,
                                                                          [this] { this->renew(); });
                     });
}

void vm_rows::remove_outdated()
{
    std::vector<conditional_write> removals;
    for (const vm_id& vm : expired_vms(this->directory, event_loop::now())) {
        conditional_write removal;
        removal.row = {own_table, row_key(vm), "", 0, true};
        removal.expected_version = this->directory.entries.at(vm).row_version;
        removals.push_back(removal);
    }
    if (!removals.empty()) {
        log_event("vm_rows_removed", {{"count", static_cast<std::int64_t>(removals.size())}});
        this->store.call(this->context.dialect.write_call(removals), call_timeout, store_reason::own_row,
                         [](const store_answer& answer) {
                             if (answer.result != store_result::ok) {
                                 log_event("vm_rows_not_removed", {});
                             }
                         });
    }
}

} // namespace dandelionstep
