#include "adapters/internal/caller_connection.hpp"

#include "adapters/http_text.hpp"
#include "adapters/socket_options.hpp"
#include "adapters/socket_state.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <utility>

namespace dandelionstep {
namespace {

// Bytes taken from a connection whose request is being answered; the rest waits in the kernel.
constexpr std::size_t max_early_bytes = std::size_t{16} * 1024;
// An answer up to this size has room beside the budget.
constexpr std::size_t short_answer_bytes = std::size_t{4} * 1024;
constexpr int status_body_too_large = 413;
constexpr int status_unavailable = 503;
// In seconds. Another daemon takes the request at once, and this one knows its configuration soon.
constexpr const char* retry_after_start = "0.100";
constexpr int status_head_too_large = 431;
constexpr int status_no_room = 502;
constexpr int status_bad_request = 400;

void on_output(evbuffer* /*output*/, const evbuffer_cb_info* change, void* argument)
{
    static_cast<caller_connection*>(argument)->on_output_changed(change->n_added, change->n_deleted);
}

void on_read(bufferevent* /*raw*/, void* argument)
{
    static_cast<caller_connection*>(argument)->on_readable();
}

void on_write(bufferevent* /*raw*/, void* argument)
{
    static_cast<caller_connection*>(argument)->on_written();
}

void on_event(bufferevent* /*raw*/, short what, void* argument)
{
    auto* connection = static_cast<caller_connection*>(argument);
    if ((what & BEV_EVENT_ERROR) != 0) {
        connection->end(true);
    } else if ((what & BEV_EVENT_EOF) != 0) {
        connection->on_end_of_input();
    }
}

} // namespace

void caller_connection::open(caller_port::state& port, evutil_socket_t socket)
{
    this->owner = &port;
    this->bounds = port.bounds;
    this->last_activity = event_loop::now();
    set_socket_options(socket);
    limit_receive_buffer(socket);
    this->raw = bufferevent_socket_new(port.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(this->raw, on_read, on_write, on_event, this);
    this->output_watch = evbuffer_add_cb(bufferevent_get_output(this->raw), on_output, this);
    bufferevent_enable(this->raw, EV_READ | EV_WRITE);
}

void caller_connection::take_body(std::string_view part)
{
    if (this->reading->body.size() + part.size() > this->bounds.max_body_bytes) {
        this->body_too_large = true;
        return;
    }
    this->reading->body.append(part);
}

bool caller_connection::has_room(std::size_t bytes) const
{
    const std::size_t waiting = evbuffer_get_length(bufferevent_get_output(this->raw));
    return waiting + bytes <= short_answer_bytes || may_grow(*this->owner->unread, waiting, bytes);
}

void caller_connection::report_unread() const
{
    if (this->owner->on_unread) {
        this->owner->on_unread(evbuffer_get_length(bufferevent_get_output(this->raw)));
    }
}

bool caller_connection::write(std::string_view bytes)
{
    if (!this->has_room(bytes.size())) {
        this->report_unread();
        this->end(true);
        return false;
    }
    bufferevent_write(this->raw, bytes.data(), bytes.size());
    return true;
}

// The system's limit (TCP_USER_TIMEOUT) also counts the time of a zero window, also when the window has been
// open since, so that a caller that pauses looks like one that is cut off. `check_delivery` and the idle
// timeout bound a pause.
void caller_connection::allow_pauses()
{
    const evutil_socket_t socket = bufferevent_getfd(this->raw);
    if (!this->may_pause && this->was_written && is_window_full(socket)) {
        this->may_pause = true;
        set_unacknowledged_limit(socket, no_limit);
    }
}

void caller_connection::on_readable()
{
    if (this->lingers_since) {
        this->discard_input();
        return;
    }
    if (this->closing || this->current) {
        // The next request waits until this one is answered.
        bufferevent_setwatermark(this->raw, EV_READ, 0, max_early_bytes);
        return;
    }
    this->last_activity = event_loop::now();
    evbuffer* input = bufferevent_get_input(this->raw);
    while (!this->has_ended && !this->closing && !this->current && evbuffer_get_length(input) > 0) {
        if (!this->reading) {
            this->reading = std::make_shared<caller_exchange>();
            this->reading->began = this->last_activity;
            this->bounds = this->owner->bounds;
        }
        const std::size_t size = evbuffer_get_length(input);
        if (!this->has_room_for_request(size)) {
            this->pause_reading();
            return;
        }
        this->end_pause();
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
        const http_reader::result read = this->reader.feed(std::string_view(bytes, size));
        evbuffer_drain(input, read.taken);
        if (read.state == http_reader::progress::malformed) {
            this->refuse(status_bad_request);
        } else if (this->body_too_large) {
            this->refuse_beyond_bounds(status_body_too_large);
        } else if (!this->reader.head_done() && this->reader.head_bytes() > this->bounds.max_header_bytes) {
            this->refuse_beyond_bounds(status_head_too_large);
        } else if (read.state == http_reader::progress::complete) {
            this->dispatch();
        } else {
            return;
        }
    }
}

void caller_connection::answer_without_room()
{
    this->report_unread();
    this->keep = false;
    const std::string refusal =
        response_text(status_no_room, {{"Connection", "close"}}, "no room for the answer\n");
    bufferevent_write(this->raw, refusal.data(), refusal.size());
    this->answered();
}

// Answers a request that could not be read; what follows on the connection has no known beginning.
void caller_connection::refuse(int status, http_headers headers)
{
    this->report_unreadable(status);
    this->end_pause();
    this->reading.reset();
    this->keep = false;
    this->closing = true;
    this->was_refused = true;
    headers.emplace_back("Connection", "close");
    this->write(response_text(status, headers, ""));
}

void caller_connection::refuse_beyond_bounds(int status)
{
    if (this->bounds.are_preliminary) {
        this->refuse(status_unavailable, {{"Retry-After", retry_after_start}});
    } else {
        this->refuse(status);
    }
}

void caller_connection::dispatch()
{
    this->current = std::move(this->reading);
    this->reading.reset();
    this->current->connection = this;
    this->keep = this->current->head.keep_alive;
    this->current->hold_only(this->reader.head_bytes() + this->current->body.size());
    const std::shared_ptr<caller_exchange> dispatched = this->current;
    this->owner->handle(dispatched);
}

// The answer is in the buffer; the connection takes the next request or ends once the buffer is empty.
void caller_connection::answered()
{
    this->current->connection = nullptr;
    this->current->on_gone = nullptr;
    this->current.reset();
    this->last_activity = event_loop::now();
    this->bounds = this->owner->bounds;
    // Callers may send on until an answer has told them of the end.
    if (!this->keep) {
        this->closing = true;
        this->on_written();
        return;
    }
    bufferevent_setwatermark(this->raw, EV_READ, 0, 0);
    if (evbuffer_get_length(bufferevent_get_input(this->raw)) > 0) {
        this->owner->loop.post([this, watch = std::weak_ptr(this->owner->alive), owner = this->owner] {
            if (!watch.expired() && owner->open.contains(this)) {
                this->on_readable();
            }
        });
    }
}

bool caller_connection::is_between_requests() const
{
    return !this->current && !this->closing && !this->reader.inside_message() &&
           evbuffer_get_length(bufferevent_get_input(this->raw)) == 0;
}

bool caller_connection::has_unsent_answer() const
{
    return evbuffer_get_length(bufferevent_get_output(this->raw)) > 0;
}

std::size_t caller_connection::undelivered_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(this->raw)) +
           unacknowledged_bytes(bufferevent_getfd(this->raw));
}

// A turn of the loop reads a limited number of sockets before the timers run.
bool caller_connection::has_unread_request() const
{
    return !this->closing && has_unread_bytes(bufferevent_getfd(this->raw));
}

time_point caller_connection::last_progress() const
{
    return std::max(this->last_activity, this->last_delivery);
}

// The system takes bytes in large pieces, so that a caller may read for a while before the buffer shrinks. It
// is asked only while something written may still wait.
void caller_connection::note_delivery(time_point now)
{
    if (!this->was_written) {
        return;
    }
    const std::uint64_t left = this->undelivered_bytes();
    const std::uint64_t delivered = this->written_bytes - std::min(left, this->written_bytes);
    if (delivered > this->delivered_bytes) {
        this->delivered_bytes = delivered;
        this->last_delivery = now;
    }
    this->was_written = left > 0;
}

void caller_connection::on_output_changed(std::size_t added, std::size_t taken)
{
    byte_budget& unread = *this->owner->unread;
    unread.held += added;
    this->written_bytes += added;
    if (added > 0 && !this->was_written) {
        this->was_written = true;
        this->last_delivery = event_loop::now();
    }
    unread.held -= std::min(unread.held, taken);
    if (taken > 0) {
        this->last_activity = event_loop::now();
    }
}

} // namespace dandelionstep
