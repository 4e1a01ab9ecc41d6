#include "entry/context/entry_metrics.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep {
namespace {

void append_count(std::string& text, std::string_view name, std::int64_t count)
{
    const std::string metric(name);
    absl::StrAppend(&text, "# TYPE ", metric, " counter\n", metric, " ", count, "\n");
}

void append_values(std::string& text, const std::string& name, const std::string& label,
                   const std::map<std::string, std::int64_t>& values)
{
    for (const auto& [key, value] : values) {
        absl::StrAppend(&text, name, "{", label, "=\"", key, "\"} ", value, "\n");
    }
}

void append_gauges(std::string& text, const std::string& name, const std::string& label,
                   const std::map<std::string, std::int64_t>& values)
{
    absl::StrAppend(&text, "# TYPE ", name, " gauge\n");
    append_values(text, name, label, values);
}

void append_counts(std::string& text, const std::string& name, const std::string& label,
                   const std::map<std::string, std::int64_t>& counts)
{
    absl::StrAppend(&text, "# TYPE ", name, " counter\n");
    append_values(text, name, label, counts);
}

void append_counts(std::string& text, const std::string& name, const std::string& outer_label,
                   const std::string& inner_label,
                   const std::map<std::string, std::map<std::string, std::int64_t>>& counts)
{
    absl::StrAppend(&text, "# TYPE ", name, " counter\n");
    for (const auto& [outer, inner_counts] : counts) {
        for (const auto& [inner, count] : inner_counts) {
            absl::StrAppend(&text, name, "{", outer_label, "=\"", outer, "\",", inner_label, "=\"", inner,
                            "\"} ", count, "\n");
        }
    }
}

} // namespace

std::string to_prometheus(const entry_metrics& metrics)
{
    std::string text;
    append_counts(text, "dandelionstep_entry_requests_total", "kind", "result", metrics.requests);
    append_counts(text, "dandelionstep_entry_retries_total", "reason", metrics.retries);
    append_counts(text, "dandelionstep_entry_retries_denied_total", "reason", metrics.retries_denied);
    append_gauges(text, "dandelionstep_entry_retries_saved", "service", metrics.retries_saved);
    append_gauges(text, "dandelionstep_entry_answer_tokens", "route", metrics.answer_tokens);
    append_gauges(text, "dandelionstep_entry_answer_error_percent", "route", metrics.answer_error_percent);
    append_gauges(text, "dandelionstep_entry_stated_error_percent", "route", metrics.stated_error_percent);
    append_count(text, "dandelionstep_entry_sent_to_resting_total", metrics.sent_to_resting);
    append_count(text, "dandelionstep_entry_deaths_under_requests_total", metrics.deaths_under_requests);
    append_count(text, "dandelionstep_entry_deaths_before_answers_total", metrics.deaths_before_answers);
    append_count(text, "dandelionstep_entry_store_eras_total", metrics.store_eras);
    append_count(text, "dandelionstep_entry_segment_trials_total", metrics.segment_trials);
    append_count(text, "dandelionstep_entry_segment_refusals_total", metrics.segment_refusals);
    append_count(text, "dandelionstep_entry_leaving_by_answer_total", metrics.leaving_by_answer);
    append_count(text, "dandelionstep_entry_rests_total", metrics.rests);
    append_counts(text, "dandelionstep_entry_refusals_total", "evidence", metrics.refusals);
    append_counts(text, "dandelionstep_entry_answers_skipped_total", "evidence", metrics.answers_skipped);
    append_count(text, "dandelionstep_entry_callers_cut_unread_total", metrics.callers_cut_unread);
    append_count(text, "dandelionstep_entry_callers_cut_unanswered_total", metrics.callers_cut_unanswered);
    append_counts(text, "dandelionstep_entry_callers_timed_out_total", "owed", metrics.callers_timed_out);
    append_counts(text, "dandelionstep_entry_requests_unreadable_total", "status",
                  metrics.requests_unreadable);
    append_counts(text, "dandelionstep_entry_admission_waits_total", "priority", metrics.admission_waits);
    append_counts(text, "dandelionstep_entry_admission_wait_ms_total", "priority", metrics.admission_wait_ms);
    append_counts(text, "dandelionstep_entry_admission_refusals_total", "reason", "priority",
                  metrics.admission_refusals);
    append_counts(text, "dandelionstep_entry_store_calls_total", "reason", "result", metrics.store_calls);
    append_counts(text, "dandelionstep_entry_orders_total", "result", metrics.orders);
    append_counts(text, "dandelionstep_entry_probes_total", "reason", metrics.probes);
    append_counts(text, "dandelionstep_entry_probes_saved_total", "reason", metrics.probes_saved);
    for (const auto& [name, value] : metrics.gauges) {
        absl::StrAppend(&text, "# TYPE dandelionstep_entry_", name, " gauge\n", "dandelionstep_entry_", name,
                        " ", value, "\n");
    }
    absl::StrAppend(&text, "# TYPE dandelionstep_entry_first_part_seconds histogram\n");
    for (const auto& [kind, histogram] : metrics.first_part) {
        absl::StrAppend(&text, histogram.to_prometheus("dandelionstep_entry_first_part_seconds",
                                                       absl::StrCat("kind=\"", kind, "\"")));
    }
    absl::StrAppend(&text, "# TYPE dandelionstep_entry_event_gap_seconds histogram\n",
                    metrics.event_gap.to_prometheus("dandelionstep_entry_event_gap_seconds", ""));
    return text;
}

} // namespace dandelionstep
