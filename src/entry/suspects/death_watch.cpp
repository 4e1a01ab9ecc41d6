#include "entry/suspects/death_watch.hpp"

#include "adapters/log.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// A process that listens accepts within some milliseconds; one that ended is back after seconds.
constexpr milliseconds check_timeout{150};
// Streams notice at different times that their engine is gone.
constexpr milliseconds finding_validity{2'000};

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
    const takedown_id process = takedown_of(death.target, death.started);
    finding& found = this->findings[process];
    if (found.dead_at) {
        this->report(death);
        return;
    }
    found.waiting.push_back(death);
    if (found.waiting.size() == 1) {
        this->context.channels.check(known->second.address, check_timeout,
                                     [this, process](connect_result result) { this->take(process, result); });
    }
}

std::size_t death_watch::unconfirmed(request_fingerprint request) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->findings, [request](const auto& one) {
        return std::ranges::find(one.second.waiting, request, &possible_death::request) !=
               one.second.waiting.end();
    }));
}

void death_watch::take(takedown_id process, connect_result result)
{
    const auto found = this->findings.find(process);
    if (found == this->findings.end()) {
        return;
    }
    const std::vector<possible_death> waiting = std::move(found->second.waiting);
    found->second.waiting.clear();
    log_event("target_checked", {{"target", waiting.front().target.value},
                                 {"found", name_of(result)},
                                 {"requests", static_cast<std::int64_t>(waiting.size())}});
    if (result != connect_result::refused) {
        this->findings.erase(found);
        return;
    }
    found->second.dead_at = event_loop::now();
    for (const possible_death& death : waiting) {
        this->report(death);
    }
}

void death_watch::report(const possible_death& death)
{
    ++this->context.metrics.deaths_under_requests;
    if (may_log(this->context.logs, log_weight::failure, event_loop::now())) {
        log_event("target_died", {{"id", death.attempt_id},
                                  {"fingerprint", death.request.value},
                                  {"target", death.target.value},
                                  {"started", death.started.value},
                                  {"after_event", death.place.given.value}});
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
