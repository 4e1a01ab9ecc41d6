#pragma once

#include "adapters/caller_port.hpp"
#include "entry/requests/request_tools.hpp"
#include "entry/store/store_client.hpp"
#include "entry/streams/stream_gate.hpp"

#include <functional>
#include <memory>

namespace dandelionstep {

//! Decides what a request is and hands it to the runner of its kind, or refuses it.
class request_relay {
public:
    request_relay(entry_context& context, request_tools& tools, stream_gate& gate, const store_client& store);
    ~request_relay();
    request_relay(const request_relay&) = delete;
    request_relay& operator=(const request_relay&) = delete;
    request_relay(request_relay&&) = delete;
    request_relay& operator=(request_relay&&) = delete;

    //! Called when a request comes before the first configuration is known.
    std::function<void()> on_early;

    void take(const std::shared_ptr<caller_exchange>& caller);
    //! Takes the requests that waited for the first configuration; to be called once that is known.
    void take_early();

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace dandelionstep
