#include "request/recent_answers.hpp"
#include "request/request_fingerprint.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr time_point start{10'000'000};
constexpr request_fingerprint first{1};
constexpr request_fingerprint second{2};

bool was_answered(const recent_answers<request_fingerprint>& answers, request_fingerprint request,
                  time_point now)
{
    return last_answer(answers, request, now).has_value();
}

} // namespace

TEST_CASE("an answer is remembered for the retention time, counted from the last answer")
{
    recent_answers<request_fingerprint> answers;
    CHECK_FALSE(was_answered(answers, first, start));
    note_answered(answers, first, start);
    const milliseconds half = answers.retention / 2;
    note_answered(answers, first, start + half);
    CHECK(was_answered(answers, first, start + answers.retention));
    CHECK_FALSE(was_answered(answers, first, start + half + answers.retention));
    CHECK_FALSE(was_answered(answers, second, start));
}

TEST_CASE("the oldest answers are dropped above the maximum number")
{
    recent_answers<request_fingerprint> answers;
    answers.max_keys = 3;
    for (std::int64_t i = 1; i <= 5; ++i) {
        note_answered(answers, request_fingerprint{i}, start + milliseconds{i});
    }
    CHECK(answers.last.size() == 3);
    CHECK_FALSE(was_answered(answers, second, start));
    CHECK(was_answered(answers, request_fingerprint{3}, start));
}

TEST_CASE("a request that is answered very often takes a bounded number of entries")
{
    recent_answers<request_fingerprint> answers;
    for (std::int64_t ms = 0; ms < answers.retention.count * 3; ms += 10) {
        note_answered(answers, first, start + milliseconds{ms});
    }
    CHECK(answers.last.size() == 1);
    CHECK(answers.order.size() <= 61);
}

TEST_CASE("expired answers are removed when the next answer is noted")
{
    recent_answers<request_fingerprint> answers;
    note_answered(answers, first, start);
    note_answered(answers, second, start + answers.retention);
    CHECK(answers.last.size() == 1);
    CHECK(answers.order.size() == 1);
}

TEST_CASE("the time of the last answer is exact, however often a request is answered")
{
    recent_answers<request_fingerprint> answers;
    note_answered(answers, first, start);
    note_answered(answers, first, start + milliseconds{3});
    CHECK(last_answer(answers, first, start + milliseconds{5}) == start + milliseconds{3});
}
