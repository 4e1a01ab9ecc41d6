#include "target/load_reports.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Daemons tell about once a second; what was told counts for a few times that.
constexpr milliseconds part_validity{3'000};
// With a hundred daemons and a thousand engines a sum takes milliseconds, so it is not made for each
// question.
constexpr milliseconds sum_interval{250};

engine_use less(const engine_use& sum, const engine_use& part)
{
    return {std::max<std::int64_t>(0, sum.running - part.running),
            std::max<std::int64_t>(0, sum.entered - part.entered),
            std::max(0.0, sum.token_layers - part.token_layers),
            std::max(0.0, sum.prefill_load - part.prefill_load)};
}

} // namespace

void note_engine_uses(load_reports& shared, const vm_id& vm, const engine_uses& uses, time_point now)
{
    shared.parts[vm] = {uses, now};
}

const engine_uses& total_use(load_reports& shared, time_point now)
{
    if (shared.summed_at && now - *shared.summed_at < sum_interval) {
        return shared.total;
    }
    std::erase_if(shared.parts, [now](const auto& one) { return now - one.second.told_at >= part_validity; });
    shared.total.clear();
    for (const auto& [vm, part] : shared.parts) {
        add_uses(shared.total, part.uses);
    }
    shared.summed_at = now;
    return shared.total;
}

void add_uses(engine_uses& sum, const engine_uses& added)
{
    for (const auto& [id, use] : added) {
        add_use(sum[id], use);
    }
}

engine_uses subtract(const engine_uses& sum, const engine_uses& part)
{
    engine_uses rest = sum;
    for (const auto& [id, use] : part) {
        const auto found = rest.find(id);
        if (found != rest.end()) {
            found->second = less(found->second, use);
        }
    }
    return rest;
}

} // namespace dandelionstep
