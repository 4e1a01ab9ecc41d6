#include "entry/streams/internal/stream_carrier.hpp"

#include <algorithm>

namespace dandelionstep::internal {

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

// A first engine that has yet to begin the stream may be silent as well, and would get the same request twice
// when it goes on. One that has said something since is alive and waits for the lost engine.
path_wish stream_carrier::succession_wish() const
{
    const target_id& first = this->current->path.front().id;
    const bool is_alive = condition_of(this->context.conditions, first).reported_at >= this->progress.sent_at;
    return this->current->is_stream || is_alive ? this->move_wish() : this->elsewhere_wish();
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
