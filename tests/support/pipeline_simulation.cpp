#include "support/pipeline_simulation.hpp"

#include "common/hash.hpp"
#include "route/route_index.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

namespace dandelionstep::testing {
namespace {

constexpr double ms_per_second = 1000;

struct simulated_request {
    std::size_t daemon = 0;
    double arrived_ms = 0;
    double last_token_ms = 0;
    std::int64_t tokens = 0;
    std::int64_t done = 0;
    bool lost = false;
    std::vector<hop> hops;
};

struct simulated_engine {
    double step_ms = 1;
    std::int64_t max_batch = 1;
    double slow_factor = 1;
    bool dead = false;
    bool reports_nothing = false;
    bool stepping = false;
    std::int64_t held = 0;
    std::deque<std::function<void()>> waiting;
};

class simulation {
public:
    explicit simulation(const simulation_plan& plan)
        : plan(plan), index(build_route_index(plan.declared)), random(plan.seed), daemons(plan.daemons)
    {
        for (const auto& [id, each] : plan.declared.targets) {
            simulated_engine& engine = this->engines[id];
            engine.step_ms = each.engine->step_ms;
            engine.max_batch =
                std::max<std::int64_t>(1, static_cast<std::int64_t>(each.engine->tokens_per_second *
                                                                    each.engine->step_ms / ms_per_second));
        }
    }

    simulation_result run()
    {
        this->schedule_arrivals();
        for (const simulated_fault& fault : this->plan.faults) {
            this->at(fault.at_ms, [this, fault] { this->begin(fault); });
        }
        for (double t = 0; t < this->plan.duration_ms; t += this->plan.report_interval_ms) {
            this->at(t, [this] { this->report_loads(); });
        }
        while (!this->events.empty()) {
            const event next = this->events.top();
            this->events.pop();
            this->now_ms = next.at_ms;
            next.run();
        }
        this->result.good_tokens_per_second =
            static_cast<double>(this->good_tokens) * ms_per_second / this->plan.duration_ms;
        std::ranges::sort(this->gaps);
        if (!this->gaps.empty()) {
            this->result.p95_token_gap_ms = this->gaps[this->gaps.size() * 95 / 100];
        }
        return this->result;
    }

private:
    struct event {
        double at_ms;
        std::uint64_t number;
        std::function<void()> run;

        friend bool operator<(const event& a, const event& b)
        {
            return std::tie(a.at_ms, a.number) > std::tie(b.at_ms, b.number);
        }
    };
    using request_ptr = std::shared_ptr<simulated_request>;

    void at(double when, std::function<void()> run)
    {
        this->events.push({when, this->event_count++, std::move(run)});
    }

    void after(double delay, std::function<void()> run) { this->at(this->now_ms + delay, std::move(run)); }

    void schedule_arrivals()
    {
        std::uniform_int_distribution<std::int64_t> length(this->plan.least_tokens, this->plan.most_tokens);
        const double mean_tokens = static_cast<double>(this->plan.least_tokens + this->plan.most_tokens) / 2;
        std::exponential_distribution<double> gap(this->plan.offered_tokens_per_second / mean_tokens /
                                                  ms_per_second);
        for (double t = gap(this->random); t < this->plan.duration_ms; t += gap(this->random)) {
            const std::size_t daemon = this->random() % this->plan.daemons;
            const std::int64_t tokens = length(this->random);
            this->at(t, [this, daemon, tokens] { this->arrive(daemon, tokens); });
        }
    }

    void arrive(std::size_t daemon, std::int64_t tokens)
    {
        auto request = std::make_shared<simulated_request>();
        request->daemon = daemon;
        request->arrived_ms = this->now_ms;
        request->last_token_ms = this->now_ms;
        request->tokens = tokens;
        ++this->result.requests;
        chain_query query;
        query.model = model_id("assistant");
        query.from = this->plan.declared.targets.begin()->second.data_centre;
        query.expected_tokens = {tokens};
        query.policy = this->plan.policy;
        query.turn = ++this->daemons[daemon].turn;
        query.seed = hash_of(std::to_string(this->result.requests), this->plan.seed);
        const auto through = choose_chain(this->index, this->daemons[daemon].health, query, this->now());
        if (!through.ok()) {
            return;
        }
        request->hops = through->hops();
        for (const hop& stage : request->hops) {
            ++this->daemons[daemon].health[stage.target].in_flight;
            ++this->result.sent[stage.target];
            simulated_engine& engine = this->engines[stage.target];
            std::int64_t& most = this->result.most_held[stage.target];
            most = std::max(most, ++engine.held);
        }
        this->run_hop(request, 0);
    }

    void run_hop(const request_ptr& request, std::size_t position)
    {
        if (position == request->hops.size()) {
            this->take_token(request);
            return;
        }
        simulated_engine& engine = this->engines[request->hops[position].target];
        if (engine.dead) {
            this->finish(request);
            return;
        }
        engine.waiting.emplace_back([this, request, position] { this->run_hop(request, position + 1); });
        this->step(engine);
    }

    void step(simulated_engine& engine)
    {
        if (engine.stepping || engine.waiting.empty()) {
            return;
        }
        engine.stepping = true;
        this->after(engine.step_ms * engine.slow_factor, [this, &engine] {
            engine.stepping = false;
            std::vector<std::function<void()>> batch;
            while (!engine.waiting.empty() && static_cast<std::int64_t>(batch.size()) < engine.max_batch) {
                batch.push_back(std::move(engine.waiting.front()));
                engine.waiting.pop_front();
            }
            this->step(engine);
            for (const auto& done : batch) {
                done();
            }
        });
    }

    void take_token(const request_ptr& request)
    {
        ++request->done;
        this->gaps.push_back(this->now_ms - request->last_token_ms);
        request->last_token_ms = this->now_ms;
        if (request->done < request->tokens) {
            this->run_hop(request, 0);
            return;
        }
        if (this->now_ms - request->arrived_ms <= this->plan.window_ms) {
            ++this->result.whole_in_window;
            this->good_tokens += request->tokens;
        }
        this->finish(request);
    }

    void finish(const request_ptr& request)
    {
        for (const hop& stage : request->hops) {
            --this->daemons[request->daemon].health[stage.target].in_flight;
            --this->engines[stage.target].held;
        }
    }

    void begin(const simulated_fault& fault)
    {
        simulated_engine& engine = this->engines.at(target_id(fault.target));
        switch (fault.what) {
        case simulated_fault::kind::dies:
            engine.dead = true;
            for (daemon_view& each : this->daemons) {
                each.health[target_id(fault.target)].ejected_until = never;
            }
            break;
        case simulated_fault::kind::slows:
            engine.slow_factor = fault.slow_factor;
            break;
        case simulated_fault::kind::reports_nothing:
            engine.reports_nothing = true;
            break;
        }
    }

    // Every daemon receives the same report, late, and corrects it by what it has sent since it was made.
    void report_loads()
    {
        std::map<target_id, std::int64_t> loads;
        for (const auto& [id, engine] : this->engines) {
            loads[id] = engine.reports_nothing ? 0 : engine.held;
        }
        std::vector<std::map<target_id, std::int64_t>> sent(this->daemons.size());
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            for (const auto& [id, state] : this->daemons[i].health) {
                sent[i][id] = state.in_flight;
            }
        }
        this->after(this->plan.report_lag_ms, [this, loads, sent] {
            for (std::size_t i = 0; i < this->daemons.size(); ++i) {
                for (const auto& [id, load] : loads) {
                    target_health& state = this->daemons[i].health[id];
                    state.reported_load = load;
                    const auto known = sent[i].find(id);
                    state.in_flight_at_report = known == sent[i].end() ? 0 : known->second;
                }
            }
        });
    }

    [[nodiscard]] time_point now() const { return {static_cast<std::int64_t>(this->now_ms)}; }

    struct daemon_view {
        health_map health;
        std::uint64_t turn = 0;
    };

    const simulation_plan& plan;
    route_index index;
    std::mt19937_64 random;
    std::vector<daemon_view> daemons;
    std::map<target_id, simulated_engine> engines;
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    double now_ms = 0;
    std::int64_t good_tokens = 0;
    std::vector<double> gaps;
    simulation_result result;
};

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

simulation_result simulate(const simulation_plan& plan)
{
    return simulation(plan).run();
}

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
