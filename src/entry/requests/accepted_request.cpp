#include "entry/requests/accepted_request.hpp"

#include "absl/strings/str_format.h"
#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

constexpr int first_failure_status = 400;

void note_denied(entry_context& context, const accepted_request& request, const char* reason)
{
    ++context.metrics.retries_denied[reason];
    const time_point now = event_loop::now();
    if (may_log(context.logs, log_weight::failure, now)) {
        const retry_budget& budget = context.retry_budgets[request.service];
        log_event("retry_denied", {{"id", request.facts.attempt_id},
                                   {"service", request.service.value},
                                   {"reason", reason},
                                   {"most_saved", static_cast<std::int64_t>(budget.max_balance)},
                                   {"window_requests", requests_in_last_window(budget.counts, now)},
                                   {"window_retries", retries_in_last_window(budget.counts, now)},
                                   {"denied", budget.denied},
                                   {"sharers", retry_sharers(context)}});
    }
}

} // namespace

bool take_another_send(entry_context& context, const accepted_request& request, int sent_count,
                       const char* reason)
{
    if (sent_count >= request.route->max_attempts) {
        return false;
    }
    if (!take_retry(budget_of(context, request.service), event_loop::now())) {
        note_denied(context, request, reason);
        return false;
    }
    ++context.metrics.retries[reason];
    return true;
}

bool is_wanted(const accepted_request& request, milliseconds answer_margin)
{
    return event_loop::now() < request.deadline - answer_margin && !request.caller->has_left();
}

bool is_repeatable(const accepted_request& request)
{
    const entry_route& route = *request.route;
    return route.kind == route_kind::stream ? route.resumable : route.kind == route_kind::idempotent;
}

std::string_view name_of(route_kind kind)
{
    switch (kind) {
    case route_kind::idempotent:
        return "idempotent";
    case route_kind::at_most_once:
        return "at_most_once";
    case route_kind::stream:
        return "stream";
    }
    return "unknown";
}

std::string seconds_text(milliseconds span)
{
    constexpr double ms_per_second = 1000;
    return absl::StrFormat("%.3f", static_cast<double>(span.count) / ms_per_second);
}

void record_request(entry_context& context, const accepted_request& request, int status,
                    std::string_view result, const target_id& target)
{
    const std::string kind(request.route != nullptr ? name_of(request.route->kind) : "unrouted");
    ++context.metrics.requests[kind][std::string(result)];
    if (result == "answered") {
        clear_refusals(context.refusals[request.service]);
    }
    const time_point now = event_loop::now();
    const bool failed = status >= first_failure_status || result == "cut";
    if (!may_log(context.logs, failed ? log_weight::failure : log_weight::success, now)) {
        return;
    }
    log_event("request", {{"id", request.facts.attempt_id},
                          {"kind", kind},
                          {"route", request.route != nullptr ? request.route->name : ""},
                          {"config", request.config ? request.config->version.value : 0},
                          {"organisation", request.organisation ? request.organisation->value : ""},
                          {"status", status},
                          {"result", result},
                          {"target", target.value},
                          {"ms", now - request.caller->began},
                          {"left_ms", request.deadline - now},
                          {"fingerprint", request.fingerprint.value},
                          {"segments", segments_text(request.segments)}});
}

void refuse(entry_context& context, const accepted_request& request, int status, std::string_view reason,
            milliseconds retry_after)
{
    http_headers headers;
    if (retry_after > milliseconds{0}) {
        headers.emplace_back("Retry-After", seconds_text(retry_after));
    }
    if (!request.facts.attempt_id.empty()) {
        headers.emplace_back("Content-Type", "text/plain");
    }
    record_request(context, request, status, reason, {});
    request.caller->answer(status, headers, std::string(reason) + "\n");
}

} // namespace dandelionstep
