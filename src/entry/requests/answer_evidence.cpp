#include "entry/requests/answer_evidence.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

} // namespace

answer_evidence evidence_of(std::string_view answered_id, std::string_view attempt_id, connection_use use)
{
    if (answered_id.empty()) {
        return use == connection_use::unused ? answer_evidence::unused_connection : answer_evidence::none;
    }
    return answered_id == attempt_id ? answer_evidence::own_id : answer_evidence::other_id;
}

std::string_view name_of(answer_evidence evidence)
{
    switch (evidence) {
    case answer_evidence::own_id:
        return "own_id";
    case answer_evidence::unused_connection:
        return "unused_connection";
    case answer_evidence::none:
        return "none";
    case answer_evidence::other_id:
        return "other_id";
    }
    return "unknown";
}

awaited_answer awaited_by(const accepted_request& request)
{
    return {request.facts.attempt_id, is_repeatable(request)};
}

// All sendings of a request bear the same id, or none, so that nothing in a refusal tells which of them it
// answers.
std::optional<time_point> carried_nothing_since(const awaited_answer& awaited,
                                                std::optional<time_point> first_sent)
{
    if (awaited.is_repeatable) {
        return first_sent;
    }
    const bool needs_unused = first_sent.has_value() || awaited.attempt_id.empty();
    return needs_unused ? std::optional(time_point{0}) : std::nullopt;
}

answer_check check_answer(entry_context& context, const awaited_answer& awaited, const http_head& head,
                          connection_use use)
{
    const response_facts facts = context.dialect.read_response(head.status, head.headers);
    const answer_evidence evidence = evidence_of(facts.attempt_id, awaited.attempt_id, use);
    // Targets' answers to probes and orders bear no id and go over the same connections. A request that may
    // be repeated takes one for its own: a refusal costs it a repeat at most, and probes' answers aren't
    // signed.
    const bool is_unproven = evidence == answer_evidence::none && !awaited.is_repeatable;
    const bool is_own = evidence != answer_evidence::other_id && !is_unproven;
    if (!is_own) {
        ++context.metrics.answers_skipped[std::string(name_of(evidence))];
        if (may_log(context.logs, log_weight::failure, event_loop::now())) {
            log_event("answer_skipped", {{"id", awaited.attempt_id},
                                         {"answered_id", facts.attempt_id},
                                         {"status", head.status},
                                         {"evidence", name_of(evidence)}});
        }
    }
    return {evidence, is_own};
}

bool promises_not_run(int status)
{
    return status == status_request_timeout || status == status_misdirected || status == status_too_many ||
           status == status_unavailable;
}

void count_refusal(entry_context& context, answer_evidence evidence)
{
    ++context.metrics.refusals[std::string(name_of(evidence))];
}

} // namespace dandelionstep
