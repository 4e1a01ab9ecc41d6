#include "entry/caller_reports.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

bool may_log_failure(entry_context& context)
{
    return may_log(context.logs, log_weight::failure, event_loop::now());
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
}

} // namespace dandelionstep
