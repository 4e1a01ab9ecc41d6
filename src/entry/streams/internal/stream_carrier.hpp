#pragma once

#include "entry/context/http_calls.hpp"
#include "entry/engines/path_choice.hpp"
#include "entry/requests/request_tools.hpp"
#include "entry/streams/stream_attempt.hpp"
#include "entry/streams/stream_gate.hpp"
#include "entry/streams/stream_pace.hpp"
#include "request/event_splitter.hpp"
#include "request/segment_wait.hpp"
#include "request/stall_policy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace dandelionstep::internal {

//! Carries one streaming request until its caller has the whole answer. Its sources: stream_runner.cpp sends
//! and passes events on; stream_end.cpp judges answers and ends; stream_repair.cpp watches for engines that
//! die, leave or are silent and sends the request anew; stream_path_change.cpp replaces engines of a running
//! path; stream_wishes.cpp says which paths it may take.
class stream_carrier : public event_witness, public std::enable_shared_from_this<stream_carrier> {
public:
    stream_carrier(entry_context& context, request_tools& tools, stream_gate& gate, accepted_request request);

    void start();
    [[nodiscard]] time_point last_event_through(const target_id& engine) const override;

private:
    using attempt_pointer = std::shared_ptr<stream_attempt>;

    //! A new path that was ordered.
    struct path_change {
        target_id lost;
        //! The path that runs if the order is refused.
        std::vector<hop> before;
        //! Whether the lost engine still serves, as it leaves.
        bool leaves = false;
    };

    // stream_runner.cpp
    void send_next();
    //! Whether nothing of it has run or been sent, so that the gate may hold it.
    [[nodiscard]] bool is_new() const;
    //! Whether the gate decides when it is sent. The gate may have let it through, or refused it, by then.
    bool is_left_to_gate();
    //! Sends it along the path that the gate planned; without one, along any.
    void send_admitted(std::vector<hop> path);
    void wait_for_path();
    //! Whether a request with the segments of the prompt may be sent now; if not, it goes on later or ends.
    bool passes_segment_guard();
    //! Goes on after a pause, unless the stream has ended by then.
    void pause(milliseconds span, std::function<void(stream_carrier&)> go_on);
    void wait_or_give_up(const char* reason, std::optional<milliseconds> expected);
    attempt_pointer send_along(const std::vector<hop>& path);
    void take_head(const attempt_pointer& attempt);
    void take_stream(const attempt_pointer& attempt);
    bool take_body(const attempt_pointer& attempt, std::string_view part);
    void pass_on(std::string_view bytes);
    void note_events(std::int64_t count);
    //! Whether the current attempt's target has begun the answer, so that no segment of the prompt crashes
    //! it.
    [[nodiscard]] bool has_begun() const { return this->current->events >= events_of_begun_answer; }
    //! Marks the attempt as a trial of segments that are suspected.
    void try_segments(stream_attempt& attempt);
    void begin_answer();
    void attempt_ended(const attempt_pointer& attempt, exchange_end end, bool reused);
    void current_ended(exchange_end end, bool reused);
    //! Asked right before each send.
    [[nodiscard]] bool is_wanted() const;

    // stream_wishes.cpp
    //! Tokens of the answer that have come.
    [[nodiscard]] std::int64_t answer_tokens() const;
    [[nodiscard]] std::int64_t tokens_read() const;
    [[nodiscard]] path_wish wish() const;
    [[nodiscard]] path_wish move_wish() const;
    [[nodiscard]] path_wish elsewhere_wish() const;
    [[nodiscard]] path_wish succession_wish() const;
    void doubt_first();
    [[nodiscard]] bool is_first_alive() const;
    [[nodiscard]] bool awaits_first();
    [[nodiscard]] path_wish last_wish(const target_id& left) const;
    void take_back(const std::vector<hop>& path);

    // stream_end.cpp
    void answered();
    [[nodiscard]] bool has_ended_well() const;
    void leave_faulty();
    void complete();
    void log_pace();
    void learn_length(bool is_complete);
    void deliver_failure();
    void refused_by_engine();
    void unconnected();
    void note_refused(const stream_attempt& attempt);
    bool may_send_again(const char* reason);
    bool may_resume(const char* reason);
    void resume(const char* reason);
    void log_resumed(const char* reason) const;
    void give_up(std::string_view reason, std::optional<milliseconds> expected);
    void give_up_until(time_point ready);
    void give_up_segments(milliseconds retry_after);
    void fail(int status, std::string_view reason);
    void time_up();
    void caller_gone();
    void end_unwanted();
    void end();

    // stream_path_change.cpp
    void wait_while_held();
    void replace_engine(const target_id& lost, bool leaves);
    void leave_path(const target_id& lost, bool leaves);
    void order_path(const path_change& change);
    void path_refused(const http_answer& answer, const path_change& refused);
    [[nodiscard]] bool can_change_path(const target_id& lost) const;

    // stream_repair.cpp
    bool watch(time_point now);
    void watch_leaving(time_point now);
    void probe_path(milliseconds usual_gap, time_point now);
    [[nodiscard]] bool is_only_slow(milliseconds usual_gap, time_point now);
    void ask_engine(time_point now);
    void take_report(const std::optional<engine_report>& report);
    void give_path_up(time_point now);
    void begin_succession(const char* reason, const path_wish& wish, bool holds);
    void succeed();
    void take_successor();
    void drop_successor();
    void successor_ended(exchange_end end);
    void consider_death(const stream_attempt& attempt, const hop& lost);
    //! Whether too many targets died under the request, or a segment of its prompt, for it to be sent on.
    [[nodiscard]] bool is_held() const;
    //! Whether that may still turn out to be wrong.
    [[nodiscard]] bool is_checking() const;
    [[nodiscard]] std::optional<target_id> find_dead_engine(time_point now) const;
    [[nodiscard]] std::optional<target_id> find_leaving_engine() const;
    //! A stream whose events have no ids can't be gone on with.
    [[nodiscard]] bool is_repeatable() const
    {
        return this->request.route->resumable && (!this->splitter.has_events || this->splitter.last_id);
    }
    [[nodiscard]] milliseconds silence(time_point now) const;

    entry_context& context;
    request_tools& tools;
    stream_gate& gate;
    accepted_request request;
    const entry_service& service;
    event_splitter splitter;
    //! The form of the answer that the caller has begun to get.
    std::optional<stream_form> begun;
    stream_progress progress;
    stream_pace pace;
    attempt_pointer current;
    //! An attempt that is to take over from the current one as soon as its engine accepts it.
    attempt_pointer successor;
    const char* succession_reason = "";
    //! Whether the current attempt's events wait for the successor; else the first of both goes on.
    bool holds_events = false;
    time_point succession_began{0};
    std::set<target_id> excluded;
    //! Those of them that were left because they were silent.
    std::set<target_id> left_silent;
    //! When the request was first sent to each address.
    std::map<endpoint, time_point> first_sent;
    segment_wait waits_for_segments;
    //! Its number at the gate, 0 before it enters; whether the gate let it through, and the path that the
    //! gate planned until it is sent along that.
    std::uint64_t gate_number = 0;
    bool is_admitted = false;
    std::vector<hop> admitted_path;
    //! The path as it was when an engine of it may have died, if no event has come since.
    std::vector<hop> path_at_death;
    int sent_count = 0;
    int unconnected_count = 0;
    int refusals = 0;
    int path_changes = 0;
    //! When the stream moves off an engine that leaves, and until when no other path is looked for.
    time_point move_at = never;
    time_point next_change_at{0};
    //! When the first engine was last doubted, and the calls that it had answered until then.
    time_point doubted_at{0};
    std::int64_t answers_at_doubt = 0;
    bool maybe_ran = false;
    //! Whether it has waited for engines to end their rest.
    bool has_waited = false;
    bool finished = false;
    //! Whether the probes know of its events.
    bool is_witness = false;
    event_loop::timer deadline_timer;
    event_loop::timer send_timer;
};

//! Until another path is looked for after none was found.
inline constexpr milliseconds pause_without_path{250};

} // namespace dandelionstep::internal
