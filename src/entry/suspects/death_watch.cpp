#include "entry/suspects/death_watch.hpp"

#include "adapters/log.hpp"
#include "entry/suspects/suspect_sharing.hpp"

#include <algorithm>
#include <utility>

namespace dandelionstep {
namespace {

// A process that listens accepts within some milliseconds; one that ended is back after seconds.
constexpr milliseconds check_timeout{150};
// Streams notice at different times that their engine is gone.
constexpr milliseconds finding_validity{2'000};
// A process that ended is back, and registered, within this time.
constexpr milliseconds doubt_time{8'000};
constexpr milliseconds doubt_interval{100};
constexpr std::size_t most_doubts = 512;

std::string_view name_of(connect_result result)
{
    switch (result) {
    case connect_result::reached:
        return "reached";
    case connect_result::refused:
        return "refused";
    case connect_result::silent:
        return "silent";
    }
    return "unknown";
}

} // namespace

bool awaits_answer(const possible_death& death)
{
    return death.attempt_events < events_of_begun_answer;
}

void death_watch::consider(const possible_death& death)
{
    const auto known = this->context.targets.find(death.target);
    if (known == this->context.targets.end() || known->second.leaving) {
        return;
    }
    if (known->second.started != death.started) {
        this->report(death);
        return;
    }
    this->forget_old();
    const crash_id process = crash_id_of(death.target, death.started);
    finding& found = this->finding_of(process, death.target, death.started);
    if (found.dead_at) {
        this->report(death);
        return;
    }
    found.waiting.push_back(death);
    if (awaits_answer(death)) {
        for (const prompt_segment& segment : death.segments) {
            found.awaiting.insert(segment.fingerprint.value);
        }
    }
    this->check(process, known->second.address);
}

void death_watch::consider_ended(const target_id& target, incarnation started)
{
    const auto known = this->context.targets.find(target);
    if (known == this->context.targets.end() || known->second.leaving || known->second.started != started) {
        return;
    }
    this->forget_old();
    const crash_id process = crash_id_of(target, started);
    if (!this->finding_of(process, target, started).dead_at) {
        this->check(process, known->second.address);
    }
}

death_watch::finding& death_watch::finding_of(crash_id process, const target_id& target, incarnation started)
{
    finding& found = this->findings[process];
    found.target = target;
    found.started = started;
    return found;
}

void death_watch::check(crash_id process, const endpoint& at)
{
    if (std::exchange(this->findings.at(process).is_checking, true)) {
        return;
    }
    this->context.channels.check(at, check_timeout,
                                 [this, process](connect_result result) { this->take(process, result); });
}

std::size_t death_watch::unconfirmed(request_fingerprint request) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->findings, [request](const auto& one) {
        return std::ranges::find(one.second.waiting, request, &possible_death::request) !=
               one.second.waiting.end();
    }));
}

bool death_watch::is_checking(segment_fingerprint segment) const
{
    return std::ranges::any_of(
        this->findings, [segment](const auto& one) { return one.second.awaiting.contains(segment.value); });
}

void death_watch::clear(request_fingerprint request)
{
    std::erase_if(this->doubts, [request](const doubt& one) { return one.death.request == request; });
}

void death_watch::take(crash_id process, connect_result result)
{
    const auto found = this->findings.find(process);
    if (found == this->findings.end()) {
        return;
    }
    std::vector<possible_death> waiting = std::move(found->second.waiting);
    found->second.waiting.clear();
    found->second.awaiting.clear();
    found->second.is_checking = false;
    log_event("target_checked", {{"target", found->second.target.value},
                                 {"found", name_of(result)},
                                 {"requests", static_cast<std::int64_t>(waiting.size())}});
    if (result != connect_result::refused) {
        this->findings.erase(found);
        this->keep_doubts(std::move(waiting));
        return;
    }
    found->second.dead_at = event_loop::now();
    this->note_ended(found->second);
    for (const possible_death& death : waiting) {
        this->report(death);
    }
}

// A target of another data centre may be alive behind a cut that refuses connections.
void death_watch::note_ended(const finding& found)
{
    const auto known = this->context.targets.find(found.target);
    if (known != this->context.targets.end() &&
        known->second.data_centre == this->context.settings.data_centre) {
        tell_ended(this->context, found.target, found.started);
    }
}

// What accepts connections may be the next process already, or something on the way to it.
void death_watch::keep_doubts(std::vector<possible_death> deaths)
{
    const time_point until = event_loop::now() + doubt_time;
    if (deaths.empty()) {
        return;
    }
    const bool is_first = this->doubts.empty();
    for (possible_death& death : deaths) {
        if (this->doubts.size() < most_doubts) {
            this->doubts.push_back({std::move(death), until});
        }
    }
    if (is_first) {
        this->doubt_timer = this->context.loop.run_every(doubt_interval, [this] { this->settle_doubts(); });
    }
}

void death_watch::settle_doubts()
{
    const time_point now = event_loop::now();
    std::vector<possible_death> proved;
    std::erase_if(this->doubts, [&](const doubt& one) {
        const auto known = this->context.targets.find(one.death.target);
        const bool is_registered = known != this->context.targets.end();
        if (is_registered && known->second.started > one.death.started) {
            proved.push_back(one.death);
            return true;
        }
        return now >= one.until || (is_registered && known->second.leaving);
    });
    if (this->doubts.empty()) {
        this->doubt_timer = {};
    }
    for (const possible_death& death : proved) {
        this->report(death);
    }
}

void death_watch::report(const possible_death& death)
{
    ++this->context.metrics.deaths_under_requests;
    this->context.metrics.deaths_before_answers += awaits_answer(death) ? 1 : 0;
    if (may_log(this->context.logs, log_weight::failure, event_loop::now())) {
        log_event("target_died", {{"id", death.attempt_id},
                                  {"fingerprint", death.request.value},
                                  {"target", death.target.value},
                                  {"started", death.started.value},
                                  {"after_event", death.place.delivered.value},
                                  {"attempt_events", death.attempt_events},
                                  {"segments", segments_text(death.segments)}});
    }
    if (this->on_death) {
        this->on_death(death);
    }
}

void death_watch::forget_old()
{
    const time_point now = event_loop::now();
    std::erase_if(this->findings, [now](const auto& one) {
        return one.second.dead_at && now - *one.second.dead_at >= finding_validity;
    });
}

} // namespace dandelionstep
