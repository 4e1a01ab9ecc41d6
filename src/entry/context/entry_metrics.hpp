#pragma once

#include "report/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace dandelionstep {

//! Counts of an entry daemon since its start.
struct entry_metrics {
    //! By kind of route, then by what became of the request.
    std::map<std::string, std::map<std::string, std::int64_t>> requests;
    //! Until the first part of the answer, by kind of route.
    std::map<std::string, latency_histogram> first_part;
    //! Between two events of a stream.
    latency_histogram event_gap;
    //! Requests sent to targets after the first, by reason.
    std::map<std::string, std::int64_t> retries;
    //! The same, of those that the retry budget did not allow.
    std::map<std::string, std::int64_t> retries_denied;
    //! Retries that the budget allows as of now, by service.
    std::map<std::string, std::int64_t> retries_saved;
    //! Requests sent to targets that had asked for a rest which had not ended.
    std::int64_t sent_to_resting = 0;
    //! Targets that died while a request was on them, once for each of those requests.
    std::int64_t deaths_under_requests = 0;
    //! The same, of requests whose answer had not begun in the present attempt.
    std::int64_t deaths_before_answers = 0;
    //! Requests that tried a suspected segment, and requests that were refused for one.
    std::int64_t segment_trials = 0;
    std::int64_t segment_refusals = 0;
    //! Eras of the store that began after the first one.
    std::int64_t store_eras = 0;
    //! Targets that were known to leave by an answer first, and answers that asked for a rest.
    std::int64_t leaving_by_answer = 0;
    std::int64_t rests = 0;
    //! Targets' refusals, and answers that were not taken for the awaited one, by what showed whose they are.
    std::map<std::string, std::int64_t> refusals;
    std::map<std::string, std::int64_t> answers_skipped;
    //! Callers whose connections were ended as they did not read.
    std::int64_t callers_cut_unread = 0;
    //! Connections that this daemon closed, unannounced, behind which bytes of a request were unanswered.
    std::int64_t callers_cut_unanswered = 0;
    //! Connections that a timeout ended, by what was owed on them.
    std::map<std::string, std::int64_t> callers_timed_out;
    //! Requests that were refused before they were read to their end, by status.
    std::map<std::string, std::int64_t> requests_unreadable;
    //! New streams that had to wait for room, and the sum of the waits that ended with a send, by priority;
    //! and those that were refused, by reason and priority.
    std::map<std::string, std::int64_t> admission_waits;
    std::map<std::string, std::int64_t> admission_wait_ms;
    std::map<std::string, std::map<std::string, std::int64_t>> admission_refusals;
    //! Calls to the store by what they were made for, then by result.
    std::map<std::string, std::map<std::string, std::int64_t>> store_calls;
    //! Orders to engines by result.
    std::map<std::string, std::int64_t> orders;
    //! Reports that engines were asked for, and that they were not asked for as events had come through them,
    //! by reason.
    std::map<std::string, std::int64_t> probes;
    std::map<std::string, std::int64_t> probes_saved;
    //! Learned lengths of answers in tokens, by route, and by how much these and the stated ones are off.
    std::map<std::string, std::int64_t> answer_tokens;
    std::map<std::string, std::int64_t> answer_error_percent;
    std::map<std::string, std::int64_t> stated_error_percent;
    //! Values as of now, by name.
    std::map<std::string, std::int64_t> gauges;
};

//! The counts in Prometheus text format.
std::string to_prometheus(const entry_metrics& metrics);

} // namespace dandelionstep
