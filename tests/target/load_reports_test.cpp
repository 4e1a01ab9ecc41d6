#include "target/load_reports.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

const target_id engine("e");

engine_uses running(std::int64_t count)
{
    return {{engine, {count, 1, 10.0 * static_cast<double>(count), 0.5}}};
}

} // namespace

TEST_CASE("the reports of daemons are added up, and a new report of a daemon replaces its last one")
{
    load_reports reports;
    note_engine_uses(reports, vm_id("a"), running(3), {1'000});
    note_engine_uses(reports, vm_id("b"), running(4), {1'000});
    CHECK(total_use(reports, {1'000}).at(engine) == engine_use{7, 2, 70, 1});
    note_engine_uses(reports, vm_id("a"), running(1), {2'000});
    CHECK(total_use(reports, {2'000}).at(engine).running == 5);
}

TEST_CASE("the sum is computed a few times a second, however often it is asked for")
{
    load_reports reports;
    note_engine_uses(reports, vm_id("a"), running(3), {1'000});
    CHECK(total_use(reports, {1'000}).at(engine).running == 3);
    note_engine_uses(reports, vm_id("a"), running(5), {1'010});
    CHECK(total_use(reports, {1'100}).at(engine).running == 3);
    CHECK(total_use(reports, {1'300}).at(engine).running == 5);
}

TEST_CASE("a daemon that no longer reports does not count")
{
    load_reports reports;
    note_engine_uses(reports, vm_id("a"), running(3), {1'000});
    note_engine_uses(reports, vm_id("b"), running(4), {4'000});
    CHECK(total_use(reports, {4'500}).at(engine).running == 4);
    CHECK(total_use(reports, {9'000}).empty());
}

TEST_CASE("the sum without a daemon's own part is the use by the others, and never less than zero")
{
    CHECK(subtract(running(7), running(3)).at(engine) == engine_use{4, 0, 40, 0});
    CHECK(subtract(running(2), running(3)).at(engine).running == 0);
    CHECK(subtract(running(2), {}).at(engine).running == 2);
    CHECK(subtract({}, running(2)).empty());
}

// Guards against an engine that looks free because one daemon of an older version tells nothing.
TEST_CASE("requests of daemons that don't tell remaining tokens count like those of the others")
{
    engine_use sum;
    add_use(sum, {4, 0, 0, 0, 400});
    CHECK(sum.remaining == 400);
    add_use(sum, {2, 0, 0, 0, std::nullopt});
    CHECK(sum.remaining == 600);
    engine_use untold{2, 0, 0, 0, std::nullopt};
    add_use(untold, {0, 0, 0, 0, 0});
    CHECK_FALSE(untold.remaining);
    add_use(untold, {1, 0, 0, 0, 50});
    CHECK(untold.remaining == 150);
    const engine_uses all = {{engine, {4, 0, 0, 0, 400}}};
    CHECK(subtract(all, {{engine, {1, 0, 0, 0, 500}}}).at(engine).remaining == 0);
    CHECK_FALSE(subtract(all, {{engine, {1, 0, 0, 0, std::nullopt}}}).at(engine).remaining);
    CHECK(scaled(all.at(engine), 2).remaining == 800);
}

// With more engines than a message may tell of, the full ones have to be among those that are told.
TEST_CASE("the engines with the most KV cache in use are told first")
{
    engine_uses uses;
    for (int i = 0; i < 10; ++i) {
        uses[target_id("i-" + std::to_string(i))].token_layers = 100.0 * i;
    }
    const engine_uses told = most_used(uses, 3);
    CHECK(told.size() == 3);
    CHECK(told.contains(target_id("i-9")));
    CHECK(told.contains(target_id("i-7")));
    CHECK(most_used(uses, 20) == uses);
    CHECK(most_used({}, 3).empty());
}
