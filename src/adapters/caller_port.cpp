#include "adapters/caller_port.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/internal/caller_connection.hpp"

#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <vector>

namespace dandelionstep {
namespace {

constexpr milliseconds sweep_interval{250};
constexpr int listen_backlog = 1024;

} // namespace

void caller_port::state::on_accept(evconnlistener* /*listener*/, evutil_socket_t socket, sockaddr* /*from*/,
                                   int /*length*/, void* argument)
{
    auto* self = static_cast<state*>(argument);
    auto connection = std::make_unique<caller_connection>();
    connection->open(*self, socket);
    caller_connection* key = connection.get();
    self->open.emplace(key, std::move(connection));
}

caller_port::caller_port(event_loop& loop, std::shared_ptr<byte_budget> unread, handler handle)
    : self(std::make_unique<state>(loop, std::move(unread), std::move(handle)))
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
    for (const auto& [connection, owned] : this->self->open) {
        connection->bounds = larger_of(connection->bounds, bounds);
    }
}

void caller_port::on_unread(unread_callback run)
{
    this->self->on_unread = std::move(run);
}

void caller_port::on_unanswered(unread_callback run)
{
    this->self->on_unanswered = std::move(run);
}

void caller_port::on_timeout(timeout_callback run)
{
    this->self->on_timeout = std::move(run);
}

void caller_port::on_unreadable(unreadable_callback run)
{
    this->self->on_unreadable = std::move(run);
}

void caller_port::close_after_answers()
{
    this->self->draining = true;
}

int caller_port::close_idle(milliseconds quiet)
{
    const time_point now = event_loop::now();
    std::vector<caller_connection*> due;
    int later = 0;
    for (const auto& [connection, owned] : this->self->open) {
        if (!connection->is_between_requests()) {
            continue;
        }
        if (now - connection->last_activity < quiet || connection->has_unread_request() ||
            connection->undelivered_bytes() > 0) {
            ++later;
        } else {
            due.push_back(connection);
        }
    }
    for (caller_connection* connection : due) {
        connection->end(false);
    }
    return later;
}

void caller_port::refuse_partial(int status, const http_headers& headers)
{
    std::vector<caller_connection*> due;
    for (const auto& [connection, owned] : this->self->open) {
        if (!connection->current && !connection->closing && connection->reader.inside_message()) {
            due.push_back(connection);
        }
    }
    for (caller_connection* connection : due) {
        connection->refuse(status, headers);
    }
}

int caller_port::unfinished() const
{
    int count = 0;
    for (const auto& [connection, owned] : this->self->open) {
        const bool is_asking =
            !connection->closing && (!connection->is_between_requests() || connection->has_unread_request());
        count += is_asking || connection->undelivered_bytes() > 0 ? 1 : 0;
    }
    return count;
}

std::vector<std::shared_ptr<caller_exchange>> caller_port::unanswered() const
{
    std::vector<std::shared_ptr<caller_exchange>> found;
    for (const auto& [connection, owned] : this->self->open) {
        if (connection->current) {
            found.push_back(connection->current);
        }
    }
    return found;
}

int caller_port::connections() const
{
    return static_cast<int>(this->self->open.size());
}

} // namespace dandelionstep
