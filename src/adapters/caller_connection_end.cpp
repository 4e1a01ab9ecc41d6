#include "adapters/internal/caller_connection.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <utility>

namespace dandelionstep {
namespace {

constexpr int status_request_timeout = 408;

} // namespace

void caller_connection::on_written()
{
    if (this->closing && !this->has_unsent_answer()) {
        this->end(false);
    }
}

void caller_connection::report_unanswered() const
{
    const std::size_t waiting = evbuffer_get_length(bufferevent_get_input(this->raw));
    const bool is_read = waiting > 0 || (!this->current && this->reader.inside_message());
    if (this->keep && is_read && this->owner->on_unanswered) {
        this->owner->on_unanswered(waiting);
    }
}

void caller_connection::report_timeout(milliseconds quiet) const
{
    if (this->owner->on_timeout) {
        this->owner->on_timeout({quiet, this->bounds.idle_timeout,
                                 evbuffer_get_length(bufferevent_get_output(this->raw)),
                                 evbuffer_get_length(bufferevent_get_input(this->raw))});
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
    if (!gone) {
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

void caller_connection::check_timeouts(time_point now)
{
    if (this->current) {
        return;
    }
    const milliseconds quiet = now - this->last_activity;
    const bool is_quiet = quiet > this->bounds.idle_timeout;
    const bool is_inside = !this->closing && this->reader.inside_message();
    const bool head_is_late = is_inside && !this->reader.head_done() && this->reading &&
                              now - this->reading->began > this->bounds.header_timeout;
    if ((!is_quiet && !head_is_late) || this->has_unread_request()) {
        return;
    }
    if (is_quiet && this->is_read_by_caller()) {
        this->last_activity = now;
    } else if (is_inside) {
        this->refuse(status_request_timeout);
    } else {
        this->report_timeout(quiet);
        this->end(true);
    }
}

} // namespace dandelionstep
