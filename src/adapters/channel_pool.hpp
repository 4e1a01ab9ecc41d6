#pragma once

#include "adapters/event_loop.hpp"
#include "adapters/http_reader.hpp"
#include "common/gathered_text.hpp"
#include "target/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dandelionstep {

//! How an exchange with a target ended.
enum class exchange_end {
    complete,  //!< A whole response was received; one without a length only if its target still listens.
    not_sent,  //!< No byte of the request left this process.
    withdrawn, //!< The same, as it was not to be sent any more when its connection was made.
    broken,    //!< The connection ended, or the bytes were no response; the request may have arrived.
};

//! What a connection carried before the exchange that is on it.
enum class connection_use {
    unused, //!< Nothing: what comes over it answers this exchange alone.
    used,   //!< Other exchanges, whose responses may come late or once more.
};

//! The bytes of a request. Its body may be shared with its owner, so that it is held once, however often it
//! is sent.
struct outgoing_bytes {
    std::string head;
    std::shared_ptr<const std::string> body;

    // NOLINTNEXTLINE(google-explicit-constructor): a request without a shared body is its bytes
    outgoing_bytes(std::string whole) : head(std::move(whole)) {}
    // NOLINTNEXTLINE(google-explicit-constructor): the same
    outgoing_bytes(const char* whole) : head(whole) {}
    outgoing_bytes(std::string head_in, std::shared_ptr<const std::string> body_in)
        : head(std::move(head_in)), body(std::move(body_in))
    {}
    outgoing_bytes() = default;
};

//! How the request is to be sent.
struct send_options {
    //! Connections that have been idle for longer are not used.
    milliseconds most_idle{60'000};
    //! A new connection that is not established in this time counts as not sent.
    milliseconds connect_timeout{1'000};
    //! Connections that carried anything at or after this moment are not used, since what answered that may
    //! come over them once more.
    std::optional<time_point> carried_nothing_since = std::nullopt;
    //! Whether the end of a response without a length counts only if its target still listens. Not needed
    //! where the reader of the response sees whether it is whole.
    bool confirms_end = true;
};

//! What happens to one request that was sent. Callbacks run on the loop, never from within send or cancel.
struct exchange_callbacks {
    //! Asked right before the bytes of a request are sent that had to wait for a new connection.
    std::function<bool()> may_send;
    //! Whether the response belongs to this request; the others are skipped.
    std::function<bool(const http_head&, connection_use)> is_own;
    std::function<void(const http_head&)> on_head;
    //! False when the response is longer than it may be: it ends as broken.
    std::function<bool(std::string_view)> on_body;
    //! Called exactly once unless the exchange was cancelled. `reused`: the connection had been used before,
    //! and its end may be no fault of the target.
    std::function<void(exchange_end end, bool reused)> on_end;
};

//! What an attempt to connect tells of the process behind an address.
enum class connect_result {
    reached, //!< It accepts connections.
    refused, //!< Nothing listens there.
    silent,  //!< No answer in time, which proves nothing.
};

//! Counts since the start.
struct channel_counts {
    std::int64_t opened = 0;
    std::int64_t reused = 0;
    std::int64_t skipped_responses = 0;
    std::int64_t overlong_responses = 0;
    //! Responses without a length that ended in order while their target could not be reached.
    std::int64_t unconfirmed_ends = 0;
};

//! Told of a response that was longer than it may be, with the bytes of it that had come.
using overlong_callback = std::function<void(const endpoint& from, std::size_t bytes)>;

//! Kept HTTP/1.1 connections to targets, one request at a time on each.
class channel_pool {
public:
    class exchange;

    //! `answers` bounds the heads of all responses together; nothing does when it is null.
    explicit channel_pool(event_loop& loop, std::shared_ptr<byte_budget> answers = nullptr);
    ~channel_pool();
    channel_pool(const channel_pool&) = delete;
    channel_pool& operator=(const channel_pool&) = delete;
    channel_pool(channel_pool&&) = delete;
    channel_pool& operator=(channel_pool&&) = delete;

    //! Sends the bytes of one request: over an idle connection at once, else as soon as a new one is made.
    std::weak_ptr<exchange> send(const endpoint& to, outgoing_bytes bytes, const send_options& options,
                                 exchange_callbacks callbacks);
    //! Makes a new connection without a request, which is kept for later ones. `done` is called once, never
    //! from within.
    void check(const endpoint& to, milliseconds timeout, std::function<void(connect_result)> done);
    //! Whether bytes of the request have left this process; false once the exchange is over.
    [[nodiscard]] static bool was_sent(const std::weak_ptr<exchange>& running);
    //! Ends the exchange and its connection; no callback follows. Bytes that have not left are dropped.
    void cancel(const std::weak_ptr<exchange>& running);
    //! Closes the idle connections to an address, whose owner may have changed.
    void forget(const endpoint& to);
    void on_overlong(overlong_callback run);
    [[nodiscard]] const channel_counts& counts() const;
    [[nodiscard]] int open_connections() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace dandelionstep
