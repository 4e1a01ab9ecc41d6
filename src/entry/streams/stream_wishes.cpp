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

} // namespace dandelionstep::internal
