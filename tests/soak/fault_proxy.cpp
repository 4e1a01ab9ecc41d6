#include "soak/fault_proxy.hpp"

#include "adapters/event_loop.hpp"
#include "soak/repeated_refusals.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <future>
#include <map>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>

namespace dandelionstep::soak {
namespace {

constexpr milliseconds added_delay{120};

sockaddr_in socket_address(const endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    return address;
}

void set_reset_on_close(bufferevent* raw)
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(bufferevent_getfd(raw), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

} // namespace

std::string to_string(proxy_fault fault)
{
    switch (fault) {
    case proxy_fault::none:
        return "none";
    case proxy_fault::delay:
        return "delay";
    case proxy_fault::reset:
        return "reset";
    case proxy_fault::cut_to_server:
        return "cut_to_server";
    case proxy_fault::cut_to_caller:
        return "cut_to_caller";
    case proxy_fault::silent:
        return "silent";
    case proxy_fault::repeat_refusals:
        return "repeat_refusals";
    case proxy_fault::repeat_refusals_without_id:
        return "repeat_refusals_without_id";
    }
    return "unknown";
}

struct fault_proxy::state {
    // Two ends of one connection through the proxy.
    struct pipe {
        state* owner = nullptr;
        bufferevent* caller = nullptr;
        bufferevent* server = nullptr;
        // Goes on swallowing bytes after the fault is over: a silent connection never speaks again.
        bool is_dead = false;
        // Parts on their delayed way; what follows them must not overtake.
        int delayed_to_caller = 0;
        int delayed_to_server = 0;
        // The latest refusal that came from the server.
        std::string refusal;
    };

    event_loop loop;
    endpoint at;
    endpoint server;
    evconnlistener* listener = nullptr;
    proxy_fault fault = proxy_fault::none;
    std::map<pipe*, std::shared_ptr<pipe>> pipes;
    std::thread thread;

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*from*/, int /*size*/,
                          void* argument)
    {
        static_cast<state*>(argument)->open(fd);
    }

    void open(evutil_socket_t fd)
    {
        auto made = std::make_shared<pipe>();
        made->owner = this;
        made->caller = bufferevent_socket_new(this->loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        made->server = bufferevent_socket_new(this->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        this->pipes.emplace(made.get(), made);
        for (bufferevent* end : {made->caller, made->server}) {
            bufferevent_setcb(end, on_read, nullptr, on_event, made.get());
            bufferevent_enable(end, EV_READ | EV_WRITE);
        }
        const sockaddr_in address = socket_address(this->server);
        if (this->fault == proxy_fault::reset ||
            bufferevent_socket_connect(made->server, reinterpret_cast<const sockaddr*>(&address),
                                       sizeof(address)) != 0) {
            this->end(*made, true);
        }
    }

    static void on_read(bufferevent* from, void* argument)
    {
        auto* through = static_cast<pipe*>(argument);
        through->owner->pass(*through, from);
    }

    static void on_event(bufferevent* /*from*/, short what, void* argument)
    {
        auto* through = static_cast<pipe*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            through->owner->end(*through, (what & BEV_EVENT_ERROR) != 0);
        }
    }

    void pass(pipe& through, bufferevent* from)
    {
        evbuffer* input = bufferevent_get_input(from);
        const bool to_server = from == through.caller;
        bufferevent* to = to_server ? through.server : through.caller;
        const bool is_cut =
            this->fault == (to_server ? proxy_fault::cut_to_server : proxy_fault::cut_to_caller);
        if (through.is_dead || is_cut) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        this->repeat_refusal(through, input, to_server);
        const int delayed = to_server ? through.delayed_to_server : through.delayed_to_caller;
        if (this->fault != proxy_fault::delay && delayed == 0) {
            bufferevent_write_buffer(to, input);
            return;
        }
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        // Another connection may be at the same address by then.
        ++(to_server ? through.delayed_to_server : through.delayed_to_caller);
        this->later([to_server, watched = std::weak_ptr(this->pipes.at(&through)), to, bytes] {
            if (const auto self = watched.lock()) {
                --(to_server ? self->delayed_to_server : self->delayed_to_caller);
                bufferevent_write(to, bytes.data(), bytes.size());
            }
        });
    }

    void repeat_refusal(pipe& through, evbuffer* input, bool to_server) const
    {
        const bool as_it_was = this->fault == proxy_fault::repeat_refusals;
        if (!to_server) {
            const std::string refusal = refusal_in(input);
            through.refusal = refusal.empty() ? through.refusal : refusal;
        } else if ((as_it_was || this->fault == proxy_fault::repeat_refusals_without_id) &&
                   !through.refusal.empty() && begins_request(input)) {
            const std::string copy = as_it_was ? through.refusal : without_id(through.refusal);
            bufferevent_write(through.caller, copy.data(), copy.size());
        }
    }

    void later(const event_loop::callback& run)
    {
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_after(added_delay, [run, timer] {
            *timer = {};
            run();
        });
    }

    void end(pipe& through, bool by_reset)
    {
        if (!by_reset && through.delayed_to_caller + through.delayed_to_server > 0) {
            this->later([this, by_reset, watched = std::weak_ptr(this->pipes.at(&through))] {
                if (const auto self = watched.lock()) {
                    this->end(*self, by_reset);
                }
            });
            return;
        }
        const auto found = this->pipes.find(&through);
        if (found == this->pipes.end()) {
            return;
        }
        const std::shared_ptr<pipe> kept = std::move(found->second);
        this->pipes.erase(found);
        for (bufferevent* one : {kept->caller, kept->server}) {
            if (by_reset) {
                set_reset_on_close(one);
            }
            bufferevent_setcb(one, nullptr, nullptr, nullptr, nullptr);
            // What was passed on is still sent, unless the connection is reset.
            evbuffer_unfreeze(bufferevent_get_output(one), 1);
            if (!by_reset) {
                evbuffer_write(bufferevent_get_output(one), bufferevent_getfd(one));
            }
            bufferevent_free(one);
        }
    }

    void apply(proxy_fault next)
    {
        this->fault = next;
        std::vector<std::shared_ptr<pipe>> open;
        for (const auto& [key, through] : this->pipes) {
            open.push_back(through);
        }
        for (const std::shared_ptr<pipe>& through : open) {
            if (next == proxy_fault::reset) {
                this->end(*through, true);
            } else if (next == proxy_fault::silent) {
                through->is_dead = true;
            }
        }
    }
};

fault_proxy::fault_proxy() : self(std::make_unique<state>())
{
    constexpr int backlog = 256;
    const sockaddr_in any = socket_address({"127.0.0.1", 0});
    this->self->listener = evconnlistener_new_bind(this->self->loop.base(), state::on_accept,
                                                   this->self.get(), LEV_OPT_CLOSE_ON_FREE, backlog,
                                                   reinterpret_cast<const sockaddr*>(&any), sizeof(any));
    if (this->self->listener == nullptr) {
        throw std::runtime_error("the proxy cannot listen");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(this->self->listener), reinterpret_cast<sockaddr*>(&bound), &size);
    this->self->at = {"127.0.0.1", ntohs(bound.sin_port)};
    this->self->thread = std::thread([this] { this->self->loop.run(); });
}

fault_proxy::~fault_proxy()
{
    this->self->loop.post([this] { this->self->loop.stop(); });
    this->self->thread.join();
    for (const auto& [key, through] : this->self->pipes) {
        bufferevent_free(through->caller);
        bufferevent_free(through->server);
    }
    evconnlistener_free(this->self->listener);
}

endpoint fault_proxy::address() const
{
    return this->self->at;
}

void fault_proxy::set_server(const endpoint& server)
{
    std::promise<void> done;
    this->self->loop.post([&] {
        this->self->server = server;
        done.set_value();
    });
    done.get_future().wait();
}

void fault_proxy::set_fault(proxy_fault fault)
{
    std::promise<void> done;
    this->self->loop.post([&] {
        this->self->apply(fault);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace dandelionstep::soak
