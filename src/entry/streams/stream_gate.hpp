#pragma once

#include "entry/engines/path_choice.hpp"
#include "entry/requests/accepted_request.hpp"
#include "request/stream_admission.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionstep {

//! What the gate needs of a stream, and what becomes of it. Either `send` or `refuse` is called, once for
//! each time that the stream enters or is put back, unless it leaves before.
struct gated_stream {
    std::function<path_wish()> wish;
    //! With the path that was planned; empty if there is none or if none was planned.
    std::function<void(std::vector<hop> path)> send;
    std::function<void(std::string_view reason, milliseconds retry_after)> refuse;
};

//! Holds new streams until there is room for them on the engines; see request/stream_admission.hpp for the
//! decision. All streams that it let through are known to it until they leave.
class stream_gate {
public:
    explicit stream_gate(entry_context& context);

    //! Takes a new stream and returns its number. `send` or `refuse` may be called before this returns.
    void enter(const accepted_request& request, gated_stream stream, std::uint64_t& number);
    //! Takes a stream again that an engine refused, in its old place.
    void put_back(std::uint64_t number);
    //! Forgets a stream that has ended or waits no longer.
    void leave(std::uint64_t number);

private:
    struct held_stream {
        admission_request request;
        service_id service;
        std::string attempt_id;
        gated_stream callbacks;
        time_point entered{0};
        double tokens = 0;
        bool is_waiting = false;
    };

    struct planned_path {
        path_estimate estimate;
        admission_path inputs;
    };

    [[nodiscard]] planned_path plan(const held_stream& held);
    void wait(std::uint64_t number, const admission_decision& decision, const admission_path& path);
    void let_through(std::uint64_t number, planned_path planned, const admission_decision& decision);
    void refuse(std::uint64_t number, const admission_decision& decision);
    void refuse(std::uint64_t number, std::string_view reason, milliseconds retry_after);
    void poll();
    void poll_service(const service_id& service);
    void release_all();
    void end_waits_for_stop();
    void poll_at(time_point due);
    void schedule();
    void update_gauges();

    entry_context& context;
    admission_bounds bounds;
    std::map<service_id, stream_admission> states;
    //! Waiting and running streams.
    std::map<std::uint64_t, held_stream> streams;
    std::uint64_t last_number = 0;
    event_loop::timer timer;
    time_point timer_due = never;
};

} // namespace dandelionstep
