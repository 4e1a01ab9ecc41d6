#include "target/remaining_work.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionstep {
namespace {

// An answer that is longer than expected is expected to grow by another part in so many.
constexpr std::int64_t growth_part = 2;
// Running requests count at least this much, whatever is expected of them: the expectation may be far too
// low.
constexpr double least_share = 0.5;

// The mean over a new request's time of the chance that one that runs now still runs. Remaining lengths are
// taken as exponentially distributed.
double lasting_share(double mean_remaining, double answer_tokens)
{
    if (mean_remaining <= 0 || answer_tokens <= 0) {
        return least_share;
    }
    const double ratio = mean_remaining / answer_tokens;
    return std::max(least_share, ratio * -std::expm1(-1 / ratio));
}

} // namespace

void end_call(std::vector<call_work>& calls, const std::optional<call_work>& ended)
{
    const auto found = ended ? std::ranges::find(calls, *ended) : calls.end();
    if (found != calls.end()) {
        calls.erase(found);
    }
}

double remaining_ms(const std::vector<call_work>& calls, time_point now)
{
    double sum = 0;
    for (const call_work& call : calls) {
        sum += std::max(0.0, call.expected_ms - static_cast<double>((now - call.sent_at).count));
    }
    return sum;
}

std::int64_t revised_answer_tokens(std::int64_t expected, std::int64_t arrived, std::int64_t most)
{
    if (arrived < expected) {
        return expected;
    }
    const std::int64_t grown = arrived + std::max<std::int64_t>(1, arrived / growth_part);
    return most > 0 ? std::max(arrived, std::min(grown, most)) : grown;
}

// The places of requests that end are taken by new ones, of which an engine gets as many as others.
double mean_running(const running_load& load, double answer_tokens)
{
    if (!load.remaining_tokens || load.running <= 0) {
        return load.running;
    }
    const double share = lasting_share(*load.remaining_tokens / load.running, answer_tokens);
    return share * load.running + (1 - share) * load.usual;
}

} // namespace dandelionstep
