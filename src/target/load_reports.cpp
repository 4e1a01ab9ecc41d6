#include "target/load_reports.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace dandelionstep {
namespace {

// Daemons report about once a second; a report counts for a few times as long.
constexpr milliseconds report_validity{3'000};
// With a hundred daemons and a thousand engines the sum takes milliseconds to compute, so it is not computed
// for each question.
constexpr milliseconds sum_interval{250};

std::optional<double> subtract_remaining(const engine_use& sum, const engine_use& part)
{
    if (!sum.remaining || (!part.remaining && part.running > 0)) {
        return std::nullopt;
    }
    return std::max(0.0, *sum.remaining - part.remaining.value_or(0));
}

engine_use subtract_use(const engine_use& sum, const engine_use& part)
{
    return {std::max<std::int64_t>(0, sum.running - part.running),
            std::max<std::int64_t>(0, sum.entered - part.entered),
            std::max(0.0, sum.token_layers - part.token_layers),
            std::max(0.0, sum.prefill_load - part.prefill_load), subtract_remaining(sum, part)};
}

} // namespace

void note_engine_uses(load_reports& reports, const vm_id& vm, const engine_uses& uses, time_point now)
{
    reports.latest[vm] = {uses, now};
}

const engine_uses& total_use(load_reports& reports, time_point now)
{
    if (reports.summed_at && now - *reports.summed_at < sum_interval) {
        return reports.total;
    }
    std::erase_if(reports.latest,
                  [now](const auto& entry) { return now - entry.second.received_at >= report_validity; });
    reports.total.clear();
    for (const auto& [vm, report] : reports.latest) {
        add_uses(reports.total, report.uses);
    }
    reports.summed_at = now;
    return reports.total;
}

void add_uses(engine_uses& sum, const engine_uses& added)
{
    for (const auto& [id, use] : added) {
        add_use(sum[id], use);
    }
}

engine_uses most_used(const engine_uses& uses, std::size_t most)
{
    std::vector<std::pair<double, const target_id*>> by_need;
    by_need.reserve(uses.size());
    for (const auto& [id, use] : uses) {
        by_need.emplace_back(-use.token_layers, &id);
    }
    const std::size_t count = std::min(most, by_need.size());
    std::ranges::nth_element(by_need, by_need.begin() + static_cast<std::ptrdiff_t>(count));
    engine_uses kept;
    for (std::size_t i = 0; i < count; ++i) {
        kept.emplace(*by_need[i].second, uses.at(*by_need[i].second));
    }
    return kept;
}

engine_uses subtract(const engine_uses& sum, const engine_uses& part)
{
    engine_uses remaining = sum;
    for (const auto& [id, use] : part) {
        const auto found = remaining.find(id);
        if (found != remaining.end()) {
            found->second = subtract_use(found->second, use);
        }
    }
    return remaining;
}

} // namespace dandelionstep
