#include "support/crash_simulation.hpp"

#include <algorithm>

namespace dandelionstep::testing {
namespace {

constexpr request_fingerprint crasher{1};
constexpr int max_attempts = 8;
constexpr std::int64_t restart_ms = 400;
constexpr std::int64_t probe_ms = 2;
constexpr std::int64_t innocent_window_ms = 4000;

} // namespace

crash_simulation::crash_simulation(const crash_plan& plan)
    : plan(plan), random(plan.seed), tables(plan.daemons), targets(plan.targets)
{
    for (std::size_t i = 0; i < plan.targets; ++i) {
        this->targets[i].id = target_id("target" + std::to_string(i));
    }
    const auto daemons = static_cast<std::int64_t>(plan.daemons);
    for (int i = 0; i < plan.innocents; ++i) {
        const request_fingerprint fingerprint{1000 + i};
        this->after(this->draw(innocent_window_ms), [this, fingerprint, daemons] {
            this->try_next(
                this->add_request(fingerprint, static_cast<std::size_t>(this->draw(daemons)), false));
        });
    }
    for (std::size_t daemon = 0; daemon < (plan.at_once ? plan.daemons : 1); ++daemon) {
        const int share = plan.at_once ? plan.repeats / static_cast<int>(plan.daemons) : plan.repeats;
        this->after(500, [this, daemon, share] { this->send_crasher(daemon, share); });
    }
}

void crash_simulation::run()
{
    while (!this->events.empty()) {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.run();
    }
}

void crash_simulation::after(std::int64_t delay, std::function<void()> run)
{
    this->events.push({this->now + delay, this->numbered++, std::move(run)});
}

std::size_t crash_simulation::add_request(request_fingerprint fingerprint, std::size_t daemon, bool crashes)
{
    request_state request;
    request.fingerprint = fingerprint;
    request.daemon = daemon;
    request.crashes = crashes;
    this->requests.push_back(std::move(request));
    return this->requests.size() - 1;
}

// Sent again through the next daemon as soon as it is refused.
void crash_simulation::send_crasher(std::size_t daemon, int left)
{
    if (left == 0) {
        return;
    }
    const std::size_t request = this->add_request(crasher, daemon, true);
    this->requests[request].done = [this, daemon, left] {
        this->after(1 + this->draw(10), [this, daemon, left] {
            this->send_crasher((daemon + 1) % this->plan.daemons, left - 1);
        });
    };
    this->try_next(request);
}

void crash_simulation::try_next(std::size_t number)
{
    request_state& request = this->requests[number];
    suspect_status standing = suspect_status::clear;
    if (!this->plan.naive) {
        standing = suspect_status_of(this->tables[request.daemon], request.fingerprint, 0, this->time());
    }
    if (standing == suspect_status::blocked || request.attempts >= max_attempts) {
        this->give_up(number);
        return;
    }
    ++request.attempts;
    target_state* target = this->choose(request, standing);
    if (target == nullptr) {
        // Nothing is up: a caller comes back a little later, which is no new attempt at a target.
        --request.attempts;
        this->after(50, [this, number] { this->try_next(number); });
        return;
    }
    this->run_on(number, *target);
}

crash_simulation::target_state* crash_simulation::choose(const request_state& request,
                                                         suspect_status standing)
{
    // A daemon knows the load of targets, and the places of its own suspects.
    std::set<target_id> busy;
    std::set<target_id> suspects;
    for (const target_state& target : this->targets) {
        for (const std::size_t aboard : target.aboard) {
            busy.insert(target.id);
            const request_state& other = this->requests[aboard];
            const bool suspected = suspect_status_of(this->tables[request.daemon], other.fingerprint, 0,
                                                     this->time()) != suspect_status::clear;
            if (other.daemon == request.daemon && suspected) {
                suspects.insert(target.id);
            }
        }
    }
    for (const std::set<target_id>& avoided : targets_to_avoid(standing, request.excluded, busy, suspects)) {
        std::vector<target_state*> possible;
        for (target_state& target : this->targets) {
            if (target.up && !avoided.contains(target.id)) {
                possible.push_back(&target);
            }
        }
        if (!possible.empty()) {
            return possible[static_cast<std::size_t>(this->draw(static_cast<std::int64_t>(possible.size())))];
        }
    }
    return nullptr;
}

void crash_simulation::run_on(std::size_t number, target_state& target)
{
    target.aboard.insert(number);
    const std::int64_t incarnation_there = target.started;
    const bool crashes = this->requests[number].crashes;
    const std::int64_t duration = crashes ? this->plan.kill_ms : 50 + this->draw(200);
    this->after(duration, [this, number, &target, incarnation_there, crashes] {
        if (target.started != incarnation_there || !target.aboard.contains(number)) {
            return;
        }
        if (crashes) {
            this->crash(target);
        } else {
            this->finish(number, target);
        }
    });
}

void crash_simulation::finish(std::size_t number, target_state& target)
{
    target.aboard.erase(number);
    const request_state& request = this->requests[number];
    note_finished(this->tables[request.daemon], request.fingerprint, this->time());
    ++this->innocents_finished;
}

void crash_simulation::crash(target_state& target)
{
    ++this->takedowns;
    target.up = false;
    const std::set<std::size_t> aboard = std::exchange(target.aboard, {});
    for (const std::size_t number : aboard) {
        this->innocents_broken += this->requests[number].crashes ? 0 : 1;
        this->accuse(number, target);
        this->requests[number].excluded.insert(target.id);
        const request_state& request = this->requests[number];
        const milliseconds pause = this->plan.naive
                                       ? milliseconds{0}
                                       : resume_delay(this->tables[request.daemon], request.fingerprint,
                                                      crash_place{}, this->time());
        this->after(probe_ms + 1 + this->draw(5) + pause.count, [this, number] { this->try_next(number); });
    }
    ++target.started;
    this->after(restart_ms, [this, &target] {
        target.up = true;
        for (request_state& request : this->requests) {
            request.excluded.erase(target.id);
        }
    });
}

// The probe confirms the death a little later, and the news spreads at once.
void crash_simulation::accuse(std::size_t number, const target_state& target)
{
    if (this->plan.naive) {
        return;
    }
    const crash_id death = crash_id_of(target.id, incarnation{target.started});
    this->after(probe_ms, [this, number, death] {
        const request_state& request = this->requests[number];
        note_crash(this->tables[request.daemon], request.fingerprint, death, crash_place{}, this->time());
        this->spread(request.daemon);
    });
}

void crash_simulation::spread(std::size_t from)
{
    const std::vector<suspect_report> reports = reports_of(this->tables[from], 64, this->time());
    for (std::size_t to = 0; to < this->plan.daemons; ++to) {
        if (to != from) {
            const std::int64_t delay = 1 + this->draw(this->plan.spread_ms);
            this->after(delay, [this, to, reports] { merge(this->tables[to], reports, this->time()); });
        }
    }
}

void crash_simulation::give_up(std::size_t number)
{
    const request_state& request = this->requests[number];
    (request.crashes ? this->crasher_refused : this->innocents_refused) += 1;
    if (request.done) {
        const std::function<void()> done = request.done;
        done();
    }
}

} // namespace dandelionstep::testing
