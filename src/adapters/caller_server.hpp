#pragma once

#include "absl/status/statusor.h"
#include "adapters/event_loop.hpp"
#include "adapters/received_request.hpp"
#include "target/endpoint.hpp"
#include "vm/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evhtp_request;

namespace dandelionstep {

//! The way to answer one caller, once; after the caller has gone every call does nothing.
class caller_reply {
public:
    explicit caller_reply(evhtp_request* request) : raw(request) {}

    void add_header(const std::string& name, const std::string& value);
    void send(int status, std::string_view body, const std::string& content_type = "application/json");
    void start_stream(int status, const std::string& content_type);
    void write(std::string_view part);
    void end_stream();
    //! Ends the connection without the stream's end, so that a cut answer can't pass for whole.
    void abort();

    [[nodiscard]] bool stream_started() const { return this->streaming; }
    [[nodiscard]] bool gone() const { return this->raw == nullptr; }
    //! Called when the caller goes away before its answer is whole.
    void on_gone(std::function<void()> run) { this->when_gone = std::move(run); }

private:
    friend class caller_server;
    void restore_idle_timeout();

    evhtp_request* raw;
    bool streaming = false;
    std::function<void()> when_gone;
};

//! Bounds of the callers' port.
struct caller_limits {
    std::size_t max_body_bytes = 1024UL * 1024UL;
    int max_connections = 4096;
    //! A caller that sends nothing for so long before its request is whole is cut off.
    milliseconds receive_timeout{10'000};
    //! A caller that takes nothing of its answer for so long is cut off.
    milliseconds send_timeout{30'000};
};

//! The callers' HTTP port, on libevhtp.
class caller_server {
public:
    using handler = std::function<void(const received_request&, const std::shared_ptr<caller_reply>&)>;

    caller_server(event_loop& loop, caller_limits limits, handler handle);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    //! Uses TLS from now on; to be called before listen, and again when the files hold a new key.
    //! InvalidArgument: the files do not hold a certificate and its key; what was in use stays.
    absl::Status use_tls(const tls_files& files);
    absl::Status listen(const endpoint& at);
    //! Requests that have not arrived whole, or whose answers have not left whole.
    [[nodiscard]] int unfinished() const;
    //! Answers the requests that have not arrived whole and drops what still comes of them, until the process
    //! ends; returns their number.
    int refuse_arriving(int status, const http_headers& headers, std::string_view body);
    //! Callers connected now.
    [[nodiscard]] int connections() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace dandelionstep
