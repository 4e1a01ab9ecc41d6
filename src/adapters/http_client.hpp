#pragma once

#include "adapters/event_loop.hpp"
#include "adapters/received_request.hpp"
#include "common/gathered_text.hpp"
#include "target/endpoint.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionstep {

//! One HTTP request to send.
struct http_request {
    std::string method = "GET";
    std::string path;
    http_headers headers{};
    std::string body{};
    //! The whole exchange fails after this time.
    milliseconds timeout{5000};
    //! Uses a new connection, so that a failure to connect proves that no byte left.
    bool new_connection = false;
};

//! How the transport failed.
enum class http_failure { none, not_connected, broken, timed_out };

//! An answer, or how far the request came without one.
struct http_result {
    http_failure failure = http_failure::none;
    //! Whether a byte of the request may have left this process.
    bool bytes_sent = false;
    int status = 0;
    http_headers headers;
    std::string body;

    [[nodiscard]] bool answered() const { return this->failure == http_failure::none; }
    //! The header's value, or an empty text; the name's case does not matter.
    [[nodiscard]] std::string header(std::string_view name) const;
};

//! For the bodies of all answers together; one alone may be 64 MiB long.
inline constexpr std::size_t usual_body_budget = std::size_t{320} * 1024 * 1024;

//! Sends HTTP requests over kept connections; all callbacks run on the loop, never from within a call.
class http_client {
public:
    using done_callback = std::function<void(const http_result&)>;
    //! Receives each part of a body as it arrives.
    using part_callback = std::function<void(std::string_view part)>;

    class exchange;
    //! Names a running exchange; does not keep it alive.
    using handle = std::weak_ptr<exchange>;

    explicit http_client(event_loop& loop,
                         std::shared_ptr<byte_budget> bodies = std::make_shared<byte_budget>(byte_budget{
                             usual_body_budget, 0}));
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    //! Sends a request; `done` is called exactly once unless the exchange is cancelled.
    handle send(const endpoint& to, http_request request, done_callback done);
    //! As send, but hands over the body in parts; the result's body stays empty.
    handle stream(const endpoint& to, http_request request, part_callback part, done_callback done);
    //! Ends the exchange and its connection; no callback follows.
    void cancel(const handle& running);

private:
    struct pool;

    std::unique_ptr<pool> connections;
};

} // namespace dandelionstep
