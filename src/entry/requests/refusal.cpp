#include "entry/requests/refusal.hpp"

#include "adapters/log.hpp"
#include "route/pick_target.hpp"
#include "route/return_time.hpp"
#include "target/uncovered_layers.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int status_unavailable = 503;
// Until a lost engine is noticed and the registration of the one that took its layers over is known.
constexpr milliseconds replacement_lag{300};

std::int64_t running_on_engines(const entry_context& context, const service_id& service)
{
    std::int64_t running = 0;
    for (const auto& [id, target] : context.targets) {
        if (target.service == service) {
            running += condition_of(context.conditions, id).entered;
        }
    }
    return running;
}

} // namespace

std::optional<milliseconds> layers_return(const entry_context& context, const entry_service& service)
{
    const time_point now = event_loop::now();
    const engine_profile& engine = *service.engine;
    const std::int64_t missing =
        uncovered_layers(context.targets, context.conditions, service.id, engine.layers, now);
    if (missing == 0) {
        return std::nullopt;
    }
    const milliseconds load = engine.load_time * missing / std::max<std::int64_t>(1, engine.layers);
    const auto span = context.refusals.find(service.id);
    const milliseconds passed =
        span == context.refusals.end() ? milliseconds{0} : refused_for(span->second, now);
    return std::max(load + replacement_lag - passed, milliseconds{0});
}

std::optional<milliseconds> room_return(const entry_context& context, const entry_service& service)
{
    const engine_profile& engine = *service.engine;
    const double events = engine.mean_answer_tokens / std::max(1.0, engine.steps_per_event);
    const milliseconds duration{static_cast<std::int64_t>(events * context.event_gap_ms)};
    if (duration.count <= 0) {
        return std::nullopt;
    }
    return time_to_next_completion(duration, static_cast<double>(running_on_engines(context, service.id)));
}

std::optional<milliseconds> target_return(const entry_context& context, const service_id& service)
{
    const time_point now = event_loop::now();
    std::optional<milliseconds> first;
    for (const auto& [id, target] : context.targets) {
        if (target.service != service || target.leaving) {
            continue;
        }
        const target_condition& condition = condition_of(context.conditions, id);
        const time_point tried_until = is_in_half_open_trial(condition, now) ? condition.trial_until : now;
        const milliseconds wait =
            std::max({condition.avoid_until, condition.backoff_until, tried_until, now}) - now;
        first = first ? std::min(*first, wait) : wait;
    }
    return first;
}

std::optional<time_point> all_rest_until(const entry_context& context, const service_id& service)
{
    const time_point now = event_loop::now();
    for (const auto& [id, target] : context.targets) {
        const bool is_offered = target.service == service && !target.leaving;
        if (is_offered && !is_backing_off(condition_of(context.conditions, id), now)) {
            return std::nullopt;
        }
    }
    return first_backoff_end(service, context.targets, context.conditions, now);
}

namespace {

void refuse_after(entry_context& context, const accepted_request& request, std::string_view reason,
                  std::optional<milliseconds> expected, milliseconds after)
{
    const time_point now = event_loop::now();
    if (may_log(context.logs, log_weight::failure, now)) {
        log_event("refused_for_now", {{"id", request.facts.attempt_id},
                                      {"reason", reason},
                                      {"service", request.service.value},
                                      {"refused_for_ms", refused_for(context.refusals[request.service], now)},
                                      {"expected_ms", expected.value_or(milliseconds{-1})},
                                      {"retry_after_ms", after}});
    }
    refuse(context, request, status_unavailable, reason, after);
}

} // namespace

void refuse_for_now(entry_context& context, const accepted_request& request, std::string_view reason,
                    std::optional<milliseconds> expected)
{
    const time_point now = event_loop::now();
    refusal_streak& span = context.refusals[request.service];
    record_refusal(span, now);
    const milliseconds after = retry_after_delay(refused_for(span, now), expected, context.draw());
    refuse_after(context, request, reason, expected, after);
}

void refuse_until(entry_context& context, const accepted_request& request, std::string_view reason,
                  time_point ready)
{
    const time_point now = event_loop::now();
    record_refusal(context.refusals[request.service], now);
    const milliseconds expected = std::max(ready - now, milliseconds{0});
    refuse_after(context, request, reason, expected, retry_after_backoff(expected, context.draw()));
}

void refuse_segments(entry_context& context, const accepted_request& request, milliseconds retry_after)
{
    ++context.metrics.segment_refusals;
    refuse(context, request, status_unavailable, segments_crash_targets, retry_after);
}

} // namespace dandelionstep
