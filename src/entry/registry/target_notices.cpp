#include "entry/registry/target_notices.hpp"

#include "adapters/log.hpp"
#include "entry/registry/known_state.hpp"

namespace dandelionstep {
namespace {

void take_rest(entry_context& context, const answering_target& from, milliseconds rest)
{
    const time_point now = event_loop::now();
    target_condition& condition = context.conditions[from.id];
    const bool was_resting = is_backing_off(condition, now);
    note_backoff(condition, rest, {.longest = context.settings.longest_rest}, context.draw(), now);
    ++context.metrics.rests;
    if (!was_resting) {
        log_event("target_rests", {{"target", from.id.value},
                                   {"asked_ms", rest},
                                   {"for_ms", condition.backoff_until - now},
                                   {"in_flight", condition.in_flight}});
    }
}

} // namespace

bool may_run(const entry_context& context, const target_id& target, incarnation started)
{
    const auto known = context.targets.find(target);
    return known == context.targets.end() || known->second.started <= started;
}

void note_failure_of(entry_context& context, const target_id& target, incarnation started,
                     target_failure failure)
{
    if (may_run(context, target, started)) {
        note_failure(context.conditions[target], failure, event_loop::now());
    }
}

void take_notices(entry_context& context, const answering_target& from, const response_facts& facts)
{
    if (facts.is_leaving) {
        note_leaving(context, from, "answer");
    }
    if (facts.rest) {
        take_rest(context, from, *facts.rest);
    } else if (from.was_backoff_trial && !facts.did_not_run) {
        end_backoff(context.conditions[from.id], event_loop::now());
        log_event("target_rests_no_more", {{"target", from.id.value}});
    }
    if (facts.has_unreadable_rest && may_log(context.logs, log_weight::failure, event_loop::now())) {
        log_event("rest_unreadable", {{"target", from.id.value}});
    }
}

bool note_send(entry_context& context, const target_id& target)
{
    const time_point now = event_loop::now();
    target_condition& condition = context.conditions[target];
    if (!is_backing_off(condition, now)) {
        return false;
    }
    if (now >= backoff_chance(condition)) {
        note_backoff_trial(condition, now);
        log_event("resting_target_tried",
                  {{"target", target.value}, {"left_ms", condition.backoff_until - now}});
        return true;
    }
    ++context.metrics.sent_to_resting;
    if (may_log(context.logs, log_weight::failure, now)) {
        log_event("sent_to_resting", {{"target", target.value}, {"left_ms", condition.backoff_until - now}});
    }
    return false;
}

void note_leaving(entry_context& context, const answering_target& target, std::string_view origin)
{
    if (!mark_leaving(context.leaving, target.id, target.started)) {
        return;
    }
    log_event("target_says_leaving",
              {{"target", target.id.value}, {"started", target.started.value}, {"from", origin}});
    const auto known = context.targets.find(target.id);
    if (known == context.targets.end() || known->second.leaving || known->second.started > target.started) {
        return;
    }
    ++context.metrics.leaving_by_answer;
    known->second.leaving = true;
    tell_change(context, target.id);
}

} // namespace dandelionstep
