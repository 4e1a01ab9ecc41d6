#include "entry/store/watch_calls.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds first_retry{150};
constexpr milliseconds longest_retry{900};
constexpr milliseconds retry_when_held_back{100};
constexpr int most_doublings = 3;

} // namespace

void watch_calls::pause()
{
    ++this->generation;
    this->failures = 0;
}

void watch_calls::call(const outgoing_call& call, milliseconds timeout, store_reason reason,
                       store_client::done_callback done)
{
    const std::int64_t asked_in = this->generation;
    this->store.call(call, timeout, reason,
                     [this, asked_in, done = std::move(done)](const store_answer& answer) {
                         if (asked_in == this->generation) {
                             done(answer);
                         }
                     });
}

// The call that finds the store back holds back all others until it is answered.
milliseconds watch_calls::wait_for_news(milliseconds usual) const
{
    return this->failures == 0 && this->store.is_reachable() ? usual : milliseconds{0};
}

milliseconds watch_calls::retry_pause(const store_answer& answer)
{
    if (answer.held_back) {
        return retry_when_held_back;
    }
    const int doublings = std::min(this->failures, most_doublings);
    ++this->failures;
    const milliseconds pause = std::min(first_retry * (std::int64_t{1} << doublings), longest_retry);
    return left_of_pause(pause, first_retry, event_loop::now() - answer.asked_at, 0.5 + this->context.draw());
}

} // namespace dandelionstep
