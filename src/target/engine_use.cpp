#include "target/engine_use.hpp"

#include <algorithm>

namespace dandelionstep {

namespace {

double remaining_if(const engine_use& use, const engine_use& alike)
{
    if (use.remaining || alike.running <= 0) {
        return use.remaining.value_or(0);
    }
    return *alike.remaining * static_cast<double>(use.running) / static_cast<double>(alike.running);
}

// A part without requests says nothing of the other.
std::optional<double> sum_remaining(const engine_use& a, const engine_use& b)
{
    const bool is_known = (a.remaining && (b.remaining || a.running > 0 || b.running == 0)) ||
                          (b.remaining && (b.running > 0 || a.running == 0));
    return is_known ? std::optional(remaining_if(a, b) + remaining_if(b, a)) : std::nullopt;
}

} // namespace

void add_use(engine_use& sum, const engine_use& added)
{
    sum.remaining = sum_remaining(sum, added);
    sum.running += added.running;
    sum.entered += added.entered;
    sum.token_layers += added.token_layers;
    sum.prefill_load += added.prefill_load;
}

engine_use scaled(const engine_use& use, double factor)
{
    return {static_cast<std::int64_t>(static_cast<double>(use.running) * factor),
            static_cast<std::int64_t>(static_cast<double>(use.entered) * factor), use.token_layers * factor,
            use.prefill_load * factor, use.remaining ? std::optional(*use.remaining * factor) : std::nullopt};
}

engine_use larger_of(const engine_use& a, const engine_use& b)
{
    return {std::max(a.running, b.running), std::max(a.entered, b.entered),
            std::max(a.token_layers, b.token_layers), std::max(a.prefill_load, b.prefill_load),
            std::max(a.remaining, b.remaining)};
}

} // namespace dandelionstep
