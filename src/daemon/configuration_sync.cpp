#include "daemon/configuration_sync.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"
#include "adapters/random.hpp"
#include "platform/configuration_rows.hpp"

namespace dandelionstep {
namespace {

constexpr milliseconds poll_interval{1000};
constexpr std::size_t max_recent_changes = 256;
constexpr int page_rows = 500;

milliseconds jittered(milliseconds base)
{
    // Between half and one and a half of the base, so that daemons don't poll together.
    return base / 2 +
           milliseconds{static_cast<std::int64_t>(random_seed() % static_cast<std::uint64_t>(base.count))};
}

} // namespace

configuration_sync::configuration_sync(daemon_context& context, std::function<void()> on_applied)
    : context(context), on_applied(std::move(on_applied))
{}

void configuration_sync::start()
{
    this->poll();
}

void configuration_sync::poll_soon()
{
    this->next_poll = {};
    this->poll();
}

void configuration_sync::take(const accepted_change& change)
{
    const apply_result result = apply_change(this->context.configuration, change);
    if (result == apply_result::applied) {
        this->recent.push_back(change);
        if (this->recent.size() > max_recent_changes) {
            this->recent.erase(this->recent.begin());
        }
    }
    this->note(result);
}

void configuration_sync::take(const configuration_snapshot& snapshot)
{
    const apply_result result = apply_snapshot(this->context.configuration, snapshot);
    if (result == apply_result::applied) {
        this->recent.clear();
    }
    this->note(result);
}

void configuration_sync::note(apply_result result)
{
    if (result != apply_result::applied) {
        return;
    }
    log_event("configuration_applied",
              {{"revision", this->context.configuration.number.value},
               {"unreadable", static_cast<std::int64_t>(this->context.configuration.unreadable.size())}});
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
    this->context.platform.read(revision_row, [this](const read_answer& answer) {
        if (answer.failed) {
            this->finish_poll();
            return;
        }
        const revision stored =
            answer.rows.empty() ? revision{0} : parse_revision_row(answer.rows.front().value);
        if (stored <= this->context.configuration.number) {
            this->finish_poll();
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
            if (!change.ok()) {
                log_event("configuration_change_unreadable",
                          {{"row", row.key}, {"reason", std::string(change.status().message())}});
                break;
            }
            this->take(*change);
        }
        this->finish_poll();
    });
}

void configuration_sync::read_snapshot()
{
    // Records may be newer than the revision read here; the log then brings them again, which changes
    // nothing.
    this->context.platform.read(revision_row, [this](const read_answer& answer) {
        if (answer.failed) {
            this->finish_poll();
            return;
        }
        const revision number =
            answer.rows.empty() ? revision{0} : parse_revision_row(answer.rows.front().value);
        this->read_snapshot_page(number, "", {});
    });
}

void configuration_sync::read_snapshot_page(revision number, const std::string& after,
                                            std::vector<configuration_record> records)
{
    this->context.platform.scan(
        record_rows, after, page_rows,
        [this, number, records = std::move(records)](const read_answer& answer) mutable {
            if (answer.failed) {
                this->finish_poll();
                return;
            }
            for (const table_row& row : answer.rows) {
                if (auto record = parse_record(row.value); record.ok()) {
                    records.push_back(*std::move(record));
                }
            }
            if (answer.rows.size() == static_cast<std::size_t>(page_rows)) {
                this->read_snapshot_page(number, answer.rows.back().key, std::move(records));
                return;
            }
            this->take(configuration_snapshot{number, std::move(records)});
            this->finish_poll();
        });
}

void configuration_sync::finish_poll()
{
    this->next_poll = this->context.loop.run_after(jittered(poll_interval), [this] { this->poll(); });
}

} // namespace dandelionstep
