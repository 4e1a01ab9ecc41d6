#pragma once

#include "adapters/event_loop.hpp"
#include "target/endpoint.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionstep::testing {

//! One TCP connection whose bytes a test writes and reads itself.
class raw_connection {
public:
    std::string received;
    bool closed = false;

    void write(std::string_view bytes);
    //! Ends this side's direction at once, before the loop runs again.
    void end_writing();
    //! Ends the connection in order.
    void close();
    //! Ends it with a reset.
    void reset();

private:
    friend class scripted_server;
    friend std::shared_ptr<raw_connection> connect_raw(event_loop& loop, const endpoint& to);
    std::shared_ptr<void> raw;
};

//! Accepts TCP connections on loopback and hands their bytes to a script.
class scripted_server {
public:
    //! Called each time bytes were added to `received`.
    using script = std::function<void(raw_connection&)>;

    scripted_server(event_loop& loop, script run);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] endpoint address() const { return this->at; }
    [[nodiscard]] int accepted() const;
    //! Refuses connections from now on, as if its process had ended; those that are open stay.
    void stop_listening();

private:
    struct state;
    std::unique_ptr<state> self;
    endpoint at;
};

//! Connects to an address on loopback.
std::shared_ptr<raw_connection> connect_raw(event_loop& loop, const endpoint& to);

//! Runs the loop until the condition holds; false when it did not within the time.
bool run_until(event_loop& loop, const std::function<bool()>& condition, milliseconds within = {5'000});

} // namespace dandelionstep::testing
