#include "engine_generation.hpp"

#include <cstdlib>

namespace dandelionstep::standins {

step_work first_hop_step(const generation& work, const engine_options& options)
{
    constexpr std::int64_t bytes_per_token = 4;
    step_work step;
    step.request = work.request;
    step.attempt = work.attempt;
    step.index = static_cast<std::int64_t>(work.tokens.size());
    step.first = work.first;
    const std::int64_t held = work.hops.empty() ? 0 : integer_or(work.hops.front(), "prefill_from", 0);
    step.first_index = work.first ? held : step.index;
    step.prompt_tokens = static_cast<std::int64_t>(work.prompt.size()) / bytes_per_token + 1;
    step.hops = work.hops;
    for (std::int64_t position = step.first_index; position <= step.index; ++position) {
        step.activations.push_back(embed(options.model, options.version, work.prompt, work.tokens,
                                         static_cast<std::size_t>(position)));
    }
    return step;
}

std::string hop_failure(const http_result& result)
{
    if (result.failure == http_failure::not_connected) {
        return "hop_unreachable";
    }
    return result.failure == http_failure::timed_out ? "hop_silent" : "hop_reset";
}

void prefix_cache_events::remember(const std::string& prompt)
{
    constexpr std::size_t prefix_bytes = 64;
    constexpr std::size_t max_events = 1000;
    this->events.push_back({{"sequence", ++this->last_sequence},
                            {"event", "cached"},
                            {"prefix", prompt.substr(0, prefix_bytes)}});
    if (this->events.size() > max_events) {
        this->events.erase(this->events.begin());
    }
}

std::string prefix_cache_events::after(const std::string& sequence) const
{
    const std::int64_t seen = std::strtoll(sequence.c_str(), nullptr, 10);
    json list = json::array();
    for (const json& event : this->events) {
        if (integer_or(event, "sequence", 0) > seen) {
            list.push_back(event);
        }
    }
    return dump({{"events", list}});
}

} // namespace dandelionstep::standins
