#include "support/order_simulation.hpp"

#include <algorithm>

namespace dandelionstep::testing {
namespace {

constexpr std::int64_t write_timeout = 1000;
constexpr std::int64_t call_timeout = 3000;
constexpr std::int64_t longest_pause = 20'000;
constexpr std::int64_t latest_start = 15'000;
constexpr std::int64_t horizon = 8'000'000;

order_record first_record(std::size_t attempt, std::size_t daemon)
{
    order_record record;
    record.organisation = organisation_id("makers");
    record.service = service_id("order-desk");
    record.key = order_key("lye-1");
    record.nonce = "nonce-" + std::to_string(attempt);
    record.holder = vm_id("vm" + std::to_string(daemon));
    record.body_sha256 = "body";
    return record;
}

std::optional<target> any_target(const std::set<target_id>& excluded)
{
    for (const char* name : {"desk0", "desk1", "desk2"}) {
        if (!excluded.contains(target_id(name))) {
            target found;
            found.id = target_id(name);
            return found;
        }
    }
    return std::nullopt;
}

} // namespace

order_simulation::order_simulation(const simulation_plan& plan)
    : plan(plan), random(plan.seed), dead(plan.daemons + 1, false), paused_until(plan.daemons + 1, 0)
{
    this->attempts.resize(plan.attempts);
    for (std::size_t i = 0; i < plan.attempts; ++i) {
        simulated_attempt& attempt = this->attempts[i];
        attempt.daemon = static_cast<std::size_t>(this->draw(static_cast<std::int64_t>(plan.daemons)));
        attempt.state.record = first_record(i, attempt.daemon);
        // Half of the repeats come at once, the others later.
        const std::int64_t start = this->draw(2) == 0 ? this->draw(20) : this->draw(latest_start);
        this->on_daemon(attempt.daemon, start, [this, i] { this->handle(i, order_started{}); });
    }
    this->schedule_faults();
    if (plan.operator_settles) {
        this->schedule_settlements();
    }
}

// The operator's own daemon, the last one, never fails.
void order_simulation::schedule_settlements()
{
    for (int i = 0; i < 4; ++i) {
        const auto settlement = std::make_shared<settlement_state>();
        settlement->request.ran = this->draw(2) == 0;
        settlement->request.note = "assumed";
        settlement->request.min_age = {5000};
        this->after(5000 + this->draw(30'000),
                    [this, settlement] { this->handle(settlement, settlement_started{}); });
    }
}

void order_simulation::handle(const std::shared_ptr<settlement_state>& settlement,
                              const settlement_event& event)
{
    for (const settlement_action& action : advance(*settlement, event, wall_time{this->now})) {
        if (std::holds_alternative<read_order>(action)) {
            this->after(1 + this->draw(20), [this, settlement] {
                this->handle(settlement,
                             order_event{order_read{.failed = false, .current = this->table.row}});
            });
        } else if (const auto* write = std::get_if<write_order>(&action)) {
            this->write(this->plan.daemons, write->expected, write->record,
                        [this, settlement](const order_event& answer) { this->handle(settlement, answer); });
        }
    }
}

void order_simulation::schedule_faults()
{
    for (std::size_t daemon = 0; daemon < this->plan.daemons; ++daemon) {
        for (std::int64_t pauses = this->draw(4); pauses > 0; --pauses) {
            this->after(this->draw(2) == 0 ? this->draw(200) : this->draw(latest_start), [this, daemon] {
                this->paused_until[daemon] =
                    std::max(this->paused_until[daemon], this->now + this->draw(longest_pause));
            });
        }
        if (this->draw(4) == 0) {
            this->after(this->draw(2) == 0 ? this->draw(200) : this->draw(latest_start),
                        [this, daemon] { this->dead[daemon] = true; });
        }
    }
}

void order_simulation::run()
{
    while (!this->events.empty() && this->events.top().at <= horizon) {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.run();
    }
}

std::int64_t order_simulation::executions() const
{
    std::int64_t sum = 0;
    for (const simulated_attempt& attempt : this->attempts) {
        sum += attempt.executions;
    }
    return sum;
}

void order_simulation::after(std::int64_t delay, std::function<void()> run)
{
    this->events.push({this->now + delay, this->numbered++, std::move(run)});
}

void order_simulation::on_daemon(std::size_t daemon, std::int64_t delay, std::function<void()> run)
{
    this->after(delay, [this, daemon, run = std::move(run)]() mutable {
        if (this->dead[daemon]) {
            return;
        }
        if (this->paused_until[daemon] > this->now) {
            this->on_daemon(daemon, this->paused_until[daemon] - this->now, std::move(run));
            return;
        }
        run();
    });
}

void order_simulation::handle(std::size_t attempt, const order_event& event)
{
    simulated_attempt& self = this->attempts[attempt];
    const std::vector<order_action> actions =
        this->plan.naive ? this->decide_naively(self, event) : this->decide(self, event);
    for (const order_action& action : actions) {
        std::visit([&](const auto& each) { this->perform(attempt, each); }, action);
    }
}

std::vector<order_action> order_simulation::decide(simulated_attempt& attempt, const order_event& event)
{
    // Civil clocks of the daemons differ by up to a second.
    const std::int64_t skew = static_cast<std::int64_t>(attempt.daemon) * 500;
    return advance(attempt.state, event, any_target, {time_point{this->now}, wall_time{this->now + skew}});
}

// The naive twin: looks whether an answer is kept, else sends and keeps the answer afterwards.
std::vector<order_action> order_simulation::decide_naively(simulated_attempt& attempt,
                                                           const order_event& event)
{
    order_state& state = attempt.state;
    if (state.waiting == order_wait::finished) {
        return {};
    }
    if (std::holds_alternative<order_started>(event)) {
        state.waiting = order_wait::claim_read_back;
        return {read_order{}};
    }
    if (const auto* read = std::get_if<order_read>(&event)) {
        if (read->current && read->current->record.phase == order_phase::done) {
            state.waiting = order_wait::finished;
            return {answer_order{read->current->record.answer, true}};
        }
        state.waiting = order_wait::target;
        return {send_order{*any_target({})}};
    }
    state.waiting = order_wait::finished;
    if (const auto* answered = std::get_if<target_answered>(&event)) {
        order_record done = state.record;
        done.phase = order_phase::done;
        return {answer_order{answered->answer, false}, record_answer{row_version{0}, done}};
    }
    return {refuse_order{execution_tracker{}.refuse(error_code::target_failed, "", {})}};
}

void order_simulation::write(std::size_t daemon, row_version expected, const order_record& record,
                             const std::function<void(const order_event&)>& done)
{
    const std::int64_t way = 1 + this->draw(20);
    const auto execute = [this, expected, record] { return this->table.execute(expected, record); };
    const std::int64_t fate = this->draw(10);
    if (fate == 0) {
        this->on_daemon(daemon, way, [done] { done(write_refused{}); });
    } else if (fate <= 3) {
        // 1: the request is lost, 2: its answer is, 3: it takes effect long after it was given up.
        if (fate == 2) {
            this->after(way, execute);
        } else if (fate == 3) {
            this->after(write_timeout + this->draw(10'000), execute);
        }
        this->on_daemon(daemon, write_timeout, [done] { done(write_outcome_unknown{}); });
    } else {
        const std::int64_t back = fate == 4 ? this->draw(write_timeout - way) : 1 + this->draw(20);
        this->after(way, [this, daemon, execute, done, back] {
            this->on_daemon(daemon, back, [done, answer = execute()] { done(answer); });
        });
    }
}

void order_simulation::perform(std::size_t attempt, const write_order& action)
{
    this->write(this->attempts[attempt].daemon, action.expected, action.record,
                [this, attempt](const order_event& answer) { this->handle(attempt, answer); });
}

void order_simulation::perform(std::size_t attempt, const read_order& /*action*/)
{
    const std::int64_t fate = this->draw(6);
    const std::size_t daemon = this->attempts[attempt].daemon;
    this->after(1 + this->draw(20), [this, attempt, daemon, fate] {
        order_read answer{.failed = fate == 0, .current = this->table.row};
        if (fate == 1 && !this->table.history.empty()) {
            const auto size = static_cast<std::int64_t>(this->table.history.size());
            answer.current = this->table.history[static_cast<std::size_t>(this->draw(size))];
        }
        this->on_daemon(daemon, 1 + this->draw(20),
                        [this, attempt, answer] { this->handle(attempt, answer); });
    });
}

void order_simulation::perform(std::size_t attempt, const send_order& action)
{
    const std::int64_t fate = this->draw(8);
    const std::size_t daemon = this->attempts[attempt].daemon;
    const std::int64_t way = 1 + this->draw(100);
    const auto execute = [this, attempt] { ++this->attempts[attempt].executions; };
    if (fate <= 1) {
        this->on_daemon(daemon, way, [this, attempt, to = action.to.id] {
            this->handle(attempt, target_did_not_run{to});
        });
        return;
    }
    if (fate <= 4) {
        // 2: it took effect and the answer is lost, 3: it was lost, 4: it takes effect long after.
        if (fate == 2) {
            this->after(way, execute);
        } else if (fate == 4) {
            this->after(call_timeout + this->draw(60'000), execute);
        }
        this->on_daemon(daemon, call_timeout,
                        [this, attempt] { this->handle(attempt, target_outcome_unknown{}); });
        return;
    }
    this->after(way, [this, attempt, daemon, execute] {
        execute();
        this->on_daemon(daemon, 1 + this->draw(100), [this, attempt] {
            this->handle(attempt, target_answered{{200, "text", "ok"}});
        });
    });
}

void order_simulation::perform(std::size_t attempt, const answer_order& action)
{
    ++this->attempts[attempt].answers;
    this->attempts[attempt].told = outcome::completed;
    this->attempts[attempt].repeated = action.repeated;
}

void order_simulation::perform(std::size_t attempt, const refuse_order& action)
{
    ++this->attempts[attempt].answers;
    this->attempts[attempt].told = action.why.result;
}

void order_simulation::perform(std::size_t attempt, const release_order& action)
{
    this->write_in_background(this->attempts[attempt].daemon, {action.expected, action.record});
}

void order_simulation::perform(std::size_t attempt, const record_answer& action)
{
    this->write_in_background(this->attempts[attempt].daemon, {action.expected, action.record});
}

void order_simulation::write_in_background(std::size_t daemon, const background_write& pending)
{
    this->write(daemon, pending.expected, pending.record, [this, daemon, pending](const order_event& answer) {
        background_write next = pending;
        const background_step step = advance(next, answer);
        if (step.what == background_step::kind::retry) {
            this->on_daemon(daemon, step.delay.count,
                            [this, daemon, next] { this->write_in_background(daemon, next); });
        }
    });
}

} // namespace dandelionstep::testing
