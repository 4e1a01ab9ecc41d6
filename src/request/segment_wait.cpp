#include "request/segment_wait.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// How often a request that waits looks for the verdict.
constexpr milliseconds look_interval{50};
constexpr milliseconds least_wait{1};

} // namespace

segment_decision decide(segment_wait& wait, const segment_verdict& verdict, milliseconds longest,
                        time_point now)
{
    if (verdict.permission == segment_permission::refused) {
        return {segment_action::give_up, verdict.remaining};
    }
    if (verdict.permission != segment_permission::wait) {
        wait.began.reset();
        return {};
    }
    wait.began = wait.began.value_or(now);
    const milliseconds left = longest - (now - *wait.began);
    if (left <= milliseconds{0}) {
        return {segment_action::give_up, verdict.remaining};
    }
    return {segment_action::wait, std::max(least_wait, std::min({verdict.remaining, left, look_interval}))};
}

} // namespace dandelionstep
