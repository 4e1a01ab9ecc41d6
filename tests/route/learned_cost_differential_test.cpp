#include "absl/strings/str_cat.h"
#include "request/cost_model.hpp"
#include "route/local_path.hpp"
#include "route/moving_weight.hpp"
#include "route/path_outlook.hpp"
#include "target/remaining_work.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;

namespace {

constexpr int daemon_count = 8;
constexpr int engine_count = 16;
constexpr std::int64_t tick_ms = 10;
constexpr std::int64_t run_ms = 20'000;
constexpr std::int64_t report_interval_ms = 1'000;
constexpr std::int64_t pause_ms = 300;
constexpr double gap_objective_ms = 250;
constexpr double latency_objective_ms = 500;
constexpr std::int64_t most_tokens = 600;

// How daemons estimate requests; without the model, as they do without load control.
struct estimator {
    bool uses_model = false;
    //! Factor on the lengths that the model learns; it learns none if 0.
    double learned_factor = 1;
    //! Whether streams are refused for which no path is expected to have room.
    bool refuses_early = false;
};

struct arrivals_plan {
    //! Factor between the times of the slow and the fast accelerators.
    double slow_factor = 1;
    double per_second = 0;
    bool has_hints = true;
};

struct stream {
    std::size_t daemon = 0;
    answer_query query;
    double prompt = 0;
    double length = 0;
    std::vector<path_part> path;
    double expected = 0;
    double prefill_left_ms = 0;
    double generated = 0;
    //! Last event, or the arrival before the first one.
    std::int64_t event_at = 0;
    bool has_events = false;
    bool late = false;
    bool preempted = false;
};

// What callers got, and engines had to refuse or to preempt.
struct outcome {
    double in_time = 0;
    double refused = 0;
    double rejected = 0;
    double preempted = 0;
    double all = 0;
};

engine_profile profile_of(const arrivals_plan& plan)
{
    engine_profile profile;
    profile.layers = 80;
    profile.layer_mb = 10;
    profile.kv_cache_bytes_per_token = 80'000;
    profile.step_ms = 10;
    profile.step_ms_per_request = 0.4;
    profile.step_ms_per_context_k = 0.3;
    profile.prefill_tokens_per_ms = 20;
    profile.steps_per_event = 4;
    profile.mean_prompt_tokens = 800;
    profile.mean_answer_tokens = 150;
    profile.kinds = {{"fast", {700, 1, 1}}, {"slow", {700, plan.slow_factor, plan.slow_factor}}};
    return profile;
}

// Daemons that send streams to engines and know each other's use as of the last report.
class simulation {
public:
    simulation(const arrivals_plan& plan_in, const estimator& how_in, unsigned seed)
        : plan(plan_in), how(how_in), profile(profile_of(plan_in)), arrivals(seed), models(daemon_count)
    {
        for (std::int64_t i = 0; i < engine_count; ++i) {
            registered_target engine;
            engine.id = target_id(absl::StrCat("e", i));
            engine.slots = 64;
            engine.kind = i % 4 < 2 ? "fast" : "slow";
            engine.layers = {i / 4 * 20, i / 4 * 20 + 20};
            this->engines[engine.id] = engine;
        }
    }

    outcome run()
    {
        std::exponential_distribution<double> pause(this->plan.per_second / 1'000);
        double next = 0;
        for (; this->now < run_ms; this->now += tick_ms) {
            for (; next <= static_cast<double>(this->now); next += pause(this->arrivals)) {
                this->arrive();
            }
            if (this->now % report_interval_ms == 0) {
                this->reported = this->own;
            }
            this->advance();
        }
        return this->result;
    }

private:
    double log_normal(double median, double spread)
    {
        return median * std::exp(spread * std::normal_distribution<double>(0, 1)(this->arrivals));
    }

    // Two organisations whose requests look alike; the answers of one are eight times as long.
    void arrive()
    {
        stream next;
        const bool is_long = std::bernoulli_distribution(0.3)(this->arrivals);
        next.length = std::clamp(this->log_normal(is_long ? 320 : 40, 0.5), 4.0, 1.0 * most_tokens);
        next.prompt = std::clamp(this->log_normal(700, 0.5), 100.0, 2'280.0);
        next.daemon = this->arrivals() % daemon_count;
        next.query = {"ask", is_long ? "long" : "short", "", std::nullopt, most_tokens};
        const double hint = this->log_normal(next.length, 0.9);
        if (this->plan.has_hints) {
            next.query.hint = std::llround(hint);
        }
        next.event_at = this->now;
        ++this->result.all;
        constexpr int attempts = 3;
        for (int i = 0; i < attempts; ++i) {
            if (this->send(next)) {
                this->running.push_back(next);
                return;
            }
        }
        ++this->result.refused;
    }

    bool send(stream& next)
    {
        const cost_model& model = this->models[next.daemon];
        const std::int64_t tokens = this->how.uses_model
                                        ? expected_answer_tokens(model, next.query, {this->now})
                                        : stated_answer_tokens(next.query);
        next.expected = static_cast<double>(std::max<std::int64_t>(1, tokens));
        std::vector<path_candidate> candidates = this->candidates_for(next);
        path_query query;
        query.profile = &this->profile;
        if (this->how.uses_model) {
            estimate_meanwhile(candidates, next.expected);
            query.prompt_tokens = next.prompt;
            query.prefill_weight = gap_objective_ms / latency_objective_ms / this->profile.steps_per_event;
            query.free_kv_cache_share = controlled_free_kv_cache_share;
        }
        next.path = choose_layer_path(query, candidates, {gap_objective_ms / 2, 0.8});
        const request_size size{next.prompt, next.prompt + next.expected};
        if (next.path.empty() ||
            (this->how.refuses_early && outlook_of(this->profile, next.path, candidates, size).use > 1)) {
            return false;
        }
        return this->admit(next);
    }

    std::vector<path_candidate> candidates_for(const stream& next)
    {
        std::vector<path_candidate> candidates;
        for (const auto& [id, engine] : this->engines) {
            if (this->avoided_until[id] > this->now) {
                continue;
            }
            engine_use use;
            for (std::size_t daemon = 0; daemon < daemon_count; ++daemon) {
                add_use(use, (daemon == next.daemon ? this->own : this->reported)[daemon][id]);
            }
            candidates.push_back(candidate_with(this->profile, engine, use, 1));
            candidates.back().cost_factor =
                new_request_cost_factor(std::uniform_real_distribution<double>(0, 1)(this->choices));
        }
        return candidates;
    }

    bool admit(stream& next)
    {
        for (const path_part& part : next.path) {
            if (!this->has_room(part, next)) {
                this->avoided_until[part.target->id] = this->now + pause_ms;
                ++this->result.rejected;
                return false;
            }
        }
        this->book(next, 1);
        this->use(next, 1);
        next.prefill_left_ms = this->prefill_ms(next);
        return true;
    }

    [[nodiscard]] double room(const registered_target& engine) const
    {
        return kv_cache_tokens(this->profile, *find_kind(this->profile, engine.kind), engine.layers.size());
    }

    // All parts are of the same number of layers, so that tokens stand for tokens times layers.
    bool has_room(const path_part& part, const stream& one)
    {
        return this->used[part.target->id] + one.prompt + one.generated <= this->room(*part.target);
    }

    [[nodiscard]] double prefill_ms(const stream& one) const
    {
        double sum = 0;
        for (const path_part& part : one.path) {
            sum += prefill_time_ms(this->profile, *find_kind(this->profile, part.target->kind),
                                   part.layers.size(), one.prompt + one.generated);
        }
        return sum;
    }

    // What the daemon notes of the stream.
    void book(const stream& one, int sign)
    {
        for (const path_part& part : one.path) {
            engine_use& use = this->own[one.daemon][part.target->id];
            use.running += sign;
            use.token_layers += sign * (one.prompt + one.expected) * static_cast<double>(part.layers.size());
            if (this->how.uses_model) {
                use.remaining =
                    std::max(0.0, use.remaining.value_or(0) + sign * (one.expected - one.generated));
            }
        }
    }

    // What it takes of its engines.
    void use(const stream& one, int sign)
    {
        for (const path_part& part : one.path) {
            this->used[part.target->id] += sign * (one.prompt + one.generated);
            this->load[part.target->id] += sign;
        }
    }

    double token_ms(const stream& one)
    {
        double sum = 0.5 * static_cast<double>(one.path.size());
        for (const path_part& part : one.path) {
            sum += step_time_ms(this->profile, *find_kind(this->profile, part.target->kind),
                                part.layers.size(), this->load[part.target->id]);
        }
        return sum;
    }

    void advance()
    {
        for (stream& one : this->running) {
            if (one.prefill_left_ms > 0) {
                one.prefill_left_ms -= tick_ms;
            } else {
                this->generate(one);
            }
        }
        this->preempt();
        std::erase_if(this->running, [this](const stream& one) { return this->has_ended(one); });
    }

    void generate(stream& one)
    {
        const double before = one.generated;
        const double tokens = std::min(tick_ms / this->token_ms(one), one.length - before);
        this->book(one, -1);
        this->use(one, -1);
        one.generated += tokens;
        if (this->how.uses_model) {
            one.expected = static_cast<double>(
                revised_answer_tokens(std::llround(one.expected), std::llround(one.generated), most_tokens));
        }
        this->use(one, 1);
        this->book(one, 1);
        const double steps = this->profile.steps_per_event;
        if (std::floor(before / steps) == std::floor(one.generated / steps) && one.generated < one.length) {
            return;
        }
        const double objective = one.has_events ? gap_objective_ms : latency_objective_ms;
        one.late = one.late || static_cast<double>(this->now - one.event_at) > objective;
        one.has_events = true;
        one.event_at = this->now;
    }

    bool has_ended(const stream& one)
    {
        if (one.preempted || one.generated < one.length) {
            return one.preempted;
        }
        this->book(one, -1);
        this->use(one, -1);
        this->result.in_time += one.late ? 0 : 1;
        if (this->how.learned_factor > 0) {
            const double learned = std::clamp(one.length * this->how.learned_factor, 1.0, 1.0 * most_tokens);
            note_answer(this->models[one.daemon], one.query, std::llround(learned), {this->now});
        }
        return true;
    }

    // An engine without room preempts the newest of its streams, which is then late.
    void preempt()
    {
        for (const auto& [id, engine] : this->engines) {
            const auto runs_there = [&id = id](const stream& one) {
                return !one.preempted && std::ranges::any_of(one.path, [&](const path_part& part) {
                    return part.target->id == id;
                });
            };
            const auto newest = std::find_if(this->running.rbegin(), this->running.rend(), runs_there);
            if (this->used[id] > this->room(engine) && newest != this->running.rend()) {
                ++this->result.preempted;
                newest->preempted = true;
                this->book(*newest, -1);
                this->use(*newest, -1);
            }
        }
    }

    arrivals_plan plan;
    estimator how;
    engine_profile profile;
    std::mt19937 arrivals;
    std::mt19937 choices{7};
    std::int64_t now = 0;
    target_registry engines;
    std::vector<cost_model> models;
    std::map<std::size_t, engine_uses> own;
    std::map<std::size_t, engine_uses> reported;
    std::map<target_id, double> used;
    std::map<target_id, double> load;
    std::map<target_id, std::int64_t> avoided_until;
    std::deque<stream> running;
    outcome result;
};

outcome play(const arrivals_plan& plan, const estimator& how)
{
    constexpr unsigned seeds = 4;
    outcome sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const outcome one = simulation(plan, how, seed).run();
        sum.in_time += one.in_time;
        sum.refused += one.refused;
        sum.rejected += one.rejected;
        sum.preempted += one.preempted;
        sum.all += one.all;
    }
    MESSAGE("in time ", sum.in_time, " refused ", sum.refused, " rejected ", sum.rejected, " preempted ",
            sum.preempted);
    return sum;
}

} // namespace

// Engines reject a little more, as fast ones are used up to a smaller reserve.
TEST_CASE("on accelerators ten times apart, more streams are in time and none is refused for it")
{
    for (const double per_second : {12.0, 14.0, 17.0}) {
        const arrivals_plan plan{10, per_second, true};
        const outcome before = play(plan, {});
        const outcome learned = play(plan, {true});
        CHECK(learned.in_time > 1.05 * before.in_time);
        CHECK(learned.refused <= before.refused + 0.005 * before.all);
        CHECK(learned.rejected + learned.preempted <= before.rejected + before.preempted + 0.03 * before.all);
    }
}

TEST_CASE("where streams without room are refused early, fewer are refused for nothing with the model")
{
    for (const arrivals_plan& plan : {arrivals_plan{1, 28, false}, arrivals_plan{10, 14, false}}) {
        const outcome before = play(plan, {false, 1, true});
        const outcome learned = play(plan, {true, 1, true});
        CHECK(learned.in_time > 1.02 * before.in_time);
        CHECK(learned.refused < 0.8 * before.refused);
    }
}

// Single runs differ by some percent, as each choice changes those after it.
TEST_CASE("a model that knows nothing or is wrong by ten times does no worse than none")
{
    for (const arrivals_plan& plan : {arrivals_plan{10, 14, true}, arrivals_plan{10, 14, false},
                                      arrivals_plan{1, 28, true}, arrivals_plan{1, 28, false}}) {
        const outcome before = play(plan, {});
        for (const double factor : {0.0, 0.1, 10.0}) {
            const outcome wrong = play(plan, {true, factor});
            CHECK(wrong.in_time >= 0.97 * before.in_time);
            CHECK(wrong.refused + wrong.rejected + wrong.preempted <=
                  before.refused + before.rejected + before.preempted + 0.03 * before.all);
        }
    }
}
