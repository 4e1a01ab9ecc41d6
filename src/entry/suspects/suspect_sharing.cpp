#include "entry/suspects/suspect_sharing.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

void notify(const entry_context& context)
{
    if (context.on_change) {
        context.on_change();
    }
    if (context.on_suspects) {
        context.on_suspects();
    }
}

// Daemons that do not read the store place no layers.
void note_news_of_ended(const entry_context& context)
{
    if (context.on_suspects) {
        context.on_suspects();
    }
    if (context.on_ended) {
        context.on_ended();
    }
}

void log_learnt(entry_context& context, request_fingerprint request, std::string_view origin)
{
    const time_point now = event_loop::now();
    const auto found = context.suspects.table.suspects.find(request);
    if (found == context.suspects.table.suspects.end() || !may_log(context.logs, log_weight::failure, now)) {
        return;
    }
    log_event("suspect_learnt", {{"fingerprint", request.value},
                                 {"from", origin},
                                 {"deaths", static_cast<std::int64_t>(found->second.takedowns.size())},
                                 {"age_ms", now - found->second.last},
                                 {"answered", found->second.finished ? "yes" : "no"}});
}

} // namespace

void tell_suspect(entry_context& context, request_fingerprint request)
{
    share(context.suspects, request);
    notify(context);
}

void tell_segment(entry_context& context, segment_fingerprint segment)
{
    share_segment(context.segments, segment);
    notify(context);
    if (context.on_urgent) {
        context.on_urgent();
    }
}

void tell_ended(entry_context& context, const target_id& target, incarnation started)
{
    const time_point now = event_loop::now();
    if (!note_ended(context.ended, target, started, now, now)) {
        return;
    }
    log_event("target_ended", {{"target", target.value}, {"started", started.value}, {"from", "check"}});
    note_news_of_ended(context);
    if (context.on_urgent) {
        context.on_urgent();
    }
}

void learn_ended(entry_context& context, const std::vector<ended_report>& reports, std::string_view origin)
{
    const time_point now = event_loop::now();
    bool has_changes = false;
    for (const ended_report& report : reports) {
        if (note_ended(context.ended, report.target, report.started, now - report.age, now)) {
            has_changes = true;
            log_event("target_ended",
                      {{"target", report.target.value}, {"started", report.started.value}, {"from", origin}});
        }
    }
    if (has_changes) {
        note_news_of_ended(context);
    }
}

std::vector<ended_report> ended_reports(const entry_context& context)
{
    const time_point now = event_loop::now();
    std::vector<ended_report> reports;
    for (const auto& [target, process] : context.ended.newest) {
        if (has_ended(context.ended, target, process.started, now)) {
            reports.push_back({target, process.started, now - process.found_at});
        }
    }
    return reports;
}

void learn_segments(entry_context& context, const std::vector<segment_report>& reports,
                    std::string_view origin)
{
    const time_point now = event_loop::now();
    bool has_changes = false;
    for (const segment_report& report : reports) {
        if (!merge(context.segments, report, now)) {
            continue;
        }
        has_changes = true;
        const int level = suspicion_level(context.segments, report.segment, now);
        if (level <= 0 && !may_log(context.logs, log_weight::failure, now)) {
            continue;
        }
        log_event("segment_learnt", {{"fingerprint", report.segment.value},
                                     {"from", origin},
                                     {"crashes", static_cast<std::int64_t>(report.crashes.size())},
                                     {"level", level}});
    }
    if (has_changes) {
        notify(context);
    }
}

void learn_suspects(entry_context& context, const std::vector<suspect_report>& reports,
                    std::string_view origin)
{
    const auto changed = merge_reports(context.suspects, reports, event_loop::now());
    for (const request_fingerprint request : changed) {
        log_learnt(context, request, origin);
    }
    if (!changed.empty()) {
        notify(context);
    }
}

} // namespace dandelionstep
