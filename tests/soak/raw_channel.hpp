#pragma once

#include "support/entry_cluster.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace dandelionstep::soak {

//! Bytes go or are taken in parts of this size with a pause after each; at once when the size is 0.
struct parts {
    std::size_t bytes = 0;
    std::chrono::milliseconds pause{0};
};

//! A request as it goes over the wire, and how.
struct raw_request {
    std::string head;
    std::string body;
    parts sending;
    parts reading;
};

//! What came of a request.
struct raw_outcome {
    testing::caller_answer answer;
    bool was_connected = false;
    //! Whether all of it was handed to the system before an answer began or the channel ended.
    bool was_sent_whole = false;
    std::chrono::steady_clock::time_point last_byte_at;
    //! Whether the channel ended with a reset.
    bool was_reset = false;
    //! What came beside the answer.
    std::string stray;
};

//! A connection of a caller without any logic of ours: nothing is sent twice, and what the other side does is
//! told as it was seen.
class raw_channel {
public:
    raw_channel() = default;
    ~raw_channel();
    raw_channel(const raw_channel&) = delete;
    raw_channel& operator=(const raw_channel&) = delete;
    raw_channel(raw_channel&&) = delete;
    raw_channel& operator=(raw_channel&&) = delete;

    //! Sends the request over the kept connection, or a new one if there is none or it was idle for longer.
    raw_outcome ask(const endpoint& to, const raw_request& request, std::chrono::milliseconds most_idle);

private:
    bool connect_to(const endpoint& to, bool reads_slowly);
    bool is_kept(std::chrono::milliseconds most_idle, raw_outcome& outcome) const;
    bool send_part(std::string_view bytes) const;
    [[nodiscard]] bool has_input() const;
    void send_all(const raw_request& request, raw_outcome& outcome) const;
    void read_answer(const parts& reading, raw_outcome& outcome);
    void close();

    int socket = -1;
    std::chrono::steady_clock::time_point last_use;
};

} // namespace dandelionstep::soak
