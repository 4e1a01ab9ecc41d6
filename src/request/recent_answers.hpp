#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace dandelionstep {

//! Remembers what was answered in the recent past, for example requests; the number is bounded.
template <class Key>
struct recent_answers {
    //! An answer counts as recent for this time.
    milliseconds retention{60'000};
    std::size_t max_keys = 8'192;

    //! The time of the last answer to each key.
    std::map<Key, time_point> last;
    //! Each key once, in the order in which they are looked at again, with the time known then.
    std::deque<std::pair<Key, time_point>> order;
};

namespace internal {

// A key that was answered again since it was queued stays, unless there are too many.
template <class Key>
void take_oldest(recent_answers<Key>& answers, time_point now)
{
    const Key key = answers.order.front().first;
    answers.order.pop_front();
    const auto found = answers.last.find(key);
    if (now - found->second < answers.retention && answers.order.size() < answers.max_keys) {
        answers.order.emplace_back(key, found->second);
    } else {
        answers.last.erase(found);
    }
}

} // namespace internal

//! Notes that the key was answered.
template <class Key>
void note_answered(recent_answers<Key>& answers, const Key& key, time_point now)
{
    const auto [found, is_new] = answers.last.try_emplace(key, now);
    found->second = now;
    if (is_new) {
        answers.order.emplace_back(key, now);
    }
    while (answers.order.size() > answers.max_keys ||
           now - answers.order.front().second >= answers.retention) {
        internal::take_oldest(answers, now);
    }
}

//! When the key was last answered, if that was within the retention time.
template <class Key>
std::optional<time_point> last_answer(const recent_answers<Key>& answers, const Key& key, time_point now)
{
    const auto found = answers.last.find(key);
    const bool is_recent = found != answers.last.end() && now - found->second < answers.retention;
    return is_recent ? std::optional(found->second) : std::nullopt;
}

} // namespace dandelionstep
