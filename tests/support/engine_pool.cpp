#include "support/engine_pool.hpp"

#include <algorithm>

namespace dandelionstep::testing {

using standins::step_callback;
using standins::step_result;
using standins::step_work;

void virtual_loop::at(time_point when, std::function<void()> run)
{
    this->waiting.push({std::max(when, this->current), ++this->scheduled, std::move(run)});
}

void virtual_loop::run_until(time_point end)
{
    while (!this->waiting.empty() && this->waiting.top().when <= end) {
        const entry next = this->waiting.top();
        this->waiting.pop();
        this->current = next.when;
        next.run();
    }
    this->current = end;
}

// An attempt's answer as its first hop streams it.
struct engine_pool::stream {
    generation_request request;
    open_attempt attempt;
    event_callback on_event;
    std::vector<std::string> tokens;
    std::int64_t length = 0;
    bool first = true;
    bool ended = false;
    time_point last_line{0};
    std::int64_t epoch = 0;

    [[nodiscard]] const target_id& first_hop() const { return this->attempt.through.hops().front().target; }
};

void engine_pool::add(const target& spec)
{
    engine& added = this->engines[spec.id];
    added.spec = spec;
    added.cache = std::make_unique<standins::engine_cache>(spec.engine->layers.begin.value,
                                                           spec.engine->layers.end.value);
}

void engine_pool::kill(const target_id& id)
{
    engine& dying = this->engines.at(id);
    dying.alive = false;
    ++dying.epoch;
    std::vector<std::function<void()>> waiting = std::move(dying.on_death);
    dying.on_death.clear();
    for (std::function<void()>& fail : waiting) {
        this->loop.after(this->latency(), std::move(fail));
    }
}

void engine_pool::restart(const target_id& id)
{
    engine& started = this->engines.at(id);
    if (!started.alive) {
        started.alive = true;
        started.frozen_until = {0};
        this->add(target(started.spec));
    }
}

void engine_pool::freeze(const target_id& id, milliseconds duration)
{
    this->engines.at(id).frozen_until = this->loop.now() + duration;
}

void engine_pool::in_process(const target_id& id, std::int64_t epoch, std::function<void()> run)
{
    engine& here = this->engines.at(id);
    if (!here.alive || here.epoch != epoch) {
        return;
    }
    if (here.frozen_until > this->loop.now()) {
        this->loop.at(here.frozen_until,
                      [this, id, epoch, run = std::move(run)] { this->in_process(id, epoch, run); });
        return;
    }
    run();
}

// Calls back exactly once: with the answer, or with a failure when the engine is or becomes dead.
void engine_pool::send_step(const step_work& work, const step_callback& done)
{
    const target_id to(string_or(work.hops.front(), "target", ""));
    const auto answered = std::make_shared<bool>(false);
    const auto once = [answered, done](const step_result& result) {
        if (!std::exchange(*answered, true)) {
            done(result);
        }
    };
    this->loop.after(this->latency(), [this, to, work, once] {
        engine& here = this->engines.at(to);
        const step_result failed{false, "", to.value, here.alive ? "hop_reset" : "hop_unreachable"};
        if (!here.alive) {
            this->loop.after(this->latency(), [once, failed] { once(failed); });
            return;
        }
        here.on_death.emplace_back([once, failed] { once(failed); });
        this->in_process(to, here.epoch, [this, to, work, once] {
            this->run_step(to, work, [this, once](const step_result& result) {
                this->loop.after(this->latency(), [once, result] { once(result); });
            });
        });
    });
}

void engine_pool::run_step(const target_id& at, const step_work& work, const step_callback& done)
{
    const std::int64_t epoch = this->engines.at(at).epoch;
    this->loop.after({1 + this->draw(10)}, [this, at, epoch, work, done] {
        this->in_process(at, epoch, [this, at, work, done] {
            engine& here = this->engines.at(at);
            if (const std::string reason = here.cache->refusal(work); !reason.empty()) {
                done({false, "", at.value, reason});
                return;
            }
            this->ledger.push_back({work.request, work.attempt, work.index, here.spec.engine->layers});
            this->hand_on(at, here.cache->run(work), done);
        });
    });
}

void engine_pool::hand_on(const target_id& at, step_work next, const step_callback& done)
{
    if (next.hops.size() <= 1) {
        done({true, standins::sample_token(next.activations.back()), "", ""});
        return;
    }
    const json own = next.hops.front();
    next.hops.erase(next.hops.begin());
    if (next.first) {
        const std::int64_t skipped = integer_or(next.hops.front(), "prefill_from", 0) - next.first_index;
        next.activations.erase(next.activations.begin(), next.activations.begin() + skipped);
        next.first_index += skipped;
    }
    const std::string name = string_or(next.hops.front(), "target", "");
    const std::int64_t epoch = this->engines.at(at).epoch;
    const auto answered = std::make_shared<bool>(false);
    const auto once = [this, at, epoch, answered, done](const step_result& result) {
        this->in_process(at, epoch, [answered, done, result] {
            if (!std::exchange(*answered, true)) {
                done(result);
            }
        });
    };
    this->send_step(next, once);
    this->loop.after({integer_or(own, next.first ? "first_wait_ms" : "wait_ms", 0)}, [once, name] {
        once({false, "", name, "hop_silent"});
    });
}

void engine_pool::open(const generation_request& request, const open_attempt& attempt,
                       event_callback on_event)
{
    const auto running = std::make_shared<stream>(
        stream{request, attempt, std::move(on_event), attempt.delivered, 0, true, false, {0}, 0});
    running->length = standins::answer_length(request.prompt, request.max_tokens.value);
    this->loop.after(this->latency(), [this, running] {
        engine& here = this->engines.at(running->first_hop());
        const attempt_number number = running->attempt.attempt;
        const target_id first = running->first_hop();
        if (!here.alive) {
            this->send_line(running, attempt_failed{number, attempt_failure::not_connected, first});
            return;
        }
        running->epoch = here.epoch;
        here.on_death.emplace_back([this, running, number, first] {
            this->send_line(running, attempt_failed{number, attempt_failure::reset, first});
        });
        this->in_process(first, running->epoch, [this, running] { this->next_token(running); });
    });
}

void engine_pool::next_token(const std::shared_ptr<stream>& running)
{
    const attempt_number number = running->attempt.attempt;
    const auto index = static_cast<std::int64_t>(running->tokens.size());
    if (running->ended) {
        return;
    }
    if (index >= running->length) {
        this->send_line(running, stream_ended{number, token_count{running->length}});
        return;
    }
    step_work step;
    step.request = running->request.id.value;
    step.attempt = number.value;
    step.index = index;
    step.first = running->first;
    step.first_index = running->first ? running->attempt.plans.front().prefill_from.value : index;
    for (std::int64_t position = step.first_index; position <= index; ++position) {
        const model_variant& variant = running->attempt.through.variant();
        step.activations.push_back(standins::embed(variant.model.value, variant.version,
                                                   running->request.prompt, running->tokens,
                                                   static_cast<std::size_t>(position)));
    }
    for (std::size_t i = 0; i < running->attempt.plans.size(); ++i) {
        const hop_plan& plan = running->attempt.plans[i];
        step.hops.push_back({{"target", running->attempt.through.hops()[i].target.value},
                             {"prefill_from", plan.prefill_from.value},
                             {"first_wait_ms", plan.first_wait.count},
                             {"wait_ms", plan.next_wait.count}});
    }
    running->first = false;
    this->run_step(running->first_hop(), step, [this, running, number, index](const step_result& result) {
        if (!result.ok) {
            this->send_line(running, attempt_failed{number, parse_attempt_failure(result.reason),
                                                    target_id(result.culprit)});
            return;
        }
        running->tokens.push_back(result.token);
        if (this->chance(this->faults.broken_streams)) {
            this->send_line(running, attempt_failed{number, attempt_failure::reset, running->first_hop()});
            return;
        }
        const token_received line{number, token_count{index}, result.token};
        if (!this->chance(this->faults.lost_lines)) {
            this->send_line(running, line);
        }
        if (this->chance(this->faults.doubled_lines)) {
            this->send_line(running, line);
        }
        this->next_token(running);
    });
}

// Lines of one stream keep their order; a late one holds up those after it.
void engine_pool::send_line(const std::shared_ptr<stream>& running, const generation_event& event)
{
    constexpr std::int64_t latest_ms = 600;
    const milliseconds delay =
        this->chance(this->faults.late_lines) ? milliseconds{this->draw(latest_ms)} : this->latency();
    running->last_line = std::max(running->last_line, this->loop.now() + delay);
    running->ended = running->ended || !std::holds_alternative<token_received>(event);
    this->loop.at(running->last_line, [running, event] { running->on_event(event); });
}

void engine_pool::cancel(const request_id& request, const cancel_attempt& attempt)
{
    for (const hop& stage : attempt.through.hops()) {
        const target_id at = stage.target;
        const std::int64_t epoch = this->engines.at(at).epoch;
        this->loop.after(this->latency(), [this, at, epoch, request, attempt] {
            this->in_process(at, epoch, [this, at, request, attempt] {
                this->engines.at(at).cache->cancel(request.value, attempt.attempt.value, attempt.keep_cache);
            });
        });
    }
}

} // namespace dandelionstep::testing
