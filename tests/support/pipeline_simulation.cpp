#include "support/pipeline_simulation.hpp"

#include "common/hash.hpp"
#include "request/admission.hpp"
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
    request_id id;
    std::string organisation;
    std::size_t daemon = 0;
    double first_token_ms = 0;
    double arrived_ms = 0;
    double last_token_ms = 0;
    std::int64_t tokens = 0;
    std::int64_t done = 0;
    //! Tokens given while the rate was measured.
    std::int64_t measured = 0;
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

double percentile_95(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::ranges::nth_element(values, at);
    return *at;
}

class simulation {
public:
    explicit simulation(const simulation_plan& plan)
        : plan(plan), index(build_route_index(plan.declared)), daemons(plan.daemons)
    {
        for (daemon_view& each : this->daemons) {
            each.admission.running_limit = 16;
        }
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
        this->result.good_tokens_per_second = static_cast<double>(this->good_tokens) * ms_per_second /
                                              (this->plan.duration_ms - this->plan.warm_up_ms);
        this->result.p95_token_gap_ms = percentile_95(this->gaps);
        this->result.p95_first_token_ms = percentile_95(this->first_tokens);
        for (const auto& [name, times] : this->first_tokens_of) {
            this->result.organisations[name].p95_first_token_ms = percentile_95(times);
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
        std::vector<simulated_organisation> all = this->plan.organisations;
        if (all.empty()) {
            all.push_back({.name = "all", .offered_tokens_per_second = this->plan.offered_tokens_per_second});
        }
        for (const simulated_organisation& each : all) {
            this->weights[each.name] = each.weight;
            this->schedule_arrivals_of(each);
        }
        for (double t = 0; this->plan.admission && t < this->plan.duration_ms + this->plan.window_ms;
             t += 10) {
            this->at(t, [this] {
                for (daemon_view& each : this->daemons) {
                    this->perform(tick(each.admission, this->now()));
                }
            });
        }
    }

    void schedule_arrivals_of(const simulated_organisation& organisation)
    {
        // A generator of its own keeps one organisation's arrivals the same beside any other.
        std::mt19937_64 own(hash_of(organisation.name, this->plan.seed));
        std::uniform_int_distribution<std::int64_t> length(this->plan.least_tokens, this->plan.most_tokens);
        const double mean_tokens = static_cast<double>(this->plan.least_tokens + this->plan.most_tokens) / 2;
        std::exponential_distribution<double> gap(organisation.offered_tokens_per_second / mean_tokens /
                                                  ms_per_second);
        const double until = std::min(organisation.until_ms, this->plan.duration_ms);
        for (double t = organisation.from_ms + gap(own); t < until; t += gap(own)) {
            const std::size_t daemon = own() % this->plan.daemons;
            const std::int64_t tokens = length(own);
            this->at(
                t, [this, daemon, tokens, name = organisation.name] { this->arrive(daemon, tokens, name); });
        }
    }

    void arrive(std::size_t daemon, std::int64_t tokens, const std::string& organisation)
    {
        auto request = std::make_shared<simulated_request>();
        request->id = request_id(std::to_string(++this->result.requests));
        request->organisation = organisation;
        request->daemon = daemon;
        request->arrived_ms = this->now_ms;
        request->tokens = tokens;
        ++this->result.organisations[organisation].requests;
        if (!this->plan.admission) {
            this->start(request);
            return;
        }
        this->waiting[request->id] = request;
        const admission_request wanted{
            .id = request->id,
            .organisation = organisation_id(organisation),
            .weight = this->weights[organisation],
            .max_in_flight = 1'000'000,
            .priority = request_priority::normal,
            .max_tokens = {this->plan.most_tokens},
            .deadline = this->now() + milliseconds{static_cast<std::int64_t>(this->plan.window_ms)}};
        this->perform(offer(this->daemons[daemon].admission, wanted, this->now()));
    }

    void perform(const admission_actions& actions)
    {
        for (const admission_action& action : actions) {
            const auto id = std::visit([](const auto& each) { return each.id; }, action);
            const request_ptr request = this->waiting.at(id);
            this->waiting.erase(id);
            if (std::holds_alternative<start_request>(action)) {
                this->start(request);
            } else {
                ++this->result.refused;
                ++this->result.organisations[request->organisation].refused;
            }
        }
    }

    void start(const request_ptr& request)
    {
        const std::size_t daemon = request->daemon;
        request->last_token_ms = this->now_ms;
        chain_query query;
        query.model = model_id("assistant");
        query.from = this->plan.declared.targets.begin()->second.data_centre;
        query.expected_tokens = {request->tokens};
        query.policy = this->plan.policy;
        query.turn = ++this->daemons[daemon].turn;
        query.seed = hash_of(request->id.value, this->plan.seed);
        const auto through = choose_chain(this->index, this->daemons[daemon].health, query, this->now());
        if (!through.ok()) {
            this->finish(request);
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
        engine.waiting.emplace_back([this, request, position] {
            const double way = this->link_ms(*request, position);
            this->after(way, [this, request, position] { this->run_hop(request, position + 1); });
        });
        this->step(engine);
    }

    // From a hop to the next, there and back.
    [[nodiscard]] double link_ms(const simulated_request& request, std::size_t position) const
    {
        if (position + 1 == request.hops.size()) {
            return 0;
        }
        const model_routes& routes = this->index.models.at(model_id("assistant"));
        const auto place_of = [&](const hop& stage) {
            return std::ranges::find(routes.data_centres, stage.data_centre) - routes.data_centres.begin();
        };
        return routes.token_link_ms[static_cast<std::size_t>(place_of(request.hops[position]))]
                                   [static_cast<std::size_t>(place_of(request.hops[position + 1]))];
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
        if (++request->done == 1) {
            request->first_token_ms = this->now_ms;
        }
        // The rate is that of the steady state, without the run's beginning and what goes on after its end.
        if (this->now_ms > this->plan.warm_up_ms && this->now_ms <= this->plan.duration_ms) {
            ++request->measured;
        }
        this->gaps.push_back(this->now_ms - request->last_token_ms);
        request->last_token_ms = this->now_ms;
        if (request->done < request->tokens) {
            this->run_hop(request, 0);
            return;
        }
        const bool in_window = this->now_ms - request->arrived_ms <= this->plan.window_ms;
        if (in_window) {
            this->good_tokens += request->measured;
            ++this->result.whole_in_window;
            ++this->result.organisations[request->organisation].whole_in_window;
            const double waited = request->first_token_ms - request->arrived_ms;
            this->first_tokens.push_back(waited);
            this->first_tokens_of[request->organisation].push_back(waited);
        }
        this->finish(request);
    }

    void finish(const request_ptr& request)
    {
        for (const hop& stage : request->hops) {
            --this->daemons[request->daemon].health[stage.target].in_flight;
            --this->engines[stage.target].held;
        }
        if (this->plan.admission) {
            this->perform(dandelionstep::finish(this->daemons[request->daemon].admission, request->id,
                                                {request->done}, request->done == request->tokens,
                                                this->now()));
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
        admission_state admission;
        std::uint64_t turn = 0;
    };

    const simulation_plan& plan;
    route_index index;
    std::vector<daemon_view> daemons;
    std::map<target_id, simulated_engine> engines;
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    double now_ms = 0;
    std::int64_t good_tokens = 0;
    std::vector<double> gaps;
    std::vector<double> first_tokens;
    std::map<std::string, std::vector<double>> first_tokens_of;
    std::map<std::string, double> weights;
    std::map<request_id, request_ptr> waiting;
    simulation_result result;
};

} // namespace

simulation_result simulate(const simulation_plan& plan)
{
    return simulation(plan).run();
}

} // namespace dandelionstep::testing
