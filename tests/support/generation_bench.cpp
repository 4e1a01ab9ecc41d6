#include "support/generation_bench.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep::testing {
namespace {

constexpr std::int64_t stages = 3;
constexpr std::int64_t layers_per_stage = 4;

template <class Action>
const Action* find_action(const std::vector<generation_action>& actions)
{
    for (const generation_action& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

target engine_of(const std::string& name, std::int64_t begin_layer, std::int64_t end_layer)
{
    target made;
    made.id = target_id(name);
    made.engine = engine_spec{.variant = {model_id("assistant"), "1", {}},
                              .layers = {{begin_layer}, {end_layer}},
                              .accelerator = {}};
    return made;
}

generation_bench::generation_bench(const std::string& letters) : letters(letters)
{
    this->state.request.id = request_id("r1");
    this->state.request.model = model_id("assistant");
    this->state.request.deadline = this->now + milliseconds{60'000};
}

absl::StatusOr<chain> generation_bench::choose(const std::set<target_id>& excluded,
                                               ejected_targets ejected) const
{
    std::vector<target> chosen;
    for (std::int64_t stage = 0; stage < stages; ++stage) {
        for (const char letter : this->letters) {
            const std::string name = absl::StrCat(stage, std::string(1, letter));
            const bool avoided = (ejected == ejected_targets::avoid && this->dead.contains(name)) ||
                                 (ejected != ejected_targets::use && this->long_dead.contains(name));
            if (!avoided && !this->gone.contains(name) && !excluded.contains(target_id(name))) {
                const std::int64_t begin = stage * layers_per_stage;
                chosen.push_back(engine_of(name, begin, begin + layers_per_stage));
                chosen.back().engine->variant.version = this->version;
                break;
            }
        }
    }
    if (chosen.size() != stages) {
        return absl::UnavailableError("no eligible targets hold all layers");
    }
    return chain::make({model_id("assistant"), this->version, {}}, {stages * layers_per_stage}, chosen);
}

std::vector<generation_action> generation_bench::on(const generation_event& event)
{
    const chain_source chains = [this](const chain_requirements& wish) {
        return this->choose(wish.excluded, wish.ejected);
    };
    return advance(this->state, event, chains, this->now);
}

void generation_bench::answer_tokens(std::int64_t count)
{
    this->on(generation_started{});
    for (std::int64_t index = 0; index < count; ++index) {
        this->token(index);
    }
}

std::vector<generation_action> generation_bench::token(std::int64_t index)
{
    return this->on(token_received{this->state.attempt, {index}, absl::StrCat("t", index, " ")});
}

std::vector<generation_action> generation_bench::fail(attempt_failure failure, const std::string& culprit)
{
    return this->on(attempt_failed{this->state.attempt, failure,
                                   culprit.empty() ? std::nullopt : std::optional(target_id(culprit))});
}

const open_attempt* generation_bench::opening(const std::vector<generation_action>& actions)
{
    return find_action<open_attempt>(actions);
}

const refusal* generation_bench::refused(const std::vector<generation_action>& actions)
{
    const auto* found = find_action<deliver_refusal>(actions);
    return found == nullptr ? nullptr : &found->why;
}

const cancel_attempt* generation_bench::cancelled(const std::vector<generation_action>& actions)
{
    return find_action<cancel_attempt>(actions);
}

std::string generation_bench::opened(const std::vector<generation_action>& actions)
{
    std::string names;
    if (const open_attempt* found = opening(actions)) {
        for (const hop& stage : found->through.hops()) {
            absl::StrAppend(&names, names.empty() ? "" : " ", stage.target.value);
        }
    }
    return names;
}

std::string generation_bench::suspected(const std::vector<generation_action>& actions)
{
    std::string names;
    for (const generation_action& action : actions) {
        if (const auto* found = std::get_if<suspect_target>(&action)) {
            absl::StrAppend(&names, names.empty() ? "" : " ", found->target.value);
        }
    }
    return names;
}

} // namespace dandelionstep::testing
