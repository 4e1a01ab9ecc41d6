#include "engine_step.hpp"

#include <algorithm>
#include <numeric>

namespace dandelionstep::standins {

json step_json(const step_work& work)
{
    return {{"request", work.request},
            {"attempt", work.attempt},
            {"index", work.index},
            {"next_layer", work.next_layer},
            {"first_index", work.first_index},
            {"activations", work.activations},
            {"prompt_tokens", work.prompt_tokens},
            {"first", work.first},
            {"hops", work.hops}};
}

step_work parse_step(const json& body)
{
    step_work work;
    work.request = string_or(body, "request", "");
    work.attempt = integer_or(body, "attempt", 0);
    work.index = integer_or(body, "index", 0);
    work.next_layer = integer_or(body, "next_layer", 0);
    work.first_index = integer_or(body, "first_index", 0);
    work.activations = body.value("activations", std::vector<std::uint64_t>{});
    work.prompt_tokens = integer_or(body, "prompt_tokens", 0);
    work.first = boolean_or(body, "first", false);
    work.hops = body.value("hops", json::array());
    return work;
}

void skip_held_positions(step_work& step, std::int64_t from)
{
    const std::int64_t skipped = from - step.first_index;
    if (skipped > 0 && skipped < static_cast<std::int64_t>(step.activations.size())) {
        step.activations.erase(step.activations.begin(), step.activations.begin() + skipped);
        step.first_index = from;
    }
}

void step_result::add_hop(std::int64_t whole_ms)
{
    const std::int64_t after = std::accumulate(this->hop_ms.begin(), this->hop_ms.end(), std::int64_t{0});
    this->hop_ms.insert(this->hop_ms.begin(), std::max<std::int64_t>(whole_ms - after, 0));
}

std::int64_t prefill_tokens(const step_work& work)
{
    const std::int64_t rebuilt = work.index - work.first_index;
    return work.first_index == 0 ? work.prompt_tokens + rebuilt : rebuilt;
}

std::string engine_cache::refusal(const step_work& work)
{
    if (work.next_layer != this->begin_layer) {
        return "layer_mismatch";
    }
    if (static_cast<std::int64_t>(work.activations.size()) != work.index - work.first_index + 1) {
        return "bad_step";
    }
    this->evict();
    entry& known = this->entries[work.request];
    if (work.attempt < known.attempt || work.attempt <= known.cancelled) {
        return "stale_attempt";
    }
    known.attempt = work.attempt;
    known.used = ++this->uses;
    if (static_cast<std::int64_t>(positions_in(known.layers)) < work.first_index) {
        return "cache_missing";
    }
    return "";
}

// Memory is limited: the request that was used least lately loses its cache.
void engine_cache::evict()
{
    constexpr std::size_t max_requests = 4096;
    if (this->entries.size() < max_requests) {
        return;
    }
    this->entries.erase(
        std::ranges::min_element(this->entries, {}, [](const auto& held) { return held.second.used; }));
}

step_work engine_cache::run(const step_work& work)
{
    layer_cache& layers = this->entries[work.request].layers;
    step_work after = work;
    auto position = static_cast<std::size_t>(work.first_index);
    for (std::uint64_t& activation : after.activations) {
        activation = run_layers(layers, this->begin_layer, this->end_layer, position++, activation);
    }
    after.next_layer = this->end_layer;
    return after;
}

void engine_cache::cancel(const std::string& request, std::int64_t attempt, bool keep)
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end()) {
        return;
    }
    found->second.cancelled = std::max(found->second.cancelled, attempt);
    if (!keep && found->second.attempt <= attempt) {
        this->entries.erase(found);
    }
}

json engine_cache::export_layers(const std::string& request) const
{
    return this->entries.at(request).layers;
}

void engine_cache::import_layers(const std::string& request, const json& layers)
{
    this->entries[request].layers = layers.get<layer_cache>();
}

} // namespace dandelionstep::standins
