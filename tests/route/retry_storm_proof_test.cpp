#include "route/retry_budget.hpp"

#include <doctest/doctest.h>
#include <random>

namespace dandelionstep {
namespace {

constexpr int max_attempts = 8;

struct storm {
    std::int64_t requests = 0;
    std::int64_t attempts = 0;
    std::int64_t answered = 0;
};

// Requests whose attempts each fail with the probability, retried while the budget (if any) allows it.
storm send_all(std::int64_t requests, double failure, retry_budget* budget)
{
    std::mt19937 random(21);
    std::bernoulli_distribution fails(failure);
    storm result{.requests = requests};
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

TEST_CASE("with every attempt failing, the load is at most a fifth above the requests")
{
    constexpr std::int64_t requests = 10'000;
    retry_budget budget;
    const storm bounded = send_all(requests, 1, &budget);
    CHECK(static_cast<double>(bounded.attempts) <= 1.2 * requests + 100);
    // Without the budget the load is multiplied.
    CHECK(send_all(requests, 1, nullptr).attempts == max_attempts * requests);
}

TEST_CASE("a third of the targets lost from three stages costs retries only while they are used")
{
    // Seven in ten chains go through a lost target: 1 - (2/3)^3. Ejection ends that after the first hundred
    // requests.
    retry_budget budget;
    const storm during = send_all(100, 0.7, &budget);
    const storm after = send_all(1000, 0.02, &budget);
    CHECK(after.answered == after.requests);
    CHECK(static_cast<double>(during.attempts) <= 1.2 * 100 + 100);
}

TEST_CASE("a budget saves no more than its most, however long all goes well")
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
