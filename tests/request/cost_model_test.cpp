#include "request/cost_model.hpp"

#include "absl/strings/str_cat.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;

namespace {

constexpr std::int64_t most = 600;

answer_query query_of(const std::string& organisation, std::optional<std::int64_t> hint = std::nullopt)
{
    return {"ask", organisation, "", hint, most};
}

void note_answers(cost_model& model, const answer_query& query, std::int64_t tokens, int count,
                  time_point now)
{
    for (int i = 0; i < count; ++i) {
        note_answer(model, query, tokens, now);
    }
}

} // namespace

TEST_CASE("before there are samples the length is the hint, or the longest one")
{
    const cost_model model;
    CHECK(expected_answer_tokens(model, query_of("a"), {0}) == most);
    CHECK(expected_answer_tokens(model, query_of("a", 40), {0}) == 40);
    CHECK(expected_answer_tokens(model, query_of("a", 4'000), {0}) == most);
}

TEST_CASE("an organisation is judged by its own answers once there are enough, and by the route's before")
{
    cost_model model;
    note_answers(model, query_of("a"), 50, 20, {1'000});
    CHECK(expected_answer_tokens(model, query_of("b"), {1'000}) == 50);
    note_answers(model, query_of("b"), 400, 20, {1'000});
    CHECK(expected_answer_tokens(model, query_of("a"), {1'000}) == 50);
    CHECK(expected_answer_tokens(model, query_of("b"), {1'000}) > 300);
}

TEST_CASE("samples fade: what was learned long ago is not used")
{
    cost_model model;
    note_answers(model, query_of("a"), 50, 20, {1'000});
    CHECK(expected_answer_tokens(model, query_of("a"), {61'000}) == 50);
    CHECK(expected_answer_tokens(model, query_of("a"), {1'000'000}) == most);
}

TEST_CASE("hints that are usually half of the length are corrected, and beat the mean where they are closer")
{
    cost_model model;
    for (int i = 0; i < 60; ++i) {
        const std::int64_t tokens = i % 2 == 0 ? 40 : 400;
        note_answer(model, query_of("a", tokens / 2), tokens, {1'000});
    }
    CHECK(expected_answer_tokens(model, query_of("a", 20), {1'000}) == doctest::Approx(40).epsilon(0.2));
    CHECK(expected_answer_tokens(model, query_of("a", 200), {1'000}) == doctest::Approx(400).epsilon(0.2));
}

// Guards against load that is estimated too low, since sums of lengths need their mean and not their median.
TEST_CASE("the sum of the expected lengths is that of the answers, with hints that are far off")
{
    std::mt19937 random(1);
    std::normal_distribution<double> normal(0, 1);
    cost_model model;
    double expected = 0;
    double actual = 0;
    for (int i = 0; i < 2'000; ++i) {
        const auto tokens =
            std::clamp<std::int64_t>(std::llround(100 * std::exp(0.6 * normal(random))), 1, most);
        const answer_query query =
            query_of("a", std::llround(static_cast<double>(tokens) * std::exp(normal(random))));
        if (i >= 100) {
            expected += static_cast<double>(expected_answer_tokens(model, query, {1'000}));
            actual += static_cast<double>(tokens);
        }
        note_answer(model, query, tokens, {1'000});
    }
    CHECK(expected / actual == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE("a model that has become wrong by ten times is set aside for the hint within some samples")
{
    cost_model model;
    note_answers(model, query_of("a", 300), 300, 60, {1'000});
    note_answers(model, query_of("a", 30), 30, 1, {1'000});
    int wrong = 0;
    for (; wrong < 20 && expected_answer_tokens(model, query_of("a", 25), {1'000}) > 50; ++wrong) {
        note_answer(model, query_of("a", 25), 28, {1'000});
    }
    CHECK(wrong <= 8);
}

TEST_CASE("an answer that was cut counts only if it was longer than expected already")
{
    cost_model model;
    note_answers(model, query_of("a"), 100, 20, {1'000});
    note_cut_answer(model, query_of("a"), 5, {1'000});
    CHECK(expected_answer_tokens(model, query_of("a"), {1'000}) == 100);
    for (int i = 0; i < 20; ++i) {
        note_cut_answer(model, query_of("a"), 300, {1'000});
    }
    CHECK(expected_answer_tokens(model, query_of("a"), {1'000}) > 120);
}

TEST_CASE("memory is bounded, and kinds in use are kept")
{
    cost_model model;
    for (int i = 0; i < 5'000; ++i) {
        note_answer(model, {absl::StrCat("route", i), "", "", std::nullopt, most}, 10, {i});
        note_answer(model, {"kept", "", absl::StrCat("s", i), std::nullopt, most}, 10, {i});
        note_answer(model, {"kept", "", "shared", std::nullopt, most}, 200, {i});
    }
    CHECK(model.routes.size() <= 256);
    CHECK(model.recent_kinds.size() + model.older_kinds.size() <= 1'024);
    CHECK(expected_answer_tokens(model, {"kept", "", "shared", std::nullopt, most}, {5'000}) > 100);
}

TEST_CASE("the work of a call is the usual response time of its route")
{
    cost_model model;
    CHECK(expected_call_ms(model, "orders", {0}) == 0);
    for (int i = 0; i < 10; ++i) {
        note_call(model, "orders", {60}, {1'000});
    }
    CHECK(expected_call_ms(model, "orders", {1'000}) == doctest::Approx(60));
}
