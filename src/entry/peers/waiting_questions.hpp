#pragma once

#include "adapters/caller_port.hpp"
#include "adapters/event_loop.hpp"
#include "entry/peers/peer_messages.hpp"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace dandelionstep {

//! A question that is not answered yet; it may wait for a change.
struct pending_question {
    std::shared_ptr<caller_exchange> caller;
    peer_question question;
    time_point came_at;
    time_point until;
};

//! Questions of the followers, each answered as soon as it may be, and at the latest when its wait is over.
class waiting_questions {
public:
    using may_answer_check = std::function<bool(const peer_question&)>;
    using answer_callback = std::function<void(const pending_question&)>;

    waiting_questions(event_loop& loop, may_answer_check may_answer, answer_callback answer)
        : loop(loop), may_answer(std::move(may_answer)), answer(std::move(answer))
    {}

    //! Has a question answered that came now.
    void take(const std::shared_ptr<caller_exchange>& caller, peer_question question);
    //! Something has changed.
    void answer_soon();

private:
    void answer_due();

    event_loop& loop;
    may_answer_check may_answer;
    answer_callback answer;
    std::vector<pending_question> waiting;
    event_loop::timer overdue_timer;
    bool answering_soon = false;
};

} // namespace dandelionstep
