#include "route/retry_budget.hpp"

#include <doctest/doctest.h>
#include <random>

namespace dandelionstep {
namespace {

constexpr int max_attempts = 8;

struct request_totals {
    std::int64_t requests = 0;
    std::int64_t attempts = 0;
    std::int64_t answered = 0;
};

// Sends requests whose attempts fail with probability `failure`; the budget, if not null, limits the retries.
request_totals send_all(std::int64_t requests, double failure, retry_budget* budget)
{
    std::mt19937 random(21);
    std::bernoulli_distribution fails(failure);
    request_totals result{.requests = requests};
    for (std::int64_t i = 0; i < requests; ++i) {
        if (budget != nullptr) {
            note_request(*budget);
        }
        for (int attempt = 1; attempt <= max_attempts; ++attempt) {
            if (attempt > 1 && budget != nullptr && !take_retry(*budget)) {
                break;
            }
            ++result.attempts;
            if (!fails(random)) {
                ++result.answered;
                break;
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("if every attempt fails, the attempts exceed the requests by a fifth at most")
{
    constexpr std::int64_t requests = 10'000;
    retry_budget budget;
    const request_totals bounded = send_all(requests, 1, &budget);
    CHECK(static_cast<double>(bounded.attempts) <= 1.2 * requests + 100);
    // Without a budget, every request makes the maximum number of attempts.
    CHECK(send_all(requests, 1, nullptr).attempts == max_attempts * requests);
}

TEST_CASE("the loss of a third of the targets of three stages causes retries only until they are ejected")
{
    // Seven in ten chains use a lost target: 1 - (2/3)^3. After the first hundred requests, the lost targets
    // are ejected.
    retry_budget budget;
    const request_totals during = send_all(100, 0.7, &budget);
    const request_totals after = send_all(1000, 0.02, &budget);
    CHECK(after.answered == after.requests);
    CHECK(static_cast<double>(during.attempts) <= 1.2 * 100 + 100);
}

TEST_CASE("the balance does not exceed its maximum after many requests without retries")
{
    retry_budget budget;
    send_all(100'000, 0, &budget);
    std::int64_t taken = 0;
    while (take_retry(budget)) {
        ++taken;
    }
    CHECK(taken == 100);
    CHECK(budget.denied == 1);
}

} // namespace dandelionstep
