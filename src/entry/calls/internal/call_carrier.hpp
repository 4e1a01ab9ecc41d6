#pragma once

#include "entry/requests/accepted_request.hpp"
#include "entry/requests/answer_evidence.hpp"
#include "entry/requests/request_tools.hpp"
#include "request/segment_wait.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep::internal {

//! Carries one call to a plain service until its caller has an answer. Its sources: call_runner.cpp sends it
//! to targets; call_outcome.cpp judges what comes back and answers.
class call_carrier : public std::enable_shared_from_this<call_carrier> {
public:
    call_carrier(entry_context& context, request_tools& tools, accepted_request request)
        : context(context), tools(tools), request(std::move(request))
    {}

    void start();

private:
    struct attempt : std::enable_shared_from_this<attempt> {
        registered_target target;
        std::weak_ptr<channel_pool::exchange> exchange;
        time_point sent_at;
        http_head head;
        response_facts facts;
        answer_evidence evidence = answer_evidence::none;
        gathered_text body;
        bool ended = false;
        //! Whether its target had asked for no requests, and this is to find out whether that still holds.
        bool is_backoff_trial = false;
        //! The work that it brings its target, if it is estimated.
        std::optional<call_work> work;
        //! While the attempt tries segments of the prompt that may crash its target.
        std::shared_ptr<segment_trial> trial;

        explicit attempt(const std::shared_ptr<byte_budget>& budget) : body(budget) {}
    };

    // call_runner.cpp
    void send_next();
    //! Whether a request with the segments of the prompt may be sent now; if not, it goes on later or ends.
    bool passes_segment_guard();
    void wait_or_give_up(const char* reason);
    void send_to(const registered_target& target);
    exchange_callbacks callbacks_of(const std::shared_ptr<attempt>& sent);
    void watch_silence(const std::shared_ptr<attempt>& sent);
    bool may_send_again(const char* reason);
    [[nodiscard]] std::optional<time_point> first_sent_to(const endpoint& to) const;
    void log_failed(const attempt& failed, std::string_view how);
    void release(attempt& ended);
    void begin_work(attempt& sent, target_condition& condition);
    void caller_gone();
    //! Asked right before each send.
    [[nodiscard]] bool is_wanted() const;
    void end_unwanted();
    void end_attempts();
    [[nodiscard]] bool is_idempotent() const { return this->request.route->kind == route_kind::idempotent; }

    // call_outcome.cpp
    void attempt_ended(attempt& ended, exchange_end end, bool reused);
    void unconnected();
    void answered(attempt& ended, target_condition& condition, time_point now);
    void failed_by_target(attempt& ended);
    void refused_by_target();
    void after_failure(const char* reason, bool reused);
    void deliver(attempt& best);
    void give_up(std::string_view reason);
    void give_up_segments(milliseconds retry_after);
    void deadline_passed();
    void time_up();

    entry_context& context;
    request_tools& tools;
    accepted_request request;
    std::vector<std::shared_ptr<attempt>> attempts;
    //! A replica's own failure, while another replica is tried.
    std::shared_ptr<attempt> target_failure_answer;
    std::set<target_id> tried;
    segment_wait waits_for_segments;
    int sent_count = 0;
    int unconnected_count = 0;
    int refusals = 0;
    int running = 0;
    bool maybe_ran = false;
    //! Whether it has waited for targets to end their rest.
    bool has_waited = false;
    bool finished = false;
    event_loop::timer deadline_timer;
    event_loop::timer silence_timer;
    event_loop::timer rest_timer;
};

} // namespace dandelionstep::internal
