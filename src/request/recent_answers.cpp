#include "request/recent_answers.hpp"

namespace dandelionstep {
namespace {

// The shortest time between two noted answers to one request, so that a frequent request does not fill the
// queue.
constexpr milliseconds note_interval{1'000};

void drop_oldest(recent_answers& answers)
{
    const auto [request, at] = answers.order.front();
    answers.order.pop_front();
    const auto found = answers.last.find(request);
    if (found != answers.last.end() && found->second == at) {
        answers.last.erase(found);
    }
}

} // namespace

void note_answered(recent_answers& answers, request_fingerprint request, time_point now)
{
    const auto [found, is_new] = answers.last.try_emplace(request, now);
    if (!is_new && now - found->second < note_interval) {
        return;
    }
    found->second = now;
    answers.order.emplace_back(request, now);
    while (answers.order.size() > answers.max_requests ||
           now - answers.order.front().second >= answers.retention) {
        drop_oldest(answers);
    }
}

bool was_answered(const recent_answers& answers, request_fingerprint request, time_point now)
{
    const auto found = answers.last.find(request);
    return found != answers.last.end() && now - found->second < answers.retention;
}

} // namespace dandelionstep
