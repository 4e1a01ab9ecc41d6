#pragma once

#include "adapters/caller_port.hpp"
#include "common/gathered_text.hpp"

#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace dandelionstep {

//! One caller's connection; freed from the loop's queue only, as its own callbacks end it.
struct caller_connection {
    caller_port::state* owner = nullptr;
    bufferevent* raw = nullptr;
    evbuffer_cb_entry* output_watch = nullptr;
    http_reader reader;
    std::shared_ptr<caller_exchange> current;
    std::shared_ptr<caller_exchange> reading;
    //! Those of the request that is being read, or of the wait for the next one.
    caller_bounds bounds;
    //! When bytes last moved in either direction.
    time_point last_activity;
    std::uint64_t written_bytes = 0;
    //! How many of them had reached the caller when that was last looked at.
    std::uint64_t delivered_bytes = 0;
    //! When more of them were last seen to have reached the caller, or the first of them began to wait.
    time_point last_delivery;
    bool keep = true;
    bool closing = false;
    bool has_ended = false;
    bool body_too_large = false;
    //! Whether bytes were written that may not have been acknowledged.
    bool was_written = false;
    //! Whether only the idle timeout bounds how long its caller reads nothing.
    bool may_pause = false;
    //! Whether the rest of a refused request may still come.
    bool was_refused = false;
    //! Since when bytes of the request that is being read wait for room.
    std::optional<time_point> paused_since;
    //! Since when it has nothing more to say and only drops what its caller still sends.
    std::optional<time_point> lingers_since;

    caller_connection()
        : reader(http_reader::kind::requests,
                 {[this](http_head& head) { this->reading->head = std::move(head); },
                  [this](std::string_view part) { this->take_body(part); }})
    {}

    //! Takes over an accepted socket.
    void open(caller_port::state& port, evutil_socket_t socket);
    void take_body(std::string_view part);
    //! False, and the connection has ended, when that would be more than may wait for callers to read it.
    bool write(std::string_view bytes);
    [[nodiscard]] bool has_room(std::size_t bytes) const;
    //! Answers a request whose answer may not wait for its caller to read it.
    void answer_without_room();
    void on_readable();

    // request_room.cpp
    //! Whether so many more bytes of the request that is being read may be held; holds them if so.
    bool has_room_for_request(std::size_t more);
    void pause_reading();
    void end_pause();
    //! Refuses the request that is being read, as all requests together leave it no room.
    void refuse_for_room();
    [[nodiscard]] bool holds_room_idly(time_point now) const;

    void on_written();
    //! The caller sends nothing more; what it asked for before is still delivered.
    void on_end_of_input();
    void refuse(int status, http_headers headers = {});
    //! Refuses a request that is over a bound: for good only if the bound comes from a configuration.
    void refuse_beyond_bounds(int status);
    void dispatch();
    void answered();
    void linger();
    //! Whether its caller may still read the answer or send the rest of its request.
    [[nodiscard]] bool may_linger(time_point now) const;
    void discard_input();
    void on_output_changed(std::size_t added, std::size_t taken);
    //! Looks whether more bytes have reached the caller.
    void note_delivery(time_point now);
    //! When bytes last moved at this side or reached the other one.
    [[nodiscard]] time_point last_progress() const;
    //! Whether it waits for a request of which no byte was read.
    [[nodiscard]] bool is_between_requests() const;
    //! Whether bytes of a request wait in the system to be read.
    [[nodiscard]] bool has_unread_request() const;
    //! Bytes of answers, here or in the system, that the caller has not acknowledged.
    [[nodiscard]] std::size_t undelivered_bytes() const;
    //! Whether bytes of an answer have not been handed to the system.
    [[nodiscard]] bool has_unsent_answer() const;
    void report_unanswered() const;
    void allow_pauses();
    void report_unread() const;
    void report_timeout(milliseconds quiet, milliseconds timeout) const;
    void report_unreadable(int status) const;
    void end(bool gone);
    void check_timeouts(time_point now);
    //! Ends the connection of a caller that has taken nothing for too long, whatever is being served.
    void check_delivery(time_point now);
};

//! What all connections of a port share.
struct caller_port::state {
    event_loop& loop;
    std::shared_ptr<byte_budget> unread;
    unread_callback on_unread;
    unread_callback on_unanswered;
    timeout_callback on_timeout;
    unreadable_callback on_unreadable;
    handler handle;
    caller_bounds bounds;
    evconnlistener* listener = nullptr;
    event_loop::timer sweep;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> open;
    bool draining = false;
    //! Null where nothing bounds the requests.
    std::shared_ptr<byte_budget> requests;
    std::function<http_headers()> refusal_without_room;
    //! Connections whose requests wait for room.
    std::unordered_set<caller_connection*> paused;
    event_loop::timer paused_timer;
    bool paused_timer_runs = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(event_loop& loop_in, std::shared_ptr<byte_budget> unread_in, handler handle_in)
        : loop(loop_in), unread(std::move(unread_in)), handle(std::move(handle_in))
    {}

    // request_room.cpp
    [[nodiscard]] bool has_older_paused(const caller_connection& than) const;
    void watch_paused();
    void resume_paused();
    //! While others wait, long requests whose callers send nothing give their room back.
    void refuse_idle_holders(time_point now);
    void end_mutual_wait();

    static void on_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr* from, int length,
                          void* argument);
};

} // namespace dandelionstep
