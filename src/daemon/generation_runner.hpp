#pragma once

#include "adapters/caller_server.hpp"
#include "daemon/context.hpp"
#include "daemon/crash_guard.hpp"
#include "request/generation.hpp"

#include <memory>
#include <unordered_map>

namespace dandelionstep {

//! Carries out the actions of generations: opens streams at engines and writes answers to callers.
class generation_runner {
public:
    explicit generation_runner(daemon_context& context);
    ~generation_runner();
    generation_runner(const generation_runner&) = delete;
    generation_runner& operator=(const generation_runner&) = delete;
    generation_runner(generation_runner&&) = delete;
    generation_runner& operator=(generation_runner&&) = delete;

    //! Runs one request to its end; `streamed` answers go out token by token.
    void start(generation_request request, bool streamed, const std::shared_ptr<caller_reply>& reply);
    //! Called when a generation has ended, with whether its answer was whole.
    std::function<void(const generation_state&, bool completed)> on_finished;
    [[nodiscard]] std::size_t running() const { return this->generations.size(); }

private:
    struct running_generation;
    using running_ptr = std::shared_ptr<running_generation>;

    void receive(const running_ptr& generation, const generation_event& event);
    void handle(const running_ptr& generation, const generation_event& event);
    absl::StatusOr<chain> choose(const generation_request& request, const chain_requirements& wish,
                                 time_point now);
    void perform(const running_ptr& generation, const open_attempt& action);
    void perform(const running_ptr& generation, const cancel_attempt& action);
    void perform(const running_ptr& generation, const suspect_target& action);
    void perform(const running_ptr& generation, const deliver_token& action);
    void perform(const running_ptr& generation, const deliver_end& action);
    void perform(const running_ptr& generation, const deliver_refusal& action);
    void release_chain(running_generation& generation);
    void note_success(const chain& through);
    void tick();

    daemon_context& context;
    crash_guard guard{this->context};
    std::unordered_map<std::string, running_ptr> generations;
    event_loop::timer ticker;
};

} // namespace dandelionstep
