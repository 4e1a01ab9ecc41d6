#pragma once

#include "absl/status/statusor.h"
#include "adapters/event_loop.hpp"
#include "target/endpoint.hpp"
#include "vm/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace dandelionstep::wire {
class ExchangeMessage;
}

namespace dandelionstep {

//! The gRPC side of a daemon: answers its peers and asks them.
//! gRPC's thread only hands finished calls to the loop, where every callback runs.
class peer_node {
public:
    //! Answers a peer's message.
    using handler = std::function<wire::ExchangeMessage(const wire::ExchangeMessage&)>;
    //! Receives a peer's answer, or nullptr when the call failed.
    using done_callback = std::function<void(const wire::ExchangeMessage* answer)>;

    //! With `tls` peers prove themselves to each other; the files are watched for new keys.
    peer_node(event_loop& loop, const std::optional<tls_files>& tls, handler handle);
    ~peer_node();
    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;
    peer_node(peer_node&&) = delete;
    peer_node& operator=(peer_node&&) = delete;

    absl::Status listen(const endpoint& at);
    //! Calls a peer; `done` is called exactly once, unless this node is destroyed first.
    void exchange(const endpoint& to, const wire::ExchangeMessage& message, milliseconds timeout,
                  done_callback done);
    //! Closes the channel to a peer that is no longer wanted.
    void forget(const endpoint& peer);

private:
    struct state;
    std::shared_ptr<state> self;
};

} // namespace dandelionstep
