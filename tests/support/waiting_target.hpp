#pragma once

#include "target/endpoint.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep::testing {

//! A target on loopback whose connections and bytes wait until it is told to take them.
class waiting_target {
public:
    //! `backlog`: connections that may wait to be taken, less one. `buffer_bytes`: of a connection, bytes
    //! that may wait to be read; 0 for the system's usual number.
    explicit waiting_target(int backlog, int buffer_bytes = 0);
    ~waiting_target();
    waiting_target(const waiting_target&) = delete;
    waiting_target& operator=(const waiting_target&) = delete;
    waiting_target(waiting_target&&) = delete;
    waiting_target& operator=(waiting_target&&) = delete;

    [[nodiscard]] endpoint address() const { return this->at; }
    void set_backlog(int backlog) const;
    //! Takes the connections that wait; returns how many were taken since the start.
    std::size_t take_connections();
    //! Takes the bytes that wait on all of them.
    std::string take_bytes();
    //! Writes to all of them.
    void write(std::string_view bytes) const;
    //! Ends all of them in order.
    void end_connections();
    //! Whether one of them was ended with a reset, as seen by the last read.
    [[nodiscard]] bool was_reset() const { return this->reset; }
    //! Connections to it that are being opened, as the system lists them.
    [[nodiscard]] std::size_t opening() const;

private:
    int listener = -1;
    endpoint at;
    std::vector<int> open;
    std::size_t taken = 0;
    bool reset = false;
};

} // namespace dandelionstep::testing
