#pragma once

#include "adapters/caller_port.hpp"

#include "support/blocking_caller.hpp"
#include "support/cluster.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! A port for callers on a loop of its own; keeps the requests that it takes until the test answers them.
struct served_port {
    static constexpr std::size_t usual_unread_bytes = std::size_t{64} * 1024 * 1024;

    event_loop loop;
    std::vector<std::shared_ptr<caller_exchange>> taken;
    std::shared_ptr<byte_budget> unread;
    caller_port port;
    endpoint at{"127.0.0.1", free_port()};

    explicit served_port(std::size_t unread_bytes = usual_unread_bytes)
        : unread(std::make_shared<byte_budget>(byte_budget{unread_bytes, 0})),
          port(loop, unread, [this](const auto& exchange) { this->taken.push_back(exchange); })
    {
        REQUIRE(this->port.listen(this->at).ok());
    }

    void set_idle_timeout(milliseconds timeout)
    {
        caller_bounds bounds;
        bounds.idle_timeout = timeout;
        this->port.set_bounds(bounds);
    }

    void run_for(milliseconds time)
    {
        run_until(
            this->loop, [] { return false; }, time);
    }

    // Waits for the request that the caller has just sent.
    std::shared_ptr<caller_exchange> take()
    {
        const std::size_t before = this->taken.size();
        REQUIRE(run_until(this->loop, [&] { return this->taken.size() > before; }));
        return this->taken.back();
    }

    std::shared_ptr<raw_connection> ask(const std::string& bytes)
    {
        auto caller = connect_raw(this->loop, this->at);
        caller->write(bytes);
        this->take();
        return caller;
    }

    // Takes what comes for the caller until it is so many bytes, or the connection ends.
    std::string read(blocking_caller& caller, std::size_t wanted)
    {
        constexpr std::size_t step_bytes = std::size_t{1024} * 1024;
        std::string received;
        run_until(this->loop,
                  [&] {
                      received += caller.read(step_bytes);
                      return received.size() >= wanted || caller.has_ended();
                  },
                  {2'000});
        return received;
    }

    std::string read_to_end(blocking_caller& caller) { return this->read(caller, std::string::npos); }
};

} // namespace dandelionstep::testing
