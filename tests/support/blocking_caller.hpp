#pragma once

#include "target/endpoint.hpp"

#include <string>
#include <string_view>

namespace dandelionstep::testing {

//! A caller whose socket takes bytes only when it is told to, so that what it leaves waits at the other side.
class blocking_caller {
public:
    //! `window_bytes`: of the receive buffer; the system's usual size when 0.
    explicit blocking_caller(const endpoint& to, int window_bytes = 0);
    ~blocking_caller();
    blocking_caller(const blocking_caller&) = delete;
    blocking_caller& operator=(const blocking_caller&) = delete;
    blocking_caller(blocking_caller&&) = delete;
    blocking_caller& operator=(blocking_caller&&) = delete;

    //! Sends what fits into the system's buffers.
    void write(std::string_view bytes);
    //! Takes at most so many of the bytes that have come.
    std::string read(std::size_t most);
    //! Tells the other side that nothing more is sent, and reads on.
    void end_writing();
    void close();
    //! Whether the other side has ended the connection, as seen by the last read or write.
    [[nodiscard]] bool has_ended() const { return this->ended; }
    //! Whether it did so with a reset.
    [[nodiscard]] bool was_reset() const { return this->reset; }

private:
    int socket = -1;
    bool ended = false;
    bool reset = false;
};

} // namespace dandelionstep::testing
