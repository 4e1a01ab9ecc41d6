#include "entry/requests/expected_answer.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Callers and engines number events as they like; no answer is longer.
constexpr double most_answer_tokens = 1e9;

} // namespace

answer_query answer_query_of(const accepted_request& request)
{
    answer_query query;
    query.route = request.route->name;
    query.organisation = request.organisation ? request.organisation->value : "";
    if (!request.facts.shared_segments.empty()) {
        query.segment = request.facts.shared_segments.front().value;
    }
    query.hint = request.facts.answer_hint;
    query.most = request.facts.max_answer_tokens.value;
    return query;
}

std::int64_t expected_answer_tokens(const entry_context& context, const accepted_request& request)
{
    const answer_query query = answer_query_of(request);
    return context.controls_load() ? expected_answer_tokens(context.costs, query, event_loop::now())
                                   : stated_answer_tokens(query);
}

std::int64_t answer_tokens_until(const accepted_request& request, std::optional<std::int64_t> last_event)
{
    const entry_service& service = request.config->services.at(request.service);
    const double steps = service.engine ? std::max(1.0, service.engine->steps_per_event) : 1;
    const double tokens = static_cast<double>(last_event.value_or(0)) * steps;
    return static_cast<std::int64_t>(std::clamp(tokens, 0.0, most_answer_tokens));
}

void learn_answer(entry_context& context, const accepted_request& request, std::int64_t tokens,
                  bool is_complete)
{
    if (!context.controls_load()) {
        return;
    }
    const answer_query query = answer_query_of(request);
    if (is_complete) {
        note_answer(context.costs, query, tokens, event_loop::now());
    } else {
        note_cut_answer(context.costs, query, tokens, event_loop::now());
    }
}

} // namespace dandelionstep
