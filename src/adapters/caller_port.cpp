#include "adapters/caller_port.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/http_text.hpp"
#include "adapters/socket_options.hpp"

#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <unordered_map>

namespace dandelionstep {
namespace {

constexpr milliseconds sweep_interval{250};
// Answers that wait for a caller who does not read; more ends the connection.
constexpr std::size_t max_unread_answer_bytes = std::size_t{8} * 1024 * 1024;
// Bytes taken from a connection whose request is being answered; the rest waits in the kernel.
constexpr std::size_t max_early_bytes = std::size_t{64} * 1024;
constexpr int listen_backlog = 1024;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_bad_request = 400;

} // namespace

// One caller's connection; freed from the loop's queue only, as its own callbacks end it.
struct caller_connection {
    caller_port::state* owner = nullptr;
    bufferevent* raw = nullptr;
    http_reader reader;
    std::shared_ptr<caller_exchange> current;
    std::shared_ptr<caller_exchange> reading;
    time_point last_activity;
    bool keep = true;
    bool closing = false;
    bool body_too_large = false;

    caller_connection()
        : reader(http_reader::kind::requests,
                 {[this](http_head& head) { this->reading->head = std::move(head); },
                  [this](std::string_view part) { this->take_body(part); }})
    {}

    void take_body(std::string_view part);
    void on_readable();
    void on_written();
    void refuse(int status);
    void dispatch();
    void answered();
    void end(bool gone);
    void check_timeouts(time_point now);
};

struct caller_port::state {
    event_loop& loop;
    handler handle;
    caller_bounds bounds;
    evconnlistener* listener = nullptr;
    event_loop::timer sweep;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> open;
    bool draining = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(event_loop& loop_in, handler handle_in) : loop(loop_in), handle(std::move(handle_in)) {}

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*from*/,
                          int /*length*/, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        auto connection = std::make_unique<caller_connection>();
        connection->owner = self;
        connection->last_activity = event_loop::now();
        set_socket_options(fd);
        connection->raw = bufferevent_socket_new(self->loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection->raw, on_read, on_write, on_event, connection.get());
        bufferevent_enable(connection->raw, EV_READ | EV_WRITE);
        caller_connection* key = connection.get();
        self->open.emplace(key, std::move(connection));
    }

    static void on_read(bufferevent* /*raw*/, void* argument)
    {
        static_cast<caller_connection*>(argument)->on_readable();
    }

    static void on_write(bufferevent* /*raw*/, void* argument)
    {
        static_cast<caller_connection*>(argument)->on_written();
    }

    static void on_event(bufferevent* /*raw*/, short what, void* argument)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<caller_connection*>(argument)->end(true);
        }
    }
};

void caller_connection::take_body(std::string_view part)
{
    if (this->reading->body.size() + part.size() > this->owner->bounds.max_body_bytes) {
        this->body_too_large = true;
        return;
    }
    this->reading->body.append(part);
}

void caller_connection::on_readable()
{
    if (this->closing || this->current) {
        // The next request waits until this one is answered.
        bufferevent_setwatermark(this->raw, EV_READ, 0, max_early_bytes);
        return;
    }
    this->last_activity = event_loop::now();
    evbuffer* input = bufferevent_get_input(this->raw);
    while (!this->closing && !this->current && evbuffer_get_length(input) > 0) {
        if (!this->reading) {
            this->reading = std::make_shared<caller_exchange>();
            this->reading->began = this->last_activity;
        }
        const std::size_t size = evbuffer_get_length(input);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
        const http_reader::result read = this->reader.feed(std::string_view(bytes, size));
        evbuffer_drain(input, read.taken);
        if (read.state == http_reader::progress::malformed) {
            this->refuse(status_bad_request);
        } else if (this->body_too_large) {
            this->refuse(status_body_too_large);
        } else if (!this->reader.head_done() &&
                   this->reader.head_bytes() > this->owner->bounds.max_header_bytes) {
            this->refuse(status_head_too_large);
        } else if (read.state == http_reader::progress::complete) {
            this->dispatch();
        } else {
            return;
        }
    }
}

// Answers a request that could not be read; what follows on the connection has no known beginning.
void caller_connection::refuse(int status)
{
    this->reading.reset();
    this->closing = true;
    const std::string text = response_text(status, {{"Connection", "close"}}, "");
    bufferevent_write(this->raw, text.data(), text.size());
}

void caller_connection::dispatch()
{
    this->current = std::move(this->reading);
    this->reading.reset();
    this->current->connection = this;
    this->keep = this->current->head.keep_alive;
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
    if (!this->keep || this->owner->draining) {
        this->closing = true;
        if (evbuffer_get_length(bufferevent_get_output(this->raw)) == 0) {
            this->end(false);
        }
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

void caller_connection::on_written()
{
    this->last_activity = event_loop::now();
    if (this->closing && evbuffer_get_length(bufferevent_get_output(this->raw)) == 0) {
        this->end(false);
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
    const std::shared_ptr<caller_exchange> cut = std::move(this->current);
    bufferevent_disable(this->raw, EV_READ | EV_WRITE);
    bufferevent_setcb(this->raw, nullptr, nullptr, nullptr, nullptr);
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
    if (this->closing || !this->reader.inside_message()) {
        if (quiet > this->owner->bounds.idle_timeout) {
            this->end(true);
        }
        return;
    }
    const bool head_is_late = !this->reader.head_done() && this->reading &&
                              now - this->reading->began > this->owner->bounds.header_timeout;
    if (head_is_late || quiet > this->owner->bounds.idle_timeout) {
        this->refuse(status_request_timeout);
    }
}

void caller_exchange::answer(int status, const http_headers& headers, std::string_view text)
{
    if (this->gone()) {
        return;
    }
    http_headers all = headers;
    if (!this->connection->keep || this->connection->owner->draining) {
        this->connection->keep = false;
        all.emplace_back("Connection", "close");
    }
    const std::string bytes = response_text(status, all, text);
    bufferevent_write(this->connection->raw, bytes.data(), bytes.size());
    this->connection->answered();
}

void caller_exchange::start(int status, const http_headers& headers)
{
    if (this->gone() || this->is_started) {
        return;
    }
    this->is_started = true;
    http_headers all = headers;
    if (!this->connection->keep || this->connection->owner->draining) {
        this->connection->keep = false;
        all.emplace_back("Connection", "close");
    }
    all.emplace_back("Transfer-Encoding", "chunked");
    const std::string bytes = response_head(status, all);
    bufferevent_write(this->connection->raw, bytes.data(), bytes.size());
}

void caller_exchange::write(std::string_view part)
{
    if (this->gone() || part.empty()) {
        return;
    }
    evbuffer* output = bufferevent_get_output(this->connection->raw);
    if (evbuffer_get_length(output) > max_unread_answer_bytes) {
        this->connection->end(true);
        return;
    }
    evbuffer_add_printf(output, "%zx\r\n", part.size());
    evbuffer_add(output, part.data(), part.size());
    evbuffer_add(output, "\r\n", 2);
}

void caller_exchange::finish()
{
    if (this->gone()) {
        return;
    }
    bufferevent_write(this->connection->raw, "0\r\n\r\n", std::strlen("0\r\n\r\n"));
    this->connection->answered();
}

void caller_exchange::abort()
{
    if (!this->gone()) {
        this->connection->end(false);
    }
}

caller_port::caller_port(event_loop& loop, handler handle)
    : self(std::make_unique<state>(loop, std::move(handle)))
{
    this->self->sweep = loop.run_every(sweep_interval, [this] {
        const time_point now = event_loop::now();
        std::vector<caller_connection*> all;
        all.reserve(this->self->open.size());
        for (const auto& [connection, owned] : this->self->open) {
            all.push_back(connection);
        }
        for (caller_connection* connection : all) {
            connection->check_timeouts(now);
        }
    });
}

caller_port::~caller_port()
{
    this->self->alive.reset();
    if (this->self->listener != nullptr) {
        evconnlistener_free(this->self->listener);
    }
    for (const auto& [connection, owned] : this->self->open) {
        if (connection->current) {
            connection->current->connection = nullptr;
        }
        bufferevent_free(connection->raw);
    }
}

absl::Status caller_port::listen(const endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    this->self->listener =
        evconnlistener_new_bind(this->self->loop.base(), state::on_accept, this->self.get(),
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listen_backlog,
                                reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (this->self->listener == nullptr) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", to_string(at), ": ", strerror(errno)));
    }
    return absl::OkStatus();
}

void caller_port::set_bounds(const caller_bounds& bounds)
{
    this->self->bounds = bounds;
}

void caller_port::close_after_answers()
{
    this->self->draining = true;
}

void caller_port::close_idle()
{
    std::vector<caller_connection*> idle;
    for (const auto& [connection, owned] : this->self->open) {
        if (!connection->current && !connection->reader.inside_message() && !connection->closing &&
            evbuffer_get_length(bufferevent_get_input(connection->raw)) == 0) {
            idle.push_back(connection);
        }
    }
    for (caller_connection* connection : idle) {
        connection->end(false);
    }
}

int caller_port::unfinished() const
{
    int count = 0;
    for (const auto& [connection, owned] : this->self->open) {
        const bool writing = evbuffer_get_length(bufferevent_get_output(connection->raw)) > 0;
        count += connection->current || connection->reader.inside_message() || writing ? 1 : 0;
    }
    return count;
}

int caller_port::connections() const
{
    return static_cast<int>(this->self->open.size());
}

} // namespace dandelionstep
