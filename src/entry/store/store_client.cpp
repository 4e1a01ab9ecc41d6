#include "entry/store/store_client.hpp"

#include "adapters/log.hpp"
#include "entry/store/store_history.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_conflict = 412;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

// A single failure may be the call's own.
constexpr int failures_before_holding_back = 2;
constexpr milliseconds first_pause{150};
constexpr milliseconds longest_pause{1'000};
constexpr int most_doublings = 4;

std::string_view name_of(store_result result)
{
    switch (result) {
    case store_result::ok:
        return "ok";
    case store_result::conflict:
        return "conflict";
    case store_result::history_is_gone:
        return "history_gone";
    case store_result::refused:
        return "refused";
    case store_result::unsure:
        return "unsure";
    }
    return "unsure";
}

store_result result_of(const http_answer& answer)
{
    if (answer.end != exchange_end::complete) {
        return answer.end == exchange_end::not_sent ? store_result::refused : store_result::unsure;
    }
    switch (answer.status) {
    case status_ok:
        return store_result::ok;
    case status_conflict:
        return store_result::conflict;
    case status_gone:
        return store_result::history_is_gone;
    case status_too_many:
    case status_unavailable:
        return store_result::refused;
    default:
        return store_result::unsure;
    }
}

} // namespace

std::string_view name_of(store_reason reason)
{
    switch (reason) {
    case store_reason::config:
        return "config";
    case store_reason::config_changes:
        return "config_changes";
    case store_reason::targets:
        return "targets";
    case store_reason::target_changes:
        return "target_changes";
    case store_reason::rows:
        return "rows";
    case store_reason::own_row:
        return "own_row";
    case store_reason::lease:
        return "lease";
    case store_reason::suspects:
        return "suspects";
    case store_reason::suspect_write:
        return "suspect_write";
    case store_reason::trial:
        return "trial";
    }
    return "unknown";
}

bool store_client::holds_back() const
{
    return this->failures_in_a_row >= failures_before_holding_back;
}

bool store_client::must_hold_back() const
{
    return this->holds_back() && event_loop::now() < this->next_try_at;
}

store_contact store_client::contact_since(time_point began) const
{
    const bool has_failed = this->last_failure_at >= began;
    if (this->holds_back()) {
        // A daemon that follows a reader makes no calls, so its last ones may have failed long before.
        return has_failed || began < this->pause_ends_at ? store_contact::lost : store_contact::unknown;
    }
    if (this->last_answer_at >= began) {
        return store_contact::reached;
    }
    return has_failed ? store_contact::lost : store_contact::unknown;
}

void store_client::call(const outgoing_call& call, milliseconds timeout, store_reason reason,
                        done_callback done)
{
    if (this->must_hold_back()) {
        this->context.loop.post([done = std::move(done), asked_at = event_loop::now()] {
            done({store_result::refused, {}, true, asked_at, false});
        });
        return;
    }
    // Until this call is answered, and a while longer if it is not, others are held back.
    if (this->holds_back()) {
        this->next_try_at = event_loop::now() + timeout;
    }
    const std::string reason_name(name_of(reason));
    const auto take = [this, reason_name, number = ++this->last_number, asked_at = event_loop::now(),
                       asked_in = this->context.era, done = std::move(done)](const http_answer& answered) {
        store_answer answer{result_of(answered), {}, false, asked_at, false};
        if (!this->take_era(answered)) {
            // It says nothing of the store as it is now.
            done({store_result::unsure, {}, false, asked_at, true});
            return;
        }
        answer.has_crossed_eras = asked_in.value != 0 && asked_in != this->context.era;
        if (answer.result == store_result::ok || answer.result == store_result::conflict) {
            absl::StatusOr<stored_rows> rows = this->context.dialect.parse_rows(answered.body);
            if (rows.ok()) {
                answer.rows = *std::move(rows);
            } else {
                log_event("store_answer_unreadable", {{"reason", std::string(rows.status().message())}});
                answer.result = store_result::unsure;
            }
        }
        ++this->context.metrics.store_calls[reason_name][std::string(name_of(answer.result))];
        this->note(answer, number);
        done(answer);
    };
    send_call(this->context, this->context.settings.store, call, timeout, take);
}

// An answer of an older era was late on its way. The store promises that none comes to a call that is made
// later, and is not believed if one does: the daemon goes on with what it knows, as in an outage.
bool store_client::take_era(const http_answer& answered)
{
    const absl::StatusOr<store_era> era = this->context.dialect.read_era(answered.headers);
    if (!era.ok()) {
        log_event("store_era_unreadable", {{"reason", std::string(era.status().message())}});
        return true;
    }
    if (era->value != 0 && *era < this->context.era) {
        log_event("store_era_outdated", {{"era", era->value}, {"known", this->context.era.value}});
        return false;
    }
    note_store_era(this->context, *era, "store");
    return true;
}

bool store_client::is_from_before_pause(std::int64_t number) const
{
    return this->holds_back() && number <= this->last_before_pause;
}

void store_client::note_failure(time_point asked_at)
{
    const int doublings =
        std::clamp(this->failures_in_a_row - failures_before_holding_back, 0, most_doublings);
    ++this->failures_in_a_row;
    this->last_failure_at = event_loop::now();
    this->last_before_pause = this->last_number;
    const milliseconds pause = std::min(first_pause * (std::int64_t{1} << doublings), longest_pause);
    this->next_try_at =
        this->last_failure_at +
        left_of_pause(pause, first_pause, this->last_failure_at - asked_at, 0.5 + this->context.draw());
    this->pause_ends_at = this->next_try_at;
}

// The store may have answered another daemon meanwhile, which this one followed.
void store_client::note_return()
{
    const time_point in_touch_until =
        std::max({this->answered_before, this->context.targets_as_of, this->context.reader_answered_at});
    this->outage = joined_outage(this->outage, {in_touch_until, event_loop::now()},
                                 this->context.settings.heartbeat_interval);
}

void store_client::note(const store_answer& answer, std::int64_t number)
{
    const bool answered = answer.result == store_result::ok || answer.result == store_result::conflict ||
                          answer.result == store_result::history_is_gone;
    if (answered) {
        this->last_answer_at = event_loop::now();
        this->last_answered = std::max(this->last_answered, number);
    }
    if (this->is_from_before_pause(number)) {
        // Calls that fail together count once; an answer is a reason to try now, no proof.
        if (answered) {
            this->next_try_at = event_loop::now();
        }
        return;
    }
    if (!answered && number < this->last_answered) {
        return;
    }
    if (answered) {
        this->failures_in_a_row = 0;
    } else {
        this->note_failure(answer.asked_at);
    }
    if (answered == this->reachable) {
        return;
    }
    this->reachable = answered;
    if (answered) {
        this->note_return();
    } else {
        this->answered_before = this->last_answer_at;
    }
    log_event(answered ? "store_regained" : "store_lost", {{"result", name_of(answer.result)}});
}

milliseconds left_of_pause(milliseconds pause, milliseconds shortest, milliseconds waited, double spread)
{
    const auto spread_out = [spread](milliseconds span) {
        return milliseconds{static_cast<std::int64_t>(static_cast<double>(span.count) * spread)};
    };
    return std::max(spread_out(pause) - waited, spread_out(shortest));
}

std::optional<std::string> next_page_key(const stored_rows& rows)
{
    if (!rows.has_more || rows.rows.empty()) {
        return std::nullopt;
    }
    // The smallest key above the last one.
    return rows.rows.back().key + std::string(1, '\x01');
}

} // namespace dandelionstep
