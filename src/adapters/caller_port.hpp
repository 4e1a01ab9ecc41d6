#pragma once

#include "absl/status/status.h"
#include "adapters/event_loop.hpp"
#include "adapters/http_reader.hpp"
#include "common/gathered_text.hpp"
#include "route/entry_config.hpp"
#include "target/endpoint.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! One caller's request and the way to answer it once. After the caller has gone every call does nothing. A
//! caller that does not read more than may wait for it is gone.
class caller_exchange {
public:
    http_head head;
    std::string body;
    //! When its first byte was read.
    time_point began;
    //! Called when the caller goes away before its answer is whole.
    std::function<void()> on_gone;
    //! Called when the answer can't be waited for any longer; it is to be given or ended now.
    std::function<void()> on_time_up;

    //! Sends a whole answer.
    void answer(int status, const http_headers& headers, std::string_view text);
    //! Begins an answer in parts.
    void start(int status, const http_headers& headers);
    void write(std::string_view part);
    //! Ends an answer in parts; only this makes it whole.
    void finish();
    //! Ends the connection, so that an answer that was begun can't pass for whole.
    void abort();

    //! Holds bytes of the budget of all requests until this goes; false when there is no room for them.
    bool hold(const std::shared_ptr<byte_budget>& budget, std::size_t bytes, std::size_t most);

    //! Gives back what it holds beyond so many bytes.
    void hold_only(std::size_t bytes);

    ~caller_exchange();
    caller_exchange() = default;
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    caller_exchange(caller_exchange&&) = delete;
    caller_exchange& operator=(caller_exchange&&) = delete;

    [[nodiscard]] bool started() const { return this->is_started; }
    [[nodiscard]] bool gone() const { return this->connection == nullptr; }
    //! Whether the caller has ended its connection, also when the loop has not read that yet.
    [[nodiscard]] bool has_left() const;

private:
    friend class caller_port;
    friend struct caller_connection;

    struct caller_connection* connection = nullptr;
    std::shared_ptr<byte_budget> budget;
    std::size_t held_bytes = 0;
    //! How long its bytes have waited for room.
    milliseconds waited{0};
    bool is_started = false;
};

//! The request's body, which keeps the exchange, and with it the room that it takes.
std::shared_ptr<const std::string> shared_body(const std::shared_ptr<caller_exchange>& exchange);

//! Up to how many bytes of the budget may be held for a request that holds some and needs so many.
std::size_t room_for(const byte_budget& budget, std::size_t held, std::size_t needed);

//! A connection that a timeout ended.
struct timed_out_connection {
    //! Since when nothing moved, and for how long nothing may.
    milliseconds quiet;
    milliseconds timeout;
    //! Bytes of an answer, here or in the system, that the caller had not taken.
    std::size_t unsent_bytes = 0;
};

//! A request that was refused before it was read to its end.
struct unreadable_request {
    int status = 0;
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    //! Since its first byte was read.
    milliseconds age;
};

//! The port at which callers' requests arrive over HTTP/1.1.
class caller_port {
public:
    using handler = std::function<void(const std::shared_ptr<caller_exchange>&)>;
    //! Told the bytes that waited for a caller whose connection was ended for them.
    using unread_callback = std::function<void(std::size_t bytes)>;
    using timeout_callback = std::function<void(const timed_out_connection&)>;
    using unreadable_callback = std::function<void(const unreadable_request&)>;

    //! `unread` bounds the bytes of all answers together that wait for callers who do not read.
    caller_port(event_loop& loop, std::shared_ptr<byte_budget> unread, handler handle);
    ~caller_port();
    caller_port(const caller_port&) = delete;
    caller_port& operator=(const caller_port&) = delete;
    caller_port(caller_port&&) = delete;
    caller_port& operator=(caller_port&&) = delete;

    absl::Status listen(const endpoint& at);
    //! The bounds from now on. Those that are lower than before do not apply to what has begun: a request
    //! that is being read, and the wait for the next one on a connection.
    void set_bounds(const caller_bounds& bounds);
    //! Bounds the bytes of all requests together, from their first byte until they are answered. What has no
    //! room waits unread for a moment, the oldest first, and is then refused, with the headers that `refusal`
    //! gives.
    void bound_requests(std::shared_ptr<byte_budget> requests, std::function<http_headers()> refusal);
    void on_unread(unread_callback run);
    //! Told the bytes that were read behind an answer which did not announce the end of its connection.
    void on_unanswered(unread_callback run);
    void on_timeout(timeout_callback run);
    void on_unreadable(unreadable_callback run);
    //! From now on every answer announces the end of its connection, and ends it.
    void close_after_answers();
    //! Closes connections that have waited for a request for so long and owe their callers nothing; returns
    //! how many others wait for one.
    int close_idle(milliseconds quiet = {0});
    //! Refuses the requests of which only a part has come.
    void refuse_partial(int status, const http_headers& headers);
    //! Requests that are waiting, read or answered now.
    [[nodiscard]] int unfinished() const;
    //! Whole requests whose answers have not ended.
    [[nodiscard]] std::vector<std::shared_ptr<caller_exchange>> unanswered() const;
    [[nodiscard]] int connections() const;
    //! Requests whose bytes wait for room.
    [[nodiscard]] int paused() const;

private:
    friend struct caller_connection;
    struct state;
    std::unique_ptr<state> self;
};

} // namespace dandelionstep
