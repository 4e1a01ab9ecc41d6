#include "entry/suspects/suspect_rows.hpp"

#include "adapters/log.hpp"
#include "entry/suspects/suspect_sharing.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Several suspects of one death are written by one call.
constexpr milliseconds write_pause{60};
// Readers of all data centres learn of a new era in the same moment, and write the same rows.
constexpr milliseconds era_spread{1'000};
// The store takes a hundred entries in a call.
constexpr std::size_t most_writes = 64;
constexpr milliseconds removal_interval{60'000};
// Longer than clocks of vms differ; what is in these rows counts for some seconds.
constexpr milliseconds ended_row_lifetime{60'000};

// Takes a row over as a report, and when it was written.
template <class Row, class Report>
absl::Status take_parsed(const absl::StatusOr<Row>& row, const std::string& key, wall_time now,
                         std::vector<Report>& reports, std::map<std::string, wall_time>& stored)
{
    if (row.ok()) {
        stored[key] = row->at;
        reports.push_back(report_of(*row, now));
    }
    return row.status();
}

wall_time civil_time_of(time_point at)
{
    return {event_loop::wall_now().count - (event_loop::now() - at).count};
}

} // namespace

void suspect_rows::start()
{
    if (this->is_reading) {
        return;
    }
    this->is_reading = true;
    this->removal_timer = this->context.loop.run_every(removal_interval, [this] { this->remove_lapsed(); });
    if (this->is_known) {
        this->follow();
    } else {
        this->read("");
    }
}

void suspect_rows::pause()
{
    this->calls.pause();
    this->is_reading = false;
    this->is_writing = false;
    this->timer = {};
    this->write_timer = {};
    this->removal_timer = {};
}

void suspect_rows::begin_era()
{
    this->is_known = false;
    if (!this->is_reading) {
        return;
    }
    this->calls.pause();
    this->is_writing = false;
    this->write_timer = {};
    const auto spread = static_cast<std::int64_t>(this->context.draw() * era_spread.count);
    this->timer = this->context.loop.run_after({spread}, [this] { this->read(""); });
}

void suspect_rows::read(const std::string& from_key)
{
    if (from_key.empty()) {
        this->stored.clear();
        this->position = 0;
    }
    const outgoing_call call = this->context.dialect.rows_call(suspects_table, from_key);
    this->calls.call(call, store_call_slack, store_reason::suspects, [this](const store_answer& answer) {
        if (answer.result != store_result::ok) {
            this->retry(answer);
            return;
        }
        this->calls.note_answer();
        // Changes during the reading are among those that follow its first page.
        this->position = this->position == 0 ? answer.rows.version : this->position;
        this->take(answer.rows.rows);
        if (const std::optional<std::string> next = next_page_key(answer.rows)) {
            this->read(*next);
            return;
        }
        this->is_known = true;
        this->write_soon();
        this->follow();
    });
}

void suspect_rows::follow()
{
    // A connection that fell silent is noticed within the time after which the bounds hold again.
    const milliseconds wait = this->calls.wait_for_news(this->context.settings.stability_window);
    const outgoing_call call = this->context.dialect.changes_call(suspects_table, this->position, wait);
    this->calls.call(call, wait + store_call_slack, store_reason::suspects,
                     [this](const store_answer& answer) {
                         if (answer.result != store_result::ok) {
                             this->retry(answer);
                             return;
                         }
                         this->calls.note_answer();
                         this->position = std::max(this->position, answer.rows.version);
                         this->take(answer.rows.rows);
                         this->timer = this->context.loop.run_after({0}, [this] { this->follow(); });
                     });
}

void suspect_rows::retry(const store_answer& answer)
{
    this->is_known = this->is_known && answer.result != store_result::history_is_gone;
    this->timer = this->context.loop.run_after(this->calls.retry_pause(answer), [this] {
        if (this->is_known) {
            this->follow();
        } else {
            this->read("");
        }
    });
}

absl::Status suspect_rows::take_row(const stored_row& row, told_rows& told)
{
    const wall_time now = event_loop::wall_now();
    if (is_segment_key(row.key)) {
        return take_parsed(parse_segment_row(row.value), row.key, now, told.segments, this->stored);
    }
    if (is_ended_key(row.key)) {
        return take_parsed(parse_ended_row(row.value), row.key, now, told.ended, this->stored);
    }
    return take_parsed(parse_suspect_row(row.value), row.key, now, told.requests, this->stored);
}

void suspect_rows::take(const std::vector<stored_row>& rows)
{
    told_rows told;
    for (const stored_row& row : rows) {
        if (row.is_removed) {
            this->stored.erase(row.key);
            continue;
        }
        const absl::Status status = this->take_row(row, told);
        if (!status.ok()) {
            log_event("suspect_row_unreadable",
                      {{"key", row.key}, {"reason", std::string(status.message())}});
        }
    }
    // What a request is cleared by counts only once its deaths are known.
    std::stable_partition(told.requests.begin(), told.requests.end(),
                          [](const suspect_report& one) { return !one.finished; });
    learn_suspects(this->context, told.requests, "store");
    learn_segments(this->context, told.segments, "store");
    learn_ended(this->context, told.ended, "store");
}

void suspect_rows::add_missing_ended(std::vector<kept_row>& missing) const
{
    const std::int64_t now = event_loop::wall_now().count;
    for (const ended_report& report : ended_reports(this->context)) {
        const ended_row row{report.target, report.started, {now - report.age.count}};
        if (missing.size() < most_writes && !this->stored.contains(key_of(row))) {
            missing.push_back({key_of(row), to_text(row), row.at});
        }
    }
}

void suspect_rows::add_missing_suspects(std::vector<kept_row>& missing) const
{
    const shared_suspects& known = this->context.suspects;
    const auto add = [&](const suspect_row& row) {
        if (missing.size() < most_writes && !this->stored.contains(key_of(row))) {
            missing.push_back({key_of(row), to_text(row), row.at});
        }
    };
    for (const request_fingerprint request : known.shared) {
        const auto found = known.table.suspects.find(request);
        if (found == known.table.suspects.end()) {
            continue;
        }
        const wall_time at = civil_time_of(found->second.last);
        for (const auto& [takedown, place] : found->second.takedowns) {
            add({request, takedown, place, false, at});
        }
        if (found->second.finished) {
            add({request, {}, {}, true, at});
        }
    }
}

void suspect_rows::add_missing_segments(std::vector<kept_row>& missing) const
{
    const auto add = [&](const segment_row& row) {
        if (missing.size() < most_writes && !this->stored.contains(key_of(row))) {
            missing.push_back({key_of(row), to_text(row), row.at});
        }
    };
    for (const auto& [segment, suspect] : this->context.segments.suspects) {
        if (!suspect.is_shared) {
            continue;
        }
        for (const auto& [id, crash] : suspect.crashes) {
            add({segment, id, crash.is_alone, false, civil_time_of(crash.at)});
            if (crash.is_cleared) {
                add({segment, id, crash.is_alone, true, civil_time_of(crash.at)});
            }
        }
    }
}

// What concerns most requests goes first.
std::vector<suspect_rows::kept_row> suspect_rows::missing_rows() const
{
    std::vector<kept_row> missing;
    this->add_missing_ended(missing);
    this->add_missing_segments(missing);
    this->add_missing_suspects(missing);
    return missing;
}

void suspect_rows::write_soon()
{
    if (this->is_reading && this->is_known && !this->is_writing) {
        this->write_timer = this->context.loop.run_after(write_pause, [this] { this->write(); });
    }
}

void suspect_rows::write()
{
    const std::vector<kept_row> missing = this->missing_rows();
    if (missing.empty()) {
        return;
    }
    std::vector<conditional_write> writes;
    for (const kept_row& row : missing) {
        conditional_write write;
        write.row = {suspects_table, row.key, row.text, 0, false};
        writes.push_back(write);
    }
    this->send(writes, [this, missing](bool is_written) {
        for (const kept_row& row : missing) {
            if (is_written) {
                this->stored[row.key] = row.at;
            }
        }
    });
}

// Rows of one key are always alike, so that a write may be made again whatever became of it.
void suspect_rows::send(const std::vector<conditional_write>& writes,
                        std::function<void(bool is_written)> done)
{
    this->is_writing = true;
    const outgoing_call call = this->context.dialect.write_call(writes);
    this->calls.call(call, store_call_slack, store_reason::suspect_write,
                     [this, done = std::move(done)](const store_answer& answer) {
                         this->is_writing = false;
                         const bool is_written = answer.result == store_result::ok;
                         done(is_written);
                         const milliseconds pause =
                             is_written ? write_pause : this->calls.retry_pause(answer);
                         this->write_timer = this->context.loop.run_after(pause, [this] { this->write(); });
                     });
}

milliseconds suspect_rows::lifetime_of(std::string_view key) const
{
    if (is_segment_key(key)) {
        return this->context.segments.limits.lifetime;
    }
    return is_ended_key(key) ? ended_row_lifetime : this->context.suspects.table.limits.lifetime;
}

void suspect_rows::remove_lapsed()
{
    if (this->is_writing || !this->is_known || !this->holds_lease || !this->holds_lease()) {
        return;
    }
    const std::int64_t now = event_loop::wall_now().count;
    std::vector<conditional_write> removals;
    for (const auto& [key, at] : this->stored) {
        const std::int64_t oldest = now - this->lifetime_of(key).count;
        if (at.count < oldest && removals.size() < most_writes) {
            conditional_write removal;
            removal.row = {suspects_table, key, "", 0, true};
            removals.push_back(removal);
        }
    }
    if (removals.empty()) {
        return;
    }
    log_event("suspect_rows_removed", {{"count", static_cast<std::int64_t>(removals.size())}});
    this->send(removals, [this, removals](bool is_written) {
        for (const conditional_write& removal : removals) {
            if (is_written) {
                this->stored.erase(removal.row.key);
            }
        }
    });
}

} // namespace dandelionstep
