#include "report/service_level.hpp"

#include "common/json.hpp"

namespace dandelionstep {

absl::StatusOr<service_level> parse_service_level(const json& body)
{
    service_level level;
    const auto member = body.find("service_level");
    if (member == body.end()) {
        return level;
    }
    level.target = number_or(*member, "target", level.target);
    level.first_token = {integer_or(*member, "first_token_ms", level.first_token.count)};
    level.token_gap = {integer_or(*member, "token_gap_ms", level.token_gap.count)};
    level.call = {integer_or(*member, "call_ms", level.call.count)};
    if (level.target <= 0 || level.target >= 1) {
        return absl::InvalidArgumentError("member \"service_level.target\" must be above 0 and below 1");
    }
    if (level.first_token.count < 1 || level.token_gap.count < 1 || level.call.count < 1) {
        return absl::InvalidArgumentError("the times of \"service_level\" must be at least 1 ms");
    }
    return level;
}

bool is_good_generation(const service_level& level, const answer_timing& timing)
{
    if (timing.first > level.first_token) {
        return false;
    }
    const std::int64_t gaps = timing.tokens - 1;
    return gaps < 1 || timing.whole - timing.first <= level.token_gap * gaps;
}

bool is_good_call(const service_level& level, const answer_timing& timing)
{
    return timing.whole <= level.call;
}

} // namespace dandelionstep
