#include "support/mixed_engines.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace dandelionstep::testing {

engine_profile mixed_profile()
{
    engine_profile profile;
    profile.layers = 80;
    profile.layer_mb = 1750;
    profile.kv_cache_bytes_per_token = 918'000;
    profile.step_ms = 1;
    profile.step_ms_per_request = 0.007;
    profile.step_ms_per_context_k = 0.01;
    profile.prefill_tokens_per_ms = 105;
    profile.steps_per_event = 3;
    profile.load_time = {14'000};
    profile.mean_prompt_tokens = 774;
    profile.mean_answer_tokens = 200;
    profile.activation_bytes = 45'900;
    profile.centre_link_mbps = 26'000;
    profile.kinds["large"] = {72'000, 2.4, 3.2};
    profile.kinds["middle"] = {43'200, 5.6, 2.7};
    profile.kinds["small"] = {21'600, 16, 8.2};
    return profile;
}

registered_target engine_of(const std::string& id, const std::string& kind, const std::string& data_centre)
{
    registered_target engine;
    engine.id = target_id(id);
    engine.service = service_id("assistant");
    engine.data_centre = data_centre_id(data_centre);
    engine.kind = kind;
    engine.slots = 192;
    engine.started = {1};
    return engine;
}

registered_target engine_with(const std::string& id, const std::string& kind, const std::string& data_centre,
                              std::int64_t begin, std::int64_t end)
{
    registered_target engine = engine_of(id, kind, data_centre);
    engine.layers = {begin, end};
    return engine;
}

std::vector<registered_target> mixed_engines(const std::string& data_centre)
{
    constexpr int large = 2;
    constexpr int middle = 6;
    constexpr int small = 8;
    std::vector<registered_target> engines;
    engines.reserve(large + middle + small);
    for (int i = 0; i < large; ++i) {
        engines.push_back(engine_of(absl::StrCat(data_centre, "-large", i), "large", data_centre));
    }
    for (int i = 0; i < middle; ++i) {
        engines.push_back(engine_of(absl::StrCat(data_centre, "-middle", i), "middle", data_centre));
    }
    for (int i = 0; i < small; ++i) {
        engines.push_back(engine_of(absl::StrCat(data_centre, "-small", i), "small", data_centre));
    }
    return engines;
}

std::vector<registered_target> placed(std::vector<registered_target> engines, const layer_placement& plan)
{
    for (registered_target& engine : engines) {
        const auto found = plan.find(engine.id);
        if (found != plan.end()) {
            engine.layers = found->second;
        }
    }
    return engines;
}

std::vector<registered_target> filled_to_the_brim(const engine_profile& profile,
                                                  std::vector<registered_target> engines)
{
    std::int64_t next = 0;
    for (registered_target& engine : engines) {
        const auto most =
            static_cast<std::int64_t>(profile.kinds.at(engine.kind).memory_mb / profile.layer_mb);
        engine.layers = {next, std::min(profile.layers, next + most)};
        next = engine.layers.end == profile.layers ? 0 : engine.layers.end;
    }
    return engines;
}

std::vector<path_candidate> candidates_of(const std::vector<registered_target>& engines, double running)
{
    std::vector<path_candidate> candidates;
    candidates.reserve(engines.size());
    for (const registered_target& engine : engines) {
        candidates.push_back({&engine, running, 0, 0, 1});
    }
    return candidates;
}

path_query query_from(const engine_profile& profile, const std::string& entry)
{
    path_query query;
    query.profile = &profile;
    query.entry = data_centre_id(entry);
    return query;
}

} // namespace dandelionstep::testing
