#include "configuration/difference.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

configuration_record model_record(const json& body, std::int64_t schema_version = 1, bool deleted = false)
{
    return {.key = {"model", "m"},
            .schema_version = schema_version,
            .body = body,
            .deleted = deleted,
            .changed_at = revision{}};
}

struct difference_case {
    const char* what;
    std::vector<configuration_record> in_force;
    configuration_record proposed;
    difference_kind kind;
    std::string text;
};

} // namespace

TEST_CASE("a proposed record is compared with the one in force")
{
    const std::vector<difference_case> table{
        {"new",
         {},
         model_record({{"layers", 4}}),
         difference_kind::added,
         "+ model/m\n    layers: (none) -> 4\n"},
        {"same", {model_record({{"layers", 4}})}, model_record({{"layers", 4}}), difference_kind::same, ""},
        {"changed member",
         {model_record({{"layers", 4}, {"version", "1"}})},
         model_record({{"layers", 8}, {"version", "1"}}),
         difference_kind::changed,
         "~ model/m\n    layers: 4 -> 8\n"},
        {"member left out",
         {model_record({{"layers", 4}, {"version", "1"}})},
         model_record({{"layers", 4}}),
         difference_kind::changed,
         "~ model/m\n    version: \"1\" -> (none)\n"},
        {"a member of a newer schema, left out by a writer with an older schema",
         {model_record({{"layers", 4}, {"colour", "red"}}, 2)},
         model_record({{"layers", 8}}, 1),
         difference_kind::changed,
         "~ model/m\n    layers: 4 -> 8\n"},
        {"deleted",
         {model_record({{"layers", 4}})},
         model_record({}, 1, true),
         difference_kind::removed,
         "- model/m\n"},
        {"deleted twice", {model_record({}, 1, true)}, model_record({}, 1, true), difference_kind::same, ""},
        {"created again after it was deleted",
         {model_record({{"layers", 4}}, 1, true)},
         model_record({{"layers", 4}}),
         difference_kind::added,
         "+ model/m\n    layers: (none) -> 4\n"},
    };
    for (const difference_case& row : table) {
        CAPTURE(std::string(row.what));
        std::map<record_key, configuration_record> in_force;
        for (const configuration_record& record : row.in_force) {
            in_force[record.key] = record;
        }
        const auto found = differences(in_force, {row.proposed});
        REQUIRE(found.size() == 1);
        CHECK(found.front().kind == row.kind);
        CHECK(to_text(found) == row.text);
    }
}
