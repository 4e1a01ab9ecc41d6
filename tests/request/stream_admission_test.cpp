#include "request/stream_admission.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace dandelionstep;

namespace {

// Replays a load without a network: daemons with a gate each send streams to engines whose KV cache is
// bounded and whose steps slow down with the number of running streams.
constexpr std::int64_t tick_ms = 10;
constexpr std::int64_t report_ms = 1'000;
constexpr std::int64_t poll_ms = 100;
constexpr std::int64_t window_ms = 2'000;
constexpr std::size_t daemon_count = 20;
constexpr std::size_t engine_count = 36;
constexpr double streams_per_engine = 34;
constexpr double mean_tokens = 1'150;
constexpr double engine_tokens = streams_per_engine * mean_tokens;
// As in stream_gate.cpp.
constexpr double kv_cache_scale = 0.92;
constexpr double steps_per_event = 8;
constexpr double prefill_tokens_per_ms = 50;
// Most of an engine's time that prefills take while it decodes.
constexpr double prefill_share = 0.3;
// Of the KV cache; up to this load over 97 % of the streams are in time without admission.
constexpr double full_load = 0.8;
constexpr int max_refusals = 3;
constexpr milliseconds gap_objective{250};
constexpr std::size_t organisation_count = 5;
// The last organisation sends so many times what each other one does.
constexpr double greed = 3;

struct kind {
    int priority = 0;
    double share = 0;
    double prompt = 0;
    double events = 0;
    milliseconds latency_objective{500};
    double value_in_time = 0;
    double value_late = 0;
};

struct stream {
    admission_request request;
    std::size_t kind = 0;
    std::size_t daemon = 0;
    double prompt = 0;
    double events = 0;
    bool is_large = false;
    time_point asked;
    std::size_t engine = 0;
    double prefill_left = 0;
    double done = 0;
    time_point last_event;
    bool is_late = false;
    int refusals = 0;
    bool came_back = false;

    [[nodiscard]] double tokens() const { return this->prompt + this->events * steps_per_event; }
    [[nodiscard]] double held() const { return this->prompt + this->done * steps_per_event; }
};

struct tally {
    double asked = 0;
    double in_time = 0;
    double late = 0;
    [[nodiscard]] double share_in_time() const { return this->asked > 0 ? this->in_time / this->asked : 1; }
    [[nodiscard]] double share_served() const
    {
        return this->asked > 0 ? (this->in_time + this->late) / this->asked : 1;
    }
};

struct outcome {
    std::map<std::int64_t, std::map<std::size_t, tally>> windows;
    std::map<std::size_t, tally> kinds;
    std::map<organisation_id, tally> organisations;
    tally all;
    tally large;
    double value = 0;
    double waits = 0;
    double refusals = 0;
    double preemptions = 0;
};

struct engine {
    std::vector<stream> running;
    std::deque<stream> preempted;
    bool is_lost = false;

    [[nodiscard]] double held() const
    {
        double tokens = 0;
        for (const stream& one : this->running) {
            tokens += one.held();
        }
        return tokens;
    }
    [[nodiscard]] bool takes(const stream& one) const
    {
        return !this->is_lost && this->preempted.empty() && this->held() + one.held() <= engine_tokens;
    }
};

double gap_ms(double running)
{
    return steps_per_event * (8 + 0.4 * running);
}

struct load_plan {
    std::vector<kind> kinds{{0, 143, 800, 43, {500}, 2.7, 0.27},
                            {1, 79.4, 714, 63, {500}, 1.5, 0.38},
                            {2, 49, 800, 63, {1'000}, 0.81, 0.3}};
    //! Of the capacity, one phase each.
    std::vector<double> loads{1.0, 1.3, 1.7, 1.0};
    std::int64_t phase_ms = 12'000;
    //! When a third of the engines is lost; never if negative.
    std::int64_t loss_at = 38'000;
    bool admits = true;
    std::uint64_t seed = 1;
};

class replay {
public:
    explicit replay(load_plan plan_in) : plan(std::move(plan_in)), random(this->plan.seed) {}

    outcome run()
    {
        const auto end = static_cast<std::int64_t>(this->plan.loads.size()) * this->plan.phase_ms;
        constexpr std::int64_t rest = 12'000;
        for (this->now = {0}; this->now.count < end + rest; this->now.count += tick_ms) {
            if (this->now.count == this->plan.loss_at) {
                this->lose_engines();
            }
            if (this->now.count < end) {
                this->arrive();
            }
            this->move_on();
            for (engine& each : this->engines) {
                this->advance(each);
            }
            if (this->now.count % report_ms == 0) {
                this->reported = this->own;
            }
            for (std::size_t i = 0; this->plan.admits && i < daemon_count; ++i) {
                const std::int64_t phase = static_cast<std::int64_t>(i) * tick_ms % poll_ms;
                if (this->now.count % poll_ms == phase || next_due(this->gates[i]) <= this->now) {
                    this->poll(i);
                }
            }
        }
        return this->result;
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    std::size_t draw_index(std::size_t count)
    {
        return static_cast<std::size_t>(this->draw() * static_cast<double>(count));
    }

    void arrive()
    {
        double shares = 0;
        double life = 0;
        for (const kind& each : this->plan.kinds) {
            shares += each.share;
            life += each.share * each.events * gap_ms(streams_per_engine);
        }
        const double capacity = full_load * engine_count * streams_per_engine / (life / shares);
        const double load = this->plan.loads[static_cast<std::size_t>(this->now.count / this->plan.phase_ms)];
        for (std::size_t i = 0; i < this->plan.kinds.size(); ++i) {
            const double mean = capacity * load * this->plan.kinds[i].share / shares * tick_ms;
            for (int n = std::poisson_distribution<int>(mean)(this->random); n > 0; --n) {
                this->take(this->new_stream(i));
            }
        }
    }

    stream new_stream(std::size_t i)
    {
        const kind& each = this->plan.kinds[i];
        stream one;
        one.kind = i;
        one.is_large = this->draw() < 0.1;
        one.prompt = each.prompt * (one.is_large ? 2.8 : 0.8);
        one.events = std::round(each.events * (one.is_large ? 2.3 : 0.85) * (0.7 + 0.6 * this->draw()));
        const auto organisation = static_cast<std::size_t>(this->draw() * (organisation_count - 1 + greed));
        one.request.organisation =
            organisation_id{std::to_string(std::min(organisation, organisation_count - 1))};
        one.request.priority = each.priority;
        one.request.cost = one.tokens() / mean_tokens;
        one.request.latency_objective = each.latency_objective;
        one.request.gap_objective = gap_objective;
        one.asked = this->now;
        this->count(one, &tally::asked);
        return one;
    }

    void count(const stream& one, double tally::*what)
    {
        for (tally* each : {&this->result.all, &this->result.kinds[one.kind],
                            &this->result.windows[one.asked.count / window_ms][one.kind],
                            &this->result.organisations[one.request.organisation]}) {
            each->*what += 1;
        }
        this->result.large.*what += one.is_large ? 1 : 0;
    }

    void take(stream one)
    {
        one.daemon = this->draw_index(daemon_count);
        one.request.id = ++this->last_id;
        one.request.began = this->now;
        one.request.leaves_at = leaving_time(this->now, one.request.latency_objective, gap_objective);
        stream_admission& gate = this->gates[one.daemon];
        admission_decision decision;
        if (this->plan.admits) {
            note_arrival(gate, one.request, this->now);
            decision = waits_behind_others(gate, one.request, this->now)
                           ? decide_wait(gate, one.request, admission_reason::others_wait, this->now)
                           : decide_arrival(gate, one.request, this->path_for(one), this->draw(), this->now);
        }
        if (decision.action == admission_action::send) {
            this->send(std::move(one));
        } else if (decision.action == admission_action::wait) {
            this->enqueue(std::move(one));
        } else {
            this->refuse(std::move(one), decision.retry_after);
        }
    }

    void enqueue(stream one)
    {
        ++this->result.waits;
        REQUIRE_FALSE(dandelionstep::enqueue(this->gates[one.daemon], one.request, {}));
        const std::uint64_t id = one.request.id;
        this->queued.emplace(id, std::move(one));
    }

    stream dequeue(std::size_t daemon, std::uint64_t id)
    {
        dandelionstep::dequeue(this->gates[daemon], id);
        return std::move(this->queued.extract(id).mapped());
    }

    void poll(std::size_t daemon)
    {
        stream_admission& gate = this->gates[daemon];
        for (const admission_refusal& each : overdue(gate, this->now)) {
            this->refuse(this->dequeue(daemon, each.id), each.decision.retry_after);
        }
        while (const admission_request* first = first_waiting(gate, this->now)) {
            const admission_path path = this->path_for(this->queued.at(first->id));
            if (decide_first(gate, *first, path, this->draw(), this->now).action != admission_action::send) {
                return;
            }
            this->send(this->dequeue(daemon, first->id));
        }
    }

    // A daemon knows its own use now, and that of the others as of the last report.
    double known_use(std::size_t daemon, std::size_t at) const
    {
        double use = this->own[daemon][at];
        for (std::size_t other = 0; other < daemon_count; ++other) {
            use += other == daemon ? 0 : this->reported[other][at];
        }
        return use;
    }

    // The less used of two engines.
    std::size_t choose(const stream& one, const std::vector<std::size_t>& excluded)
    {
        std::size_t best = engine_count;
        for (int draws = 0; draws < 2;) {
            const std::size_t at = this->draw_index(engine_count);
            if (!this->engines[at].is_lost && std::ranges::find(excluded, at) == excluded.end()) {
                ++draws;
                best = best == engine_count ||
                               this->known_use(one.daemon, at) < this->known_use(one.daemon, best)
                           ? at
                           : best;
            }
        }
        return best;
    }

    admission_path path_for(const stream& one)
    {
        const double use = this->known_use(one.daemon, this->choose(one, {}));
        const double gap = gap_ms(use / mean_tokens + 1);
        return {true,
                kv_cache_scale * (use + one.tokens()) / engine_tokens,
                kv_cache_scale * std::max(0.0, one.tokens() - mean_tokens) / engine_tokens,
                {static_cast<std::int64_t>(one.prompt / prefill_tokens_per_ms + gap)},
                {static_cast<std::int64_t>(gap)}};
    }

    void send(stream one)
    {
        stream_admission& gate = this->gates[one.daemon];
        note_sent(gate, one.request, this->now);
        std::vector<std::size_t> excluded;
        for (;;) {
            const std::size_t to = this->choose(one, excluded);
            if (this->engines[to].takes(one)) {
                one.last_event = one.request.began;
                this->begin(std::move(one), to);
                return;
            }
            excluded.push_back(to);
            if (++one.refusals > max_refusals || this->retries >= 0.2 * this->result.all.asked + 300) {
                note_refused(gate, one.request);
                this->refuse(std::move(one), {700});
                return;
            }
            ++this->retries;
            if (this->plan.admits) {
                note_refused(gate, one.request);
                one.request.not_due_before = this->now + milliseconds{poll_ms};
                this->enqueue(std::move(one));
                return;
            }
        }
    }

    void begin(stream one, std::size_t at)
    {
        this->own[one.daemon][at] += one.tokens();
        one.engine = at;
        one.prefill_left = one.held();
        this->engines[at].running.push_back(std::move(one));
    }

    void release(const stream& one)
    {
        this->own[one.daemon][one.engine] -= one.tokens();
        note_ended(this->gates[one.daemon], one.request);
    }

    // Prefills, in the order of arrival, get a part of the time; decoding gets the rest.
    void advance(engine& at)
    {
        double prefill_ms = tick_ms * prefill_share;
        for (stream& one : at.running) {
            const double read = std::min(prefill_ms * prefill_tokens_per_ms, one.prefill_left);
            one.prefill_left -= read;
            prefill_ms -= read / prefill_tokens_per_ms;
        }
        const double events =
            (tick_ms * (1 - prefill_share) + prefill_ms) / gap_ms(static_cast<double>(at.running.size()));
        for (stream& one : at.running) {
            const double before = std::floor(one.done);
            one.done += one.prefill_left > 0 ? 0 : events;
            if (std::floor(one.done) > before) {
                const milliseconds longest = before < 1 ? one.request.latency_objective : gap_objective;
                one.is_late = one.is_late || this->now - one.last_event > longest;
                one.last_event = this->now;
            }
        }
        std::erase_if(at.running, [this](const stream& one) { return this->has_ended(one); });
        std::erase_if(at.preempted, [this](const stream& one) { return this->has_ended(one); });
        this->preempt(at);
    }

    bool has_ended(const stream& one)
    {
        const bool is_done = one.done >= one.events;
        const bool has_left = this->now - one.last_event > one.request.leaves_at - one.request.began;
        if (!is_done && !has_left) {
            return false;
        }
        this->release(one);
        if (is_done) {
            const kind& each = this->plan.kinds[one.kind];
            this->result.value += one.is_late ? each.value_late : each.value_in_time;
            this->count(one, one.is_late ? &tally::late : &tally::in_time);
        }
        return true;
    }

    // The newest stream gives up its KV cache, and its prefill is repeated once there is room.
    void preempt(engine& at)
    {
        while (at.held() > engine_tokens) {
            ++this->result.preemptions;
            at.preempted.push_back(std::move(at.running.back()));
            at.running.pop_back();
        }
        while (!at.preempted.empty() && at.held() + at.preempted.front().held() <= 0.95 * engine_tokens) {
            at.running.push_back(std::move(at.preempted.front()));
            at.running.back().prefill_left = at.running.back().held();
            at.preempted.pop_front();
        }
    }

    void lose_engines()
    {
        for (std::size_t i = 0; i < engine_count / 3; ++i) {
            engine lost = std::exchange(this->engines[i], {{}, {}, true});
            std::ranges::move(lost.running, std::back_inserter(this->moving));
            std::ranges::move(lost.preempted, std::back_inserter(this->moving));
        }
        for (const stream& one : this->moving) {
            this->release(one);
        }
    }

    // Streams that ran don't wait at a gate. Refused callers come back once.
    void move_on()
    {
        std::erase_if(this->moving, [this](stream& one) {
            const std::size_t to = this->choose(one, {});
            const bool can_go = this->engines[to].takes(one);
            if (can_go) {
                note_sent(this->gates[one.daemon], one.request, this->now);
                this->begin(one, to);
            }
            return can_go;
        });
        while (!this->returning.empty() && this->returning.begin()->first <= this->now) {
            this->take(std::move(this->returning.extract(this->returning.begin()).mapped()));
        }
    }

    void refuse(stream one, milliseconds after)
    {
        ++this->result.refusals;
        if (!std::exchange(one.came_back, true)) {
            one.refusals = 0;
            this->returning.emplace(this->now + after, std::move(one));
        }
    }

    load_plan plan;
    std::mt19937_64 random;
    time_point now;
    std::uint64_t last_id = 0;
    double retries = 0;
    std::vector<stream_admission> gates{daemon_count};
    std::map<std::uint64_t, stream> queued;
    std::vector<std::vector<double>> own{daemon_count, std::vector<double>(engine_count)};
    std::vector<std::vector<double>> reported = this->own;
    std::vector<engine> engines{engine_count};
    std::vector<stream> moving;
    std::multimap<time_point, stream> returning;
    outcome result;
};

std::string summary(const outcome& got)
{
    std::string text;
    for (const auto& [i, each] : got.kinds) {
        text += " " + std::to_string(each.share_in_time()) + "/" + std::to_string(each.share_served());
    }
    return text + " all " + std::to_string(got.all.share_in_time()) + "/" +
           std::to_string(got.all.share_served()) + " large " + std::to_string(got.large.share_served()) +
           " value " + std::to_string(got.value) + " refusals " + std::to_string(got.refusals) +
           " preemptions " + std::to_string(got.preemptions) + " waits " + std::to_string(got.waits);
}

// Where more than a tenth of all streams is late, the most urgent kind is in time as often as the least
// urgent.
void check_order(const outcome& got)
{
    for (const auto& [window, kinds] : got.windows) {
        double asked = 0;
        double late = 0;
        for (const auto& [i, each] : kinds) {
            asked += each.asked;
            late += each.asked - each.in_time;
        }
        if (late > asked / 10) {
            const std::int64_t began = window * window_ms;
            INFO("window that began at ", began, " ms");
            CHECK(kinds.at(0).share_in_time() >= kinds.at(2).share_in_time());
        }
    }
}

// No size, organisation or kind is starved.
void check_fairness(const outcome& got)
{
    const double served = got.all.share_served();
    CHECK(got.large.share_served() >= served / 2);
    for (const auto& [organisation, each] : got.organisations) {
        CHECK(each.share_served() >= served / 4);
    }
    for (const auto& [i, each] : got.kinds) {
        CHECK(each.share_served() >= served / 4);
    }
}

} // namespace

// Without admission all kinds are late together when the load exceeds the capacity.
TEST_CASE("under overload and a loss of engines the most urgent streams stay in time")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        load_plan plan;
        plan.seed = seed;
        const outcome with = replay(plan).run();
        plan.admits = false;
        const outcome without = replay(plan).run();
        MESSAGE("seed " << seed << ", with admission" << summary(with));
        MESSAGE("seed " << seed << ", without" << summary(without));
        CHECK(with.kinds.at(0).share_in_time() >= 0.85);
        CHECK(with.value > without.value);
        check_order(with);
        check_fairness(with);
    }
}

// With one priority nothing can yield: sending into full engines would make all late.
TEST_CASE("streams of one priority are in time more often with admission")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        load_plan plan;
        plan.seed = seed;
        for (kind& each : plan.kinds) {
            each.priority = 1;
        }
        const outcome with = replay(plan).run();
        plan.admits = false;
        const outcome without = replay(plan).run();
        MESSAGE("seed " << seed << ", with admission" << summary(with));
        MESSAGE("seed " << seed << ", without" << summary(without));
        CHECK(with.all.in_time > without.all.in_time);
        check_fairness(with);
    }
}

// A gate that holds streams while there is room costs callers time for nothing.
TEST_CASE("at moderate load no stream waits or is refused")
{
    load_plan plan;
    plan.loads = {0.75};
    plan.phase_ms = 30'000;
    plan.loss_at = -1;
    const outcome with = replay(plan).run();
    MESSAGE(summary(with));
    CHECK(with.waits == 0);
    CHECK(with.refusals == 0);
}
