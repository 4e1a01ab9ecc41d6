#pragma once

#include "adapters/channel_pool.hpp"
#include "adapters/http_reader.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelionstep {

//! How long a connection is kept when the target doesn't say.
constexpr milliseconds default_idle_timeout{5'000};

//! One connection to a target and the request that is on it, if any.
class channel_pool::exchange {
public:
    state* owner = nullptr;
    endpoint to;
    bufferevent* raw = nullptr;
    http_reader reader;
    exchange_callbacks callbacks;
    //! The request, until the connection is made.
    outgoing_bytes waiting;
    //! Set while the connection is made for its own sake.
    std::function<void(connect_result)> checked;
    http_head head;
    event_loop::timer connect_timer;
    //! Until it is asked whether the end of the connection was the target's own.
    event_loop::timer end_timer;
    time_point idle_since;
    milliseconds idle_timeout = default_idle_timeout;
    bool connected = false;
    bool was_used = false;
    connection_use use = connection_use::unused;
    connection_use next_use = connection_use::unused;
    bool bytes_sent = false;
    bool active = false;
    bool skipping = false;
    bool is_overlong = false;
    //! Whether its response ended with the connection and its target could not be reached right after.
    bool is_cut = false;
    bool confirms_end = true;
    std::size_t response_bytes = 0;
    //! Bytes of the response's head that are held of the budget.
    std::size_t head_bytes = 0;

    exchange()
        : reader(http_reader::kind::responses, {[this](http_head& read) { this->take_head(read); },
                                                [this](std::string_view part) { this->take_body(part); }})
    {}

    ~exchange()
    {
        if (this->raw != nullptr) {
            bufferevent_free(this->raw);
        }
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    [[nodiscard]] bool has_carried_since(time_point from) const
    {
        return this->next_use == connection_use::used && this->idle_since >= from;
    }

    void take_head(http_head& read)
    {
        this->head = std::move(read);
        this->skipping =
            this->active && this->callbacks.is_own && !this->callbacks.is_own(this->head, this->use);
        if (this->active && !this->skipping && this->callbacks.on_head) {
            this->callbacks.on_head(this->head);
        }
    }

    void take_body(std::string_view part)
    {
        if (this->active && !this->skipping && !this->is_overlong && this->callbacks.on_body) {
            this->is_overlong = !this->callbacks.on_body(part);
        }
    }
};

//! The connections of a pool. Its sources: channel_exchange.cpp carries a request over a connection,
//! idle_channels.cpp keeps those that wait for the next one.
struct channel_pool::state {
    event_loop& loop;
    std::shared_ptr<byte_budget> answers;
    std::unordered_map<exchange*, std::shared_ptr<exchange>> running;
    std::map<endpoint, std::vector<std::shared_ptr<exchange>>> idle;
    channel_counts counts;
    overlong_callback on_overlong;
    event_loop::timer sweep;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(event_loop& loop_in, std::shared_ptr<byte_budget> answers_in)
        : loop(loop_in), answers(std::move(answers_in))
    {}

    // channel_exchange.cpp
    static void on_output(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
    static void on_read(bufferevent* raw, void* argument);
    static void on_event(bufferevent* raw, short what, void* argument);
    //! A connection that is not being made yet.
    std::shared_ptr<exchange> connect(const endpoint& to);
    //! False when the system refuses at once.
    bool start_connecting(exchange& made);
    //! False when all answers together leave no room for the head.
    bool hold_head(exchange& self) const;
    void release_head(exchange& self) const;
    static void write_request(exchange& self, outgoing_bytes bytes);
    //! Sends the request of a connection that has been made, if it may still be sent.
    void send_waiting(exchange& self);
    //! Makes the end of the connection drop bytes of the request that have not left.
    static void drop_unsent(const exchange& self);
    //! Ends the connection.
    void discard(std::shared_ptr<exchange> doomed);
    //! Takes it out of those that run; null when it does not.
    std::shared_ptr<exchange> remove(exchange& ended);
    //! Tells the end of the exchange.
    void finish(const std::shared_ptr<exchange>& ended, exchange_end how);
    void read(exchange& self);
    void note_overlong(const exchange& self);
    void end_check(exchange& self, connect_result result);
    void complete(exchange& self);
    void fail(exchange& self);
    void closed(exchange& self, bool in_order);
    //! Ends an exchange whose response has no length, once it is known whether its target still listens.
    void confirm_end(exchange& self);
    void end_confirmed(exchange& self, bool is_own_end);
    void check(const endpoint& to, milliseconds timeout, std::function<void(connect_result)> done);

    // idle_channels.cpp
    //! The idle connection that was used last, if one may carry the next request; null otherwise.
    std::shared_ptr<exchange> take_idle(const endpoint& to, const send_options& options);
    //! False when the connection's target has enough idle ones.
    bool keep_idle(const std::shared_ptr<exchange>& kept, milliseconds idle_timeout);
    void drop_idle(exchange& self);
    //! Ends connections that have been idle for too long.
    void close_expired();
};

} // namespace dandelionstep
