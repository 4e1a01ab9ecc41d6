#include "adapters/internal/caller_connection.hpp"
#include "adapters/socket_options.hpp"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <bit>
#include <event2/buffer.h>
#include <utility>
#include <vector>

namespace dandelionstep {
namespace {

// Long requests leave one part in so many of the budget to short ones.
constexpr std::size_t parts_with_reserve = 8;
constexpr std::size_t short_request_bytes = std::size_t{64} * 1024;
// How long bytes wait for room. A caller that is refused then has most of its time left for another daemon.
constexpr milliseconds longest_pause{1'000};
constexpr milliseconds resume_interval{10};
constexpr int status_unavailable = 503;

// The bytes of a body that are held when so many of it have come. A body that doesn't tell its length is
// expected to be long, and held in doubling steps.
std::size_t expected_length(const http_head& head, std::size_t come, std::size_t most)
{
    std::uint64_t length = 0;
    if (absl::SimpleAtoi(head.header("Content-Length"), &length)) {
        return std::max(come, static_cast<std::size_t>(std::min<std::uint64_t>(length, most)));
    }
    if (head.header("Transfer-Encoding").empty()) {
        return come;
    }
    return std::max(come, std::min(std::bit_ceil(std::max(come, 2 * short_request_bytes)), most));
}

} // namespace

std::size_t room_for(const byte_budget& budget, std::size_t held, std::size_t needed)
{
    const std::size_t reserve = budget.most / parts_with_reserve;
    const std::size_t others = budget.held - std::min(budget.held, held);
    if (needed <= short_request_bytes) {
        return budget.most;
    }
    // One that is longer than the budget has room while nothing else takes much: it was allowed by the
    // bounds.
    return others <= reserve ? std::max(budget.most, others + needed) : budget.most - reserve;
}

bool caller_exchange::hold(const std::shared_ptr<byte_budget>& budget_in, std::size_t bytes, std::size_t most)
{
    if (bytes <= this->held_bytes) {
        return true;
    }
    const std::size_t more = bytes - this->held_bytes;
    if (budget_in->held + more > most) {
        return false;
    }
    this->budget = budget_in;
    this->budget->held += more;
    this->held_bytes = bytes;
    return true;
}

void caller_exchange::hold_only(std::size_t bytes)
{
    if (this->budget && bytes < this->held_bytes) {
        this->budget->held -= this->held_bytes - bytes;
        this->held_bytes = bytes;
    }
}

caller_exchange::~caller_exchange()
{
    this->hold_only(0);
}

std::shared_ptr<const std::string> shared_body(const std::shared_ptr<caller_exchange>& exchange)
{
    return {exchange, &exchange->body};
}

// The length that a head declares is held at once, so that a request that was begun can be read to its end,
// and few are begun that wait for each other.
bool caller_connection::has_room_for_request(std::size_t more)
{
    if (!this->owner->requests) {
        return true;
    }
    caller_exchange& request = *this->reading;
    const std::size_t come = request.body.size() + more;
    const std::size_t body =
        this->reader.head_done() ? expected_length(request.head, come, this->bounds.max_body_bytes) : come;
    const std::size_t needed = this->reader.head_bytes() + body;
    const bool is_longer = needed > request.held_bytes;
    if (is_longer && needed > short_request_bytes && this->owner->has_older_paused(*this)) {
        return false;
    }
    if (!request.hold(this->owner->requests, needed,
                      room_for(*this->owner->requests, request.held_bytes, needed))) {
        return false;
    }
    // A text that grows takes up to three times its size for a moment.
    request.body.reserve(this->reader.head_done() ? body : 0);
    return true;
}

void caller_connection::pause_reading()
{
    if (this->paused_since) {
        return;
    }
    this->paused_since = event_loop::now();
    bufferevent_disable(this->raw, EV_READ);
    this->owner->paused.insert(this);
    this->owner->watch_paused();
}

void caller_connection::end_pause()
{
    if (this->paused_since) {
        this->reading->waited = this->reading->waited + (event_loop::now() - *this->paused_since);
        this->paused_since.reset();
        this->owner->paused.erase(this);
        bufferevent_enable(this->raw, EV_READ);
    }
}

void caller_connection::refuse_for_room()
{
    this->refuse(status_unavailable, this->owner->refusal_without_room());
}

// Its caller sends nothing although there is room.
bool caller_connection::holds_room_idly(time_point now) const
{
    return this->reading && !this->paused_since && this->reading->held_bytes > short_request_bytes &&
           now - this->last_activity >= longest_pause && !this->has_unread_request();
}

bool caller_port::state::has_older_paused(const caller_connection& than) const
{
    return std::ranges::any_of(this->paused, [&than](const caller_connection* other) {
        return other != &than && other->reading && other->reading->began < than.reading->began;
    });
}

void caller_port::state::watch_paused()
{
    if (this->paused_timer_runs) {
        return;
    }
    this->paused_timer_runs = true;
    this->paused_timer = this->loop.run_every(resume_interval, [this] { this->resume_paused(); });
}

void caller_port::state::resume_paused()
{
    const time_point now = event_loop::now();
    std::vector<caller_connection*> waiting(this->paused.begin(), this->paused.end());
    std::ranges::sort(waiting, {}, [](const caller_connection* one) { return one->reading->began; });
    for (caller_connection* one : waiting) {
        if (!this->paused.contains(one)) {
            continue;
        }
        one->on_readable();
        if (this->paused.contains(one) &&
            one->reading->waited + (now - *one->paused_since) >= longest_pause) {
            one->refuse_for_room();
        }
    }
    if (!this->paused.empty()) {
        this->refuse_idle_holders(now);
        this->end_mutual_wait();
    } else {
        this->paused_timer = {};
        this->paused_timer_runs = false;
    }
}

// Requests that don't tell their lengths may hold most of the room and all wait for more: the latest gives
// way.
void caller_port::state::end_mutual_wait()
{
    constexpr std::size_t half = 2;
    std::size_t held = 0;
    caller_connection* latest = nullptr;
    for (caller_connection* one : this->paused) {
        held += one->reading->held_bytes;
        const bool holds = one->reading->held_bytes > short_request_bytes;
        if (holds && (latest == nullptr || one->reading->began > latest->reading->began)) {
            latest = one;
        }
    }
    if (latest != nullptr && held > this->requests->most / half) {
        latest->refuse_for_room();
    }
}

void caller_port::state::refuse_idle_holders(time_point now)
{
    std::vector<caller_connection*> idle;
    for (const auto& [connection, owned] : this->open) {
        if (connection->holds_room_idly(now)) {
            idle.push_back(connection);
        }
    }
    for (caller_connection* one : idle) {
        one->refuse_for_room();
    }
}

void caller_port::bound_requests(std::shared_ptr<byte_budget> requests, std::function<http_headers()> refusal)
{
    this->self->requests = std::move(requests);
    this->self->refusal_without_room = std::move(refusal);
}

int caller_port::paused() const
{
    return static_cast<int>(this->self->paused.size());
}

} // namespace dandelionstep
