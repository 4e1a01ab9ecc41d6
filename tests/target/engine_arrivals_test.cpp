#include "target/engine_arrivals.hpp"

#include "route/placement_bound.hpp"
#include "support/mixed_engines.hpp"
#include "target/layer_placement.hpp"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr milliseconds time_step{50};
constexpr milliseconds plan_interval{300};
constexpr milliseconds arrival_interval{750};
constexpr milliseconds drain_time{2'000};
constexpr milliseconds release_duration{9'000};

target_registry registry_of(const std::vector<registered_target>& engines)
{
    target_registry registry;
    for (const registered_target& engine : engines) {
        registry[engine.id] = engine;
    }
    return registry;
}

// Decides from the registry and the time whether to make a plan now.
using plan_rule = std::function<bool(const target_registry&, time_point)>;

plan_rule by_arrivals()
{
    return [arrivals = engine_arrivals()](const target_registry& registry, time_point now) mutable {
        note_engines(arrivals, registry, true, now);
        return has_settled(arrivals, now);
    };
}

// The simpler rule for comparison: any registration delays the next plan.
plan_rule by_any_registration()
{
    return [seen = std::size_t{0}, changed_at = time_point{0}](const target_registry& registry,
                                                               time_point now) mutable {
        changed_at = registry.size() > seen ? now : changed_at;
        seen = registry.size();
        return now - changed_at >= milliseconds{900};
    };
}

// The engines of a data centre during a rolling release: for each old engine, a new one registers and the old
// one starts to leave. Engines serve until they are gone; a new engine loads its layers one by one and serves
// once it holds all of them.
class rolling_release {
public:
    explicit rolling_release(plan_rule rule) : may_plan(std::move(rule))
    {
        const std::vector<registered_target> empty = mixed_engines("n");
        this->engines = placed(empty, plan_layers(this->profile, empty));
        this->may_plan(registry_of(this->engines), time_point{0});
    }

    // The time during which some layer had no engine, so that no request could be served.
    milliseconds uncovered_time()
    {
        milliseconds uncovered{0};
        for (time_point now{10'000}; now < time_point{25'000}; now = now + time_step) {
            this->replace_next(now);
            this->finish_loads(now);
            if (now.count % plan_interval.count == 0) {
                this->plan(now);
            }
            uncovered = uncovered + (this->is_covered() ? milliseconds{0} : time_step);
        }
        return uncovered;
    }

private:
    void replace_next(time_point now)
    {
        const milliseconds passed = now - time_point{10'000};
        std::erase_if(this->engines, [&](const registered_target& engine) {
            return engine.leaving && now >= this->gone_at.at(engine.id);
        });
        const bool is_due = passed < release_duration && passed.count % arrival_interval.count == 0;
        const auto old = std::ranges::find_if(this->engines, [](const registered_target& engine) {
            return engine.started == incarnation{1} && !engine.leaving;
        });
        if (!is_due || old == this->engines.end()) {
            return;
        }
        old->leaving = true;
        this->gone_at[old->id] = now + drain_time;
        registered_target replacement = engine_of("new-" + old->id.value, old->kind, "n");
        replacement.started = {2};
        this->engines.push_back(replacement);
    }

    void plan(time_point now)
    {
        if (!this->may_plan(registry_of(this->engines), now)) {
            return;
        }
        std::vector<registered_target> assumed = this->engines;
        for (registered_target& engine : assumed) {
            const auto load = this->loads.find(engine.id);
            engine.layers = load == this->loads.end() ? engine.layers : load->second.layers;
        }
        for (const auto& [id, layers] : plan_layers(this->profile, assumed)) {
            const milliseconds takes = this->profile.load_time * layers.size() / this->profile.layers;
            this->loads[id] = {layers, now + takes};
            std::ranges::find(this->engines, id, &registered_target::id)->layers = {};
        }
    }

    void finish_loads(time_point now)
    {
        std::erase_if(this->loads, [&](const auto& load) {
            const auto engine = std::ranges::find(this->engines, load.first, &registered_target::id);
            if (engine != this->engines.end() && now >= load.second.until) {
                engine->layers = load.second.layers;
            }
            return now >= load.second.until;
        });
    }

    [[nodiscard]] bool is_covered() const
    {
        for (std::int64_t layer = 0; layer < this->profile.layers; ++layer) {
            if (std::ranges::none_of(this->engines, [layer](const registered_target& engine) {
                    return engine.layers.begin <= layer && layer < engine.layers.end;
                })) {
                return false;
            }
        }
        return true;
    }

    struct load {
        held_layers layers;
        time_point until;
    };

    engine_profile profile = mixed_profile();
    plan_rule may_plan;
    std::vector<registered_target> engines;
    std::map<target_id, time_point> gone_at;
    std::map<target_id, load> loads;
};

// Engines that register in waves before callers are served. After each wave a plan is made, and it is carried
// out before the next wave.
class waves_of_engines {
public:
    //! Registers a fraction of the engines that have not registered yet, of all kinds and data centres, and
    //! plans for all registered ones.
    void add(double share, bool always_replans)
    {
        const auto wanted = static_cast<std::size_t>(share * static_cast<double>(this->waiting.size()));
        for (std::size_t i = 0; i < wanted && !this->waiting.empty(); ++i) {
            this->engines.push_back(this->waiting.back());
            this->waiting.pop_back();
        }
        std::vector<registered_target> assumed = this->engines;
        if (always_replans || needs_full_replan(assumed)) {
            for (registered_target& engine : assumed) {
                engine.layers = {};
            }
        }
        const layer_placement plan = plan_layers(this->profile, assumed);
        for (registered_target& engine : this->engines) {
            const auto layers = plan.find(engine.id);
            if (layers != plan.end() && layers->second != engine.layers) {
                ++this->orders;
                engine.layers = layers->second;
            }
        }
    }

    [[nodiscard]] double tokens_per_second() const
    {
        return find_placement_bound(this->profile, this->engines).tokens_per_second;
    }

    [[nodiscard]] std::size_t size() const { return this->engines.size(); }

    std::size_t orders = 0;

private:
    // Engines of all kinds and data centres in random order.
    static std::vector<registered_target> shuffled_engines()
    {
        std::vector<registered_target> all;
        for (const char* data_centre : {"n", "m", "s", "w"}) {
            std::ranges::copy(mixed_engines(data_centre), std::back_inserter(all));
        }
        std::mt19937_64 random(7);
        std::ranges::shuffle(all, random);
        return all;
    }

    engine_profile profile = mixed_profile();
    std::vector<registered_target> waiting = shuffled_engines();
    std::vector<registered_target> engines;
};

waves_of_engines after_waves(const std::vector<double>& shares, bool always_replans)
{
    waves_of_engines waves;
    for (const double share : shares) {
        waves.add(share, always_replans);
    }
    waves.add(1, always_replans);
    return waves;
}

} // namespace

// Guards against a new plan for all engines, which orders many of them to load other layers, when some of
// thousands of engines register seconds after the others.
TEST_CASE("engines that register after most others are added to the plan instead of planning for all again")
{
    const waves_of_engines by_rule = after_waves({0.7, 0.4, 0.5}, false);
    const waves_of_engines by_baseline = after_waves({0.7, 0.4, 0.5}, true);
    MESSAGE("orders ", by_rule.orders, ", with a full plan each time ", by_baseline.orders);
    CHECK(by_rule.orders <= by_rule.size() * 5 / 4);
    CHECK(by_baseline.orders > by_rule.size() * 5 / 4);
    CHECK(by_rule.tokens_per_second() >= 0.9 * by_baseline.tokens_per_second());
}

TEST_CASE("a plan that was made for a few engines is replaced when most engines have registered")
{
    const waves_of_engines by_rule = after_waves({0.15}, false);
    const waves_of_engines at_once = after_waves({}, false);
    CHECK(by_rule.tokens_per_second() >= 0.99 * at_once.tokens_per_second());
}

TEST_CASE("in a rolling release new engines get layers as they register, not after the last has registered")
{
    const milliseconds by_rule = rolling_release(by_arrivals()).uncovered_time();
    const milliseconds by_baseline = rolling_release(by_any_registration()).uncovered_time();
    MESSAGE("ms during which some layer had no engine: ", by_rule.count, ", by the simpler rule ",
            by_baseline.count);
    CHECK(by_rule * 2 < by_baseline);
}

TEST_CASE("before callers are served, a plan waits until no engine has registered for a while")
{
    engine_arrivals arrivals;
    std::vector<registered_target> engines;
    for (int i = 0; i < 4; ++i) {
        engines.push_back(engine_of("e" + std::to_string(i), "small", "n"));
        note_engines(arrivals, registry_of(engines), false, {10'000 + i * 500});
        CHECK_FALSE(has_settled(arrivals, {10'400 + i * 500}));
    }
    note_engines(arrivals, registry_of(engines), false, {12'300});
    CHECK_FALSE(has_settled(arrivals, {12'300}));
    CHECK(has_settled(arrivals, {12'400}));
}

TEST_CASE("engines that register with layers delay a plan, also while callers are served")
{
    engine_arrivals arrivals;
    note_engines(arrivals, registry_of({engine_with("a", "small", "n", 0, 12)}), true, {10'000});
    note_engines(arrivals,
                 registry_of({engine_with("a", "small", "n", 0, 12), engine_with("b", "small", "n", 12, 24)}),
                 true, {10'800});
    CHECK_FALSE(has_settled(arrivals, {11'600}));
    CHECK(has_settled(arrivals, {11'700}));
}

TEST_CASE("an engine that loads layers, leaves or restarts without layers does not delay a plan")
{
    engine_arrivals arrivals;
    registered_target engine = engine_of("a", "small", "n");
    note_engines(arrivals, registry_of({engine}), true, {10'000});
    CHECK(has_settled(arrivals, {10'000}));
    engine.layers = {0, 12};
    note_engines(arrivals, registry_of({engine}), true, {10'100});
    CHECK(has_settled(arrivals, {10'100}));
    engine.started = {2};
    engine.layers = {};
    note_engines(arrivals, registry_of({engine}), true, {10'200});
    CHECK(has_settled(arrivals, {10'200}));
    note_engines(arrivals, {}, true, {10'300});
    CHECK(has_settled(arrivals, {10'300}));
}
