#include "entry/requests/expected_answer.hpp"
#include "entry/streams/internal/stream_carrier.hpp"

#include <algorithm>

namespace dandelionstep::internal {
namespace {

// Longer than a probe of an engine takes.
constexpr milliseconds longest_doubt{60};

} // namespace

std::int64_t stream_carrier::answer_tokens() const
{
    return answer_tokens_until(this->request,
                               this->splitter.last_id.value_or(this->splitter.returned_events));
}

// What an engine that joins the path now has to read: the prompt and the answer so far.
std::int64_t stream_carrier::tokens_read() const
{
    const auto steps = static_cast<std::int64_t>(this->service.engine->steps_per_event);
    return this->request.facts.prompt_tokens.value + this->splitter.last_id.value_or(0) * steps;
}

path_wish stream_carrier::wish() const
{
    path_wish wish;
    wish.service = &this->service;
    wish.excluded = this->excluded;
    wish.gap_objective = this->request.route->gap_objective;
    wish.latency_objective = this->request.route->latency_objective;
    if (this->context.controls_load()) {
        const std::int64_t answer = expected_answer_tokens(this->context, this->request);
        wish.prompt_tokens = this->request.facts.prompt_tokens.value;
        wish.total_tokens = wish.prompt_tokens + std::max(answer, this->answer_tokens());
    }
    return wish;
}

path_wish stream_carrier::move_wish() const
{
    path_wish moved = this->wish();
    moved.moved_tokens = std::max<std::int64_t>(1, this->tokens_read());
    return moved;
}

// An engine that has the request already would spend one of its attempts for nothing.
path_wish stream_carrier::elsewhere_wish() const
{
    path_wish elsewhere = this->move_wish();
    elsewhere.excluded.insert(this->current->path.front().id);
    return elsewhere;
}

// A first engine that is silent as well would get the same stream twice when it goes on: it begins both and
// gives up the first for the second, which has been cancelled for the first by then.
path_wish stream_carrier::succession_wish() const
{
    return this->is_first_alive() ? this->move_wish() : this->elsewhere_wish();
}

void stream_carrier::doubt_first()
{
    const target_id& first = this->current->path.front().id;
    this->doubted_at = event_loop::now();
    this->answers_at_doubt = condition_of(this->context.conditions, first).calls_answered;
}

// Only an answer that came since counts: an engine may fall silent right after any other.
bool stream_carrier::is_first_alive() const
{
    const target_id& first = this->current->path.front().id;
    return condition_of(this->context.conditions, first).calls_answered > this->answers_at_doubt;
}

// Whether the first engine was asked for a sign of life and may still give one.
bool stream_carrier::awaits_first()
{
    const time_point now = event_loop::now();
    if (now - this->doubted_at >= pause_without_path) {
        const hop& first = this->current->path.front();
        this->doubt_first();
        this->tools.probes.ask_now(first.id, first.address, "doubted_first");
    }
    return !this->is_first_alive() && now - this->doubted_at < longest_doubt;
}

// An engine that was left as silent is better than none, and is usable again once it answers.
path_wish stream_carrier::last_wish(const target_id& left) const
{
    path_wish last = this->move_wish();
    for (const target_id& silent : this->left_silent) {
        last.excluded.erase(silent);
    }
    last.excluded.insert(left);
    return last;
}

// What an engine of the path does from here on is judged anew.
void stream_carrier::take_back(const std::vector<hop>& path)
{
    for (const hop& part : path) {
        this->excluded.erase(part.id);
        this->left_silent.erase(part.id);
    }
}

} // namespace dandelionstep::internal
