#include "support/pipeline_simulation.hpp"

#include <array>

namespace dandelionstep::testing {
namespace {

struct accelerator {
    const char* name;
    double step_ms;
    double tokens_per_second;
};

constexpr std::array accelerators{
    accelerator{"a", 4, 4000},
    accelerator{"b", 6, 2000},
    accelerator{"c", 8, 1500},
    accelerator{"d", 10, 1000},
};

} // namespace

declarations mixed_pipeline(const std::vector<std::string>& data_centres, int replicas)
{
    constexpr std::int64_t layers_per_stage = 4;
    constexpr std::int64_t stages = 3;
    declarations declared;
    model assistant;
    assistant.id = model_id("assistant");
    assistant.version = "1";
    assistant.layer_count = layer_index{stages * layers_per_stage};
    declared.models.emplace(assistant.id, assistant);
    for (const std::string& where : data_centres) {
        for (std::int64_t stage = 0; stage < stages; ++stage) {
            for (int i = 0; i < replicas; ++i) {
                const accelerator& kind = accelerators[static_cast<std::size_t>(i) % accelerators.size()];
                target engine;
                engine.id = target_id(where + "-stage" + std::to_string(stage) + "-" + std::to_string(i));
                engine.data_centre = data_centre_id(where);
                engine.engine = engine_spec{};
                engine.engine->variant = {assistant.id, "1", {}};
                engine.engine->layers = {layer_index{stage * layers_per_stage},
                                         layer_index{(stage + 1) * layers_per_stage}};
                engine.engine->accelerator = kind.name;
                engine.engine->tokens_per_second = kind.tokens_per_second;
                engine.engine->step_ms = kind.step_ms;
                declared.targets.emplace(engine.id, engine);
            }
        }
    }
    return declared;
}

} // namespace dandelionstep::testing
