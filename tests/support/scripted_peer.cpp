#include "support/scripted_peer.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace dandelionstep::testing {
namespace {

bufferevent* raw_of(const std::shared_ptr<void>& held)
{
    return static_cast<bufferevent*>(held.get());
}

std::shared_ptr<void> hold(bufferevent* raw)
{
    return {raw, [](void* held) { bufferevent_free(static_cast<bufferevent*>(held)); }};
}

std::string take_all(bufferevent* raw)
{
    evbuffer* input = bufferevent_get_input(raw);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, text.data(), text.size());
    return text;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void on_plain_read(bufferevent* raw, void* argument)
{
    static_cast<raw_connection*>(argument)->received += take_all(raw);
}

void on_plain_event(bufferevent* /*raw*/, short what, void* argument)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<raw_connection*>(argument)->closed = true;
    }
}

} // namespace

void raw_connection::write(std::string_view bytes)
{
    if (!this->raw) {
        return;
    }
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int socket = bufferevent_getfd(raw_of(this->raw));
    if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0) {
        // At once, so that a close that follows does not discard it.
        send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    } else {
        bufferevent_write(raw_of(this->raw), bytes.data(), bytes.size());
    }
}

void raw_connection::end_writing()
{
    if (this->raw) {
        shutdown(bufferevent_getfd(raw_of(this->raw)), SHUT_WR);
    }
}

void raw_connection::close()
{
    if (this->raw) {
        this->raw.reset();
    }
}

void raw_connection::reset()
{
    if (this->raw) {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        setsockopt(bufferevent_getfd(raw_of(this->raw)), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        this->raw.reset();
    }
}

struct scripted_server::state {
    event_loop& loop;
    script run;
    evconnlistener* listener = nullptr;
    std::vector<std::unique_ptr<raw_connection>> connections;
    std::vector<std::pair<state*, raw_connection*>*> arguments;

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*from*/,
                          int /*length*/, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        auto connection = std::make_unique<raw_connection>();
        bufferevent* raw = bufferevent_socket_new(self->loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        connection->raw = hold(raw);
        auto* pair = new std::pair<state*, raw_connection*>(self, connection.get());
        self->arguments.push_back(pair);
        bufferevent_setcb(raw, on_read, nullptr, on_event, pair);
        bufferevent_enable(raw, EV_READ | EV_WRITE);
        self->connections.push_back(std::move(connection));
    }

    static void on_read(bufferevent* raw, void* argument)
    {
        auto* pair = static_cast<std::pair<state*, raw_connection*>*>(argument);
        pair->second->received += take_all(raw);
        pair->first->run(*pair->second);
    }

    static void on_event(bufferevent* /*raw*/, short what, void* argument)
    {
        auto* pair = static_cast<std::pair<state*, raw_connection*>*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            pair->second->closed = true;
        }
    }

    state(event_loop& loop_in, script run_in) : loop(loop_in), run(std::move(run_in)) {}
    ~state()
    {
        this->connections.clear();
        for (auto* pair : this->arguments) {
            delete pair;
        }
        if (this->listener != nullptr) {
            evconnlistener_free(this->listener);
        }
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;
};

scripted_server::scripted_server(event_loop& loop, script run)
    : self(std::make_unique<state>(loop, std::move(run)))
{
    constexpr int backlog = 64;
    const sockaddr_in any = loopback(0);
    this->self->listener = evconnlistener_new_bind(loop.base(), state::on_accept, this->self.get(),
                                                   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, backlog,
                                                   reinterpret_cast<const sockaddr*>(&any), sizeof(any));
    if (this->self->listener == nullptr) {
        throw std::runtime_error("cannot listen on loopback");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(this->self->listener), reinterpret_cast<sockaddr*>(&bound), &size);
    this->at = {"127.0.0.1", ntohs(bound.sin_port)};
}

scripted_server::~scripted_server() = default;

int scripted_server::accepted() const
{
    return static_cast<int>(this->self->connections.size());
}

void scripted_server::stop_listening()
{
    if (this->self->listener != nullptr) {
        evconnlistener_free(std::exchange(this->self->listener, nullptr));
    }
}

std::shared_ptr<raw_connection> connect_raw(event_loop& loop, const endpoint& to)
{
    auto connection = std::make_shared<raw_connection>();
    bufferevent* raw = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connection->raw = hold(raw);
    bufferevent_setcb(raw, on_plain_read, nullptr, on_plain_event, connection.get());
    bufferevent_enable(raw, EV_READ | EV_WRITE);
    const sockaddr_in address = loopback(to.port);
    bufferevent_socket_connect(raw, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return connection;
}

bool run_until(event_loop& loop, const std::function<bool()>& condition, milliseconds within)
{
    constexpr milliseconds step{5};
    const time_point end = event_loop::now() + within;
    bool held = condition();
    const event_loop::timer check = loop.run_every(step, [&] {
        held = condition();
        if (held || event_loop::now() >= end) {
            loop.stop();
        }
    });
    if (!held) {
        loop.run();
    }
    return held;
}

} // namespace dandelionstep::testing
