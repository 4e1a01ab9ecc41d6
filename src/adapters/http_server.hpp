#pragma once

#include "adapters/event_loop.hpp"
#include "adapters/received_request.hpp"
#include "target/endpoint.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct evhttp_connection;
struct evhttp_request;

namespace dandelionstep {

//! The way to answer one request, once, now or later; answers after the peer went away are dropped.
class http_reply {
public:
    explicit http_reply(evhttp_request* request);
    ~http_reply();
    http_reply(const http_reply&) = delete;
    http_reply& operator=(const http_reply&) = delete;
    http_reply(http_reply&&) = delete;
    http_reply& operator=(http_reply&&) = delete;

    void send(int status, const std::string& body, const std::string& content_type = "application/json");
    void add_header(const std::string& name, const std::string& value);
    void start_stream(int status, const std::string& content_type);
    //! Has the stream that is started next end with its connection, with neither a length nor chunks.
    void end_with_connection();
    void write(std::string_view part);
    void end_stream();
    //! Breaks the connection without an answer.
    void drop();
    [[nodiscard]] bool gone() const { return this->raw == nullptr; }
    //! Called when the peer goes away before the answer is whole.
    void on_gone(std::function<void()> run) { this->when_gone = std::move(run); }

private:
    static void on_connection_closed(evhttp_connection* connection, void* argument);

    evhttp_request* raw;
    std::function<void()> when_gone;
};

//! A small HTTP server on libevent's evhttp, for the operators' port and for stand-ins.
class http_server {
public:
    using handler = std::function<void(const received_request&, const std::shared_ptr<http_reply>&)>;

    http_server(event_loop& loop, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    //! Listens; port 0 takes a free one. Returns the port.
    absl::StatusOr<std::uint16_t> listen(const endpoint& at);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace dandelionstep
