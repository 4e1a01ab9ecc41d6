#include "entry/suspects/crash_guard.hpp"

#include "entry/suspects/suspect_sharing.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Most requests that lose a target go on within this time and need not be told of.
constexpr milliseconds untold_time{400};
constexpr milliseconds tell_interval{100};
// A second death tells more than chance.
constexpr std::size_t told_at_once = 2;
// Share of the stability window, in percent, within which the news of a death reach every daemon.
constexpr std::int64_t news_time = 40;

} // namespace

crash_guard::crash_guard(entry_context& context_in)
    : context(context_in), deaths(context_in), shared_segments(context_in, this->deaths)
{
    const milliseconds propagation_time = context_in.settings.stability_window * news_time / 100;
    this->context.suspects.table.limits.propagation_time = propagation_time;
    this->context.segments.limits.propagation_time = propagation_time;
    this->deaths.on_death = [this](const possible_death& death) { this->take_death(death); };
}

void crash_guard::take_death(const possible_death& death)
{
    if (awaits_answer(death)) {
        this->shared_segments.note_crash(death);
    }
    this->note_request(death);
}

void crash_guard::note_request(const possible_death& death)
{
    const time_point now = event_loop::now();
    suspect_table& table = this->context.suspects.table;
    note_crash(table, death.request, crash_id_of(death.target, death.started), death.place, now);
    const auto found = table.suspects.find(death.request);
    if (found == table.suspects.end()) {
        return;
    }
    if (this->context.suspects.shared.contains(death.request) ||
        found->second.takedowns.size() >= told_at_once) {
        this->untold.erase(death.request);
        tell_suspect(this->context, death.request);
        return;
    }
    this->untold.try_emplace(death.request, now + untold_time);
    if (this->untold.size() == 1) {
        this->tell_timer = this->context.loop.run_every(tell_interval, [this] { this->tell_due(); });
    }
}

void crash_guard::tell_due()
{
    const time_point now = event_loop::now();
    std::erase_if(this->untold, [&](const auto& one) {
        if (now < one.second) {
            return false;
        }
        tell_suspect(this->context, one.first);
        return true;
    });
    if (this->untold.empty()) {
        this->tell_timer = {};
    }
}

void crash_guard::note_goes_on(request_fingerprint request)
{
    this->untold.erase(request);
    this->deaths.clear(request);
}

void crash_guard::note_ran_well(request_fingerprint request)
{
    this->deaths.clear(request);
    shared_suspects& known = this->context.suspects;
    if (!note_finished(known.table, request, event_loop::now())) {
        return;
    }
    this->untold.erase(request);
    if (known.shared.contains(request)) {
        tell_suspect(this->context, request);
    }
}

milliseconds crash_guard::held_for(request_fingerprint request) const
{
    const suspect_table& table = this->context.suspects.table;
    if (table.suspects.empty()) {
        return {0};
    }
    return dandelionstep::held_for(table, request, this->deaths.unconfirmed(request), event_loop::now());
}

} // namespace dandelionstep
