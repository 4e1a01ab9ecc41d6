#include "entry/caller_reports.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

bool may_log_failure(entry_context& context)
{
    return may_log(context.logs, log_weight::failure, event_loop::now());
}

// Connections that were merely idle are counted alone.
void note_timeout(entry_context& context, const timed_out_connection& ended)
{
    if (ended.unsent_bytes == 0) {
        ++context.metrics.callers_timed_out["nothing"];
        return;
    }
    ++context.metrics.callers_timed_out["answer"];
    if (may_log_failure(context)) {
        log_event("caller_timed_out", {{"quiet_ms", ended.quiet},
                                       {"timeout_ms", ended.timeout},
                                       {"unsent_bytes", static_cast<std::int64_t>(ended.unsent_bytes)}});
    }
}

void note_unreadable(entry_context& context, const unreadable_request& refused)
{
    ++context.metrics.requests_unreadable[absl::StrCat(refused.status)];
    if (may_log_failure(context)) {
        log_event("request_unreadable", {{"status", refused.status},
                                         {"head_bytes", static_cast<std::int64_t>(refused.head_bytes)},
                                         {"body_bytes", static_cast<std::int64_t>(refused.body_bytes)},
                                         {"ms", refused.age}});
    }
}

} // namespace

void report_callers(entry_context& context, caller_port& callers)
{
    callers.on_unanswered([&context](std::size_t bytes) {
        ++context.metrics.callers_cut_unanswered;
        if (may_log_failure(context)) {
            log_event("closed_unanswered", {{"bytes", static_cast<std::int64_t>(bytes)}});
        }
    });
    callers.on_unread([&context](std::size_t bytes) {
        ++context.metrics.callers_cut_unread;
        if (may_log_failure(context)) {
            log_event("caller_does_not_read", {{"bytes", static_cast<std::int64_t>(bytes)}});
        }
    });
    callers.on_timeout([&context](const timed_out_connection& ended) { note_timeout(context, ended); });
    callers.on_unreadable(
        [&context](const unreadable_request& refused) { note_unreadable(context, refused); });
}

} // namespace dandelionstep
