#pragma once

#include "daemon/context.hpp"
#include "daemon/generation_runner.hpp"
#include "request/admission.hpp"

#include <memory>
#include <unordered_map>

namespace dandelionstep {

//! Lets generations in by the decisions of `admission`, one state for each model.
class admission_gate {
public:
    admission_gate(daemon_context& context, generation_runner& generations);

    //! Starts the request, has it wait, or turns it away at once.
    void submit(generation_request request, bool streamed, request_priority priority,
                const std::shared_ptr<caller_reply>& reply);

private:
    struct waiting_request {
        generation_request request;
        bool streamed = false;
        time_point arrived;
        std::shared_ptr<caller_reply> reply;
    };

    admission_state& state_of(const model_id& model);
    void perform(const admission_actions& actions);
    void start(const request_id& id);
    void turn_away(const refuse_request& action);
    waiting_request take(const request_id& id);
    void note_gone(const request_id& id);
    void note_finished(const generation_state& generation, bool completed);
    void tick();

    daemon_context& context;
    generation_runner& generations;
    std::map<model_id, admission_state> models;
    std::unordered_map<request_id, waiting_request> waiting;
    event_loop::timer ticker;
};

} // namespace dandelionstep
