#include "adapters/internal/caller_connection.hpp"

#include "adapters/http_text.hpp"
#include "adapters/socket_options.hpp"
#include "adapters/socket_state.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <sys/socket.h>
#include <utility>

namespace dandelionstep {
namespace {

// For what a caller sends although its whole answer has reached it.
constexpr milliseconds linger_time{2'000};
constexpr int status_request_timeout = 408;

} // namespace

void caller_connection::on_written()
{
    if (!this->closing || this->lingers_since || this->has_unsent_answer()) {
        return;
    }
    const bool has_unread = evbuffer_get_length(bufferevent_get_input(this->raw)) > 0 ||
                            has_unread_bytes(bufferevent_getfd(this->raw));
    if (this->was_refused || has_unread || this->undelivered_bytes() > 0) {
        this->linger();
    } else {
        this->end(false);
    }
}

// The system resets a connection that has bytes unread when it is closed, or that gets some afterwards, and
// drops what it has not delivered.
void caller_connection::linger()
{
    this->report_unanswered();
    this->lingers_since = event_loop::now();
    shutdown(bufferevent_getfd(this->raw), SHUT_WR);
    bufferevent_setwatermark(this->raw, EV_READ, 0, 0);
    this->discard_input();
}

// The parts of a request that was refused may be as far apart as those of any other.
bool caller_connection::may_linger(time_point now) const
{
    if (now - std::max(*this->lingers_since, this->last_delivery) > this->bounds.idle_timeout) {
        return false;
    }
    return this->was_refused || this->was_written || now - this->last_progress() <= linger_time;
}

void caller_connection::discard_input()
{
    evbuffer* input = bufferevent_get_input(this->raw);
    evbuffer_drain(input, evbuffer_get_length(input));
    this->last_activity = event_loop::now();
}

void caller_connection::on_end_of_input()
{
    if (!this->current && this->has_unsent_answer()) {
        this->keep = false;
        this->closing = true;
        bufferevent_disable(this->raw, EV_READ);
        return;
    }
    this->end(true);
}

void caller_connection::report_unanswered() const
{
    const std::size_t waiting = evbuffer_get_length(bufferevent_get_input(this->raw));
    const bool is_read = waiting > 0 || (!this->current && this->reader.inside_message());
    if (this->keep && is_read && this->owner->on_unanswered) {
        this->owner->on_unanswered(waiting);
    }
}

void caller_connection::report_timeout(milliseconds quiet, milliseconds timeout) const
{
    if (this->owner->on_timeout) {
        this->owner->on_timeout({quiet, timeout, this->undelivered_bytes()});
    }
}

void caller_connection::report_unreadable(int status) const
{
    if (this->owner->on_unreadable && this->reading) {
        this->owner->on_unreadable({status, this->reader.head_bytes(), this->reading->body.size(),
                                    event_loop::now() - this->reading->began});
    }
}

void caller_connection::end(bool gone)
{
    const auto found = this->owner->open.find(this);
    if (found == this->owner->open.end()) {
        return;
    }
    const std::shared_ptr<caller_connection> kept = std::move(found->second);
    this->owner->open.erase(found);
    this->owner->paused.erase(this);
    this->has_ended = true;
    if (!gone && !this->lingers_since) {
        this->report_unanswered();
    }
    const std::shared_ptr<caller_exchange> cut = std::move(this->current);
    bufferevent_disable(this->raw, EV_READ | EV_WRITE);
    bufferevent_setcb(this->raw, nullptr, nullptr, nullptr, nullptr);
    evbuffer* output = bufferevent_get_output(this->raw);
    evbuffer_remove_cb_entry(output, this->output_watch);
    this->owner->unread->held -= std::min(this->owner->unread->held, evbuffer_get_length(output));
    this->owner->loop.post([kept] { bufferevent_free(kept->raw); });
    if (cut) {
        cut->connection = nullptr;
        const std::function<void()> notify = std::move(cut->on_gone);
        if (gone && notify) {
            notify();
        }
    }
}

// The system does not notice that a caller is cut off once it was allowed to pause.
void caller_connection::check_delivery(time_point now)
{
    const milliseconds limit = std::max(this->bounds.idle_timeout, unacknowledged_limit);
    const milliseconds quiet = now - this->last_delivery;
    if (this->was_written && quiet > limit) {
        this->report_timeout(quiet, limit);
        this->end(true);
    }
}

void caller_connection::check_timeouts(time_point now)
{
    this->note_delivery(now);
    this->allow_pauses();
    if (this->current) {
        this->check_delivery(now);
        return;
    }
    if (this->lingers_since) {
        if (!this->may_linger(now)) {
            if (this->was_written) {
                this->report_timeout(now - this->last_delivery, this->bounds.idle_timeout);
            }
            this->end(true);
        }
        return;
    }
    const milliseconds quiet = now - this->last_progress();
    const bool is_quiet = quiet > this->bounds.idle_timeout;
    const bool is_inside = !this->closing && this->reader.inside_message();
    const bool head_is_late = is_inside && !this->reader.head_done() && this->reading &&
                              now - this->reading->began > this->bounds.header_timeout;
    if ((!is_quiet && !head_is_late) || this->has_unread_request()) {
        return;
    }
    if (is_inside) {
        this->refuse_beyond_bounds(status_request_timeout);
    } else {
        this->report_timeout(quiet, this->bounds.idle_timeout);
        this->end(true);
    }
}

} // namespace dandelionstep
