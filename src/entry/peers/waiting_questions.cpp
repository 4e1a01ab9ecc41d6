#include "entry/peers/waiting_questions.hpp"

#include <algorithm>
#include <utility>

namespace dandelionstep {
namespace {

// An answer waits no longer for a change, and is late by no more than the interval.
constexpr milliseconds longest_wait{2'000};
constexpr milliseconds overdue_interval{30};

} // namespace

void waiting_questions::take(const std::shared_ptr<caller_exchange>& caller, peer_question question)
{
    const time_point now = event_loop::now();
    const time_point until = now + std::min(question.wait, longest_wait);
    pending_question asked{caller, std::move(question), now, until};
    if (asked.question.wait <= milliseconds{0} || this->may_answer(asked.question)) {
        this->answer(asked);
        return;
    }
    this->waiting.push_back(std::move(asked));
    if (this->waiting.size() == 1) {
        this->overdue_timer = this->loop.run_every(overdue_interval, [this] { this->answer_due(); });
    }
}

// Several changes often come with one answer of the store.
void waiting_questions::answer_soon()
{
    if (this->answering_soon || this->waiting.empty()) {
        return;
    }
    this->answering_soon = true;
    this->loop.post([this] {
        this->answering_soon = false;
        this->answer_due();
    });
}

void waiting_questions::answer_due()
{
    const time_point now = event_loop::now();
    std::vector<pending_question> due;
    std::erase_if(this->waiting, [&](pending_question& one) {
        const bool is_due = now >= one.until || this->may_answer(one.question);
        if (is_due) {
            due.push_back(std::move(one));
        }
        return is_due;
    });
    if (this->waiting.empty()) {
        this->overdue_timer = {};
    }
    for (const pending_question& one : due) {
        this->answer(one);
    }
}

} // namespace dandelionstep
