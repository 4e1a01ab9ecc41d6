#include "daemon/configuration_sync.hpp"

#include "adapters/log.hpp"
#include "adapters/random.hpp"

namespace dandelionstep {
namespace {

constexpr std::size_t max_recent_changes = 256;
// Beyond this a snapshot serves a peer as well, and large changes would be held twice.
constexpr std::size_t max_recent_records = 1000;
constexpr int page_rows = 500;

revision_state counter_of(const read_answer& answer)
{
    return answer.rows.empty() ? revision_state{} : parse_revision_row(answer.rows.front().value);
}

} // namespace

configuration_sync::configuration_sync(daemon_context& context, std::function<void()> on_applied)
    : context(context), on_applied(std::move(on_applied))
{}

void configuration_sync::start()
{
    this->poll();
}

void configuration_sync::set_poller(bool poller)
{
    if (poller == this->schedule.poller) {
        return;
    }
    this->schedule.poller = poller;
    if (poller && !this->polling) {
        this->next =
            this->context.loop.run_after(next_poll(this->schedule, random_seed()), [this] { this->poll(); });
    }
}

void configuration_sync::poll_soon()
{
    if (!this->polling) {
        this->next = {};
        this->poll();
    }
}

void configuration_sync::take(const change_answer& answer)
{
    // The daemon that accepted a change doesn't wait for a read, which might be an older one.
    if (!answer.accepted || this->take(*answer.accepted) != apply_result::applied) {
        this->poll_soon();
    }
}

apply_result configuration_sync::take(const accepted_change& change)
{
    const apply_result result = apply_change(this->context.configuration, change);
    if (result == apply_result::applied) {
        this->recent.push_back(change);
        this->recent_records += change.records.size();
        while (this->recent.size() > max_recent_changes ||
               (this->recent.size() > 1 && this->recent_records > max_recent_records)) {
            this->recent_records -= this->recent.front().records.size();
            this->recent.pop_front();
        }
    }
    this->note(result);
    return result;
}

apply_result configuration_sync::take(const configuration_snapshot& snapshot)
{
    const apply_result result = apply_snapshot(this->context.configuration, snapshot);
    if (result == apply_result::applied) {
        this->recent.clear();
        this->recent_records = 0;
    }
    this->note(result);
    return result;
}

void configuration_sync::observe_revision(revision number)
{
    if (!this->context.start.passed) {
        dandelionstep::observe_revision(this->context.start, number);
    }
}

void configuration_sync::peers_were_asked()
{
    this->context.start.peers_asked = true;
    this->check_start();
}

void configuration_sync::check_start()
{
    if (!this->context.start.passed && may_serve(this->context.start, this->context.configuration.number)) {
        log_event("ready", {{"revision", this->context.configuration.number.value}});
    }
}

void configuration_sync::note(apply_result result)
{
    if (result != apply_result::applied) {
        return;
    }
    log_event("configuration_applied",
              {{"revision", this->context.configuration.number.value},
               {"unreadable", static_cast<std::int64_t>(this->context.configuration.unreadable.size())}});
    this->check_start();
    this->on_applied();
}

std::vector<accepted_change> configuration_sync::changes_after(revision known) const
{
    std::vector<accepted_change> following;
    for (const accepted_change& change : this->recent) {
        if (change.number > known) {
            following.push_back(change);
        }
    }
    const bool direct = !following.empty() && following.front().number == known + revision{1};
    return direct ? following : std::vector<accepted_change>{};
}

void configuration_sync::poll()
{
    this->polling = true;
    this->context.platform.read(revision_row, [this](const read_answer& answer) {
        const revision_state stored = counter_of(answer);
        if (!answer.failed) {
            this->observe_revision(stored.number);
        }
        if (answer.failed || stored.number <= this->context.configuration.number) {
            this->finish_poll(!answer.failed);
        } else if (this->context.configuration.number.value < 0) {
            this->read_snapshot();
        } else {
            this->read_log();
        }
    });
}

void configuration_sync::read_log()
{
    const std::string after = change_row_key(this->context.configuration.number);
    this->context.platform.scan(change_rows, after, page_rows, [this](const read_answer& answer) {
        for (const table_row& row : answer.rows) {
            const auto change = parse_change(row.value);
            const apply_result result = change.ok() ? this->take(*change) : apply_result::inconsistent;
            // The log has dropped what comes next, or holds what this build can't take.
            if (result == apply_result::gap || result == apply_result::inconsistent) {
                log_event("configuration_log_unusable", {{"row", row.key}});
                this->read_snapshot();
                return;
            }
        }
        this->finish_poll(!answer.failed);
    });
}

void configuration_sync::read_snapshot()
{
    this->context.platform.read(revision_row, [this](const read_answer& answer) {
        if (answer.failed) {
            this->finish_poll(false);
            return;
        }
        this->read_snapshot_page(counter_of(answer), std::string(record_rows), {});
    });
}

void configuration_sync::read_snapshot_page(const revision_state& state, const std::string& after,
                                            std::vector<configuration_record> records)
{
    this->context.platform.scan(
        record_rows, after, page_rows,
        [this, state, records = std::move(records)](const read_answer& answer) mutable {
            if (answer.failed) {
                this->finish_poll(false);
                return;
            }
            for (const table_row& row : answer.rows) {
                if (auto record = parse_record(row.value); record.ok()) {
                    records.push_back(*std::move(record));
                }
            }
            if (answer.rows.size() == static_cast<std::size_t>(page_rows)) {
                this->read_snapshot_page(state, answer.rows.back().key, std::move(records));
                return;
            }
            // A change between the pages, or a stale page, makes the snapshot torn; the next poll reads
            // again.
            this->take(configuration_snapshot{state.number, std::move(records), state.digest});
            this->finish_poll(true);
        });
}

void configuration_sync::finish_poll(bool answered)
{
    this->polling = false;
    this->schedule.consecutive_failures = answered ? 0 : this->schedule.consecutive_failures + 1;
    this->context.start.store_asked = true;
    this->check_start();
    // A daemon that may not serve yet reads as often as a poller.
    poll_schedule due = this->schedule;
    due.poller = due.poller || !this->context.start.passed;
    this->next = this->context.loop.run_after(next_poll(due, random_seed()), [this] { this->poll(); });
}

} // namespace dandelionstep
