#include "request/repair_chain.hpp"
#include "support/generation_bench.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

declarations three_stages_of(const std::string& version)
{
    declarations declared;
    model assistant;
    assistant.id = model_id("assistant");
    assistant.version = version;
    assistant.layer_count = {12};
    declared.models.emplace(assistant.id, assistant);
    for (std::int64_t stage = 0; stage < 3; ++stage) {
        for (const char* letter : {"a", "b", "c"}) {
            target engine = engine_of(absl::StrCat(stage, letter), stage * 4, stage * 4 + 4);
            engine.engine->variant.version = version;
            engine.data_centre = data_centre_id(std::string(letter) == "c" ? "burlington" : "nashua");
            declared.targets.emplace(engine.id, engine);
        }
    }
    return declared;
}

std::string names(const absl::StatusOr<chain>& through)
{
    std::string text;
    if (through.ok()) {
        for (const hop& stage : through->hops()) {
            absl::StrAppend(&text, text.empty() ? "" : " ", stage.target.value);
        }
    }
    return text;
}

} // namespace

TEST_CASE(
    "a broken chain keeps its healthy hops, and the others are replaced by engines with the same layers")
{
    const declarations declared = three_stages_of("1");
    const route_index index = build_route_index(declared);
    const chain broken =
        *chain::make({model_id("assistant"), "1", {}}, {12},
                     {declared.targets.at(target_id("0a")), declared.targets.at(target_id("1a")),
                      declared.targets.at(target_id("2a"))});
    health_map health;
    const time_point now{1000};
    const auto repaired = [&](const std::set<target_id>& excluded) {
        return names(repair_chain(index, health, broken, excluded, 7, now));
    };

    CHECK(repaired({}) == "0a 1a 2a");
    CHECK(repaired({target_id("1a")}) == "0a 1b 2a");
    CHECK(repaired({target_id("1a"), target_id("2a")}) == "0a 1b 2b");
    SUBCASE("another data centre is used only when there is no other engine")
    {
        CHECK(repaired({target_id("1a"), target_id("1b")}) == "0a 1c 2a");
    }
    SUBCASE("there is no chain when no engine holds the layers")
    {
        CHECK(repaired({target_id("1a"), target_id("1b"), target_id("1c")}).empty());
    }
    SUBCASE("a healthy hop that is leaving or ejected is replaced too")
    {
        health[target_id("0a")].leaving = true;
        health[target_id("2a")].ejected_until = now + milliseconds{1};
        CHECK(repaired({target_id("1a")}) == "0b 1b 2b");
    }
    SUBCASE("there is no chain after the model's version has changed")
    {
        const route_index changed = build_route_index(three_stages_of("2"));
        CHECK_FALSE(repair_chain(changed, health, broken, {}, 7, now).ok());
    }
}
