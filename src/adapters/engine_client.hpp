#pragma once

#include "adapters/http_client.hpp"
#include "request/generation.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace dandelionstep {

//! What an engine or service reports of itself.
struct load_report {
    incarnation started;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    bool leaving = false;
};

//! Speaks the engines' contract (docs/CONTRACTS.md).
class engine_client {
public:
    using event_callback = std::function<void(const generation_event&)>;

    explicit engine_client(http_client& http) : http(http) {}

    //! Starts an attempt; its events arrive on the loop and end with stream_ended or attempt_failed.
    http_client::handle open(const generation_request& request, const open_attempt& attempt,
                             milliseconds timeout, event_callback on_event);
    //! Ends an attempt at every hop; engines that are gone are not waited for.
    void cancel(const http_client::handle& stream, const request_id& request, const cancel_attempt& attempt);
    //! Asks a target for its load; nullopt when it did not answer.
    void read_load(const endpoint& target, milliseconds timeout,
                   std::function<void(const std::optional<load_report>&)> done);

    //! Receives the body of every 503, which may say that the target is leaving.
    std::function<void(const target_id&, std::string_view body)> on_refusal;

private:
    http_client& http;
};

} // namespace dandelionstep
