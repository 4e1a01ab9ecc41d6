#include "entry/suspects/segment_guard.hpp"

#include "adapters/log.hpp"
#include "entry/suspects/suspect_sharing.hpp"
#include "target/uncovered_layers.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Segments that are answered often are cleared within this time, and need not be told of.
constexpr milliseconds untold_time{1'000};
constexpr milliseconds tell_interval{100};
// Until a trial, or the check of a target that may have died, is likely to be over.
constexpr milliseconds open_trial_time{200};
// The last holder of a layer is not risked for a trial until others must have come back, if they do.
constexpr milliseconds longest_sparing{6'000};
// Until the store has told whether another daemon runs a trial.
constexpr milliseconds claim_time{20};
// Daemons whose trials lie as far apart as the first one lies from the crash, and the limit of that for many.
constexpr double daemons_for_stagger = 4;
constexpr double longest_stagger = 20;

} // namespace

segment_guard::segment_guard(entry_context& context_in, const death_watch& deaths_in)
    : context(context_in), deaths(deaths_in), own_draw(context_in.draw())
{}

void segment_guard::note_crash(const possible_death& death)
{
    const time_point now = event_loop::now();
    segment_suspects& known = this->context.segments;
    const crash_id crash = crash_id_of(death.target, death.started);
    for (const prompt_segment& segment :
         dandelionstep::note_crash(known, {crash, death.lost_at, death.segments, death.was_trial}, now)) {
        const int level = suspicion_level(known, segment.fingerprint, now);
        if (may_log(this->context.logs, log_weight::failure, now)) {
            log_event("segment_suspected", {{"segment", segment.id.value},
                                            {"fingerprint", segment.fingerprint.value},
                                            {"target", death.target.value},
                                            {"level", level}});
        }
        if (level > 0) {
            this->untold.erase(segment.fingerprint);
            tell_segment(this->context, segment.fingerprint);
        } else {
            this->tell_later(segment.fingerprint);
        }
    }
}

void segment_guard::note_answer_begun(const std::vector<prompt_segment>& segments)
{
    segment_suspects& known = this->context.segments;
    for (const prompt_segment& segment : segments) {
        if (!note_segment_answered(known, segment.fingerprint, event_loop::now())) {
            continue;
        }
        this->untold.erase(segment.fingerprint);
        if (known.suspects.at(segment.fingerprint).is_shared) {
            log_event("segment_cleared",
                      {{"segment", segment.id.value}, {"fingerprint", segment.fingerprint.value}});
            tell_segment(this->context, segment.fingerprint);
        }
    }
}

bool segment_guard::is_being_tried(const prompt_segment& segment) const
{
    const auto found = this->trials.find(segment.fingerprint);
    return found != this->trials.end() && !found->second.expired();
}

// The more daemons may try a segment, the further their trials lie apart.
void segment_guard::spread_trials()
{
    const auto daemons = static_cast<double>(this->context.daemons);
    this->context.segments.stagger =
        this->own_draw * std::clamp(daemons / daemons_for_stagger, 1.0, longest_stagger);
}

segment_verdict segment_guard::verdict(const service_id& service, const std::vector<prompt_segment>& segments)
{
    const time_point now = event_loop::now();
    this->spread_trials();
    const segment_verdict told = verdict_of(this->context.segments, segments, now);
    if (told.permission == segment_permission::wait || told.permission == segment_permission::refused) {
        return told;
    }
    const bool is_open = std::ranges::any_of(segments, [&](const prompt_segment& segment) {
        return this->is_being_tried(segment) ||
               (this->deaths.is_checking(segment.fingerprint) &&
                !was_segment_answered(this->context.segments, segment.fingerprint, now));
    });
    if (is_open) {
        return {segment_permission::wait, open_trial_time, {0}};
    }
    if (told.permission != segment_permission::trial) {
        return told;
    }
    if (told.due_for < longest_sparing && !this->can_spare_target(service)) {
        return {segment_permission::wait, longest_sparing - told.due_for, {0}};
    }
    return this->claimed_verdict(segments);
}

bool segment_guard::can_spare_target(const service_id& service) const
{
    std::int64_t layers = 0;
    if (this->context.config) {
        const auto configured = this->context.config->services.find(service);
        const bool is_known = configured != this->context.config->services.end();
        layers = is_known && configured->second.engine ? configured->second.engine->layers : 0;
    }
    return least_holders(this->context.targets, this->context.conditions, service, layers,
                         event_loop::now()) > 1;
}

segment_verdict segment_guard::claimed_verdict(const std::vector<prompt_segment>& segments)
{
    switch (this->claim_trials(segments)) {
    case claim_state::granted:
        return {segment_permission::trial, {0}, {0}};
    case claim_state::pending:
        return {segment_permission::wait, claim_time, {0}};
    case claim_state::refused:
        return {segment_permission::wait, open_trial_time, {0}};
    }
    return {segment_permission::trial, {0}, {0}};
}

claim_state segment_guard::claim_trials(const std::vector<prompt_segment>& segments)
{
    const time_point now = event_loop::now();
    std::vector<trial_name> trials;
    for (const prompt_segment& segment : segments) {
        if (const auto trial = exclusive_trial(this->context.segments, segment.fingerprint, now)) {
            trials.push_back(*trial);
        }
    }
    // In one order at all daemons, and the next one only once the one before is granted: else two of them
    // could hold one claim each that the other waits for.
    std::ranges::sort(trials, {}, &trial_name::segment);
    for (const trial_name& trial : trials) {
        const claim_state state = this->claim ? this->claim(trial) : claim_state::granted;
        if (state != claim_state::granted) {
            return state;
        }
    }
    return claim_state::granted;
}

std::shared_ptr<segment_trial> segment_guard::begin(const std::vector<prompt_segment>& segments,
                                                    std::string_view attempt_id)
{
    const time_point now = event_loop::now();
    std::shared_ptr<segment_trial> trial;
    for (const prompt_segment& segment : segments) {
        if (suspicion_level(this->context.segments, segment.fingerprint, now) <= 0) {
            continue;
        }
        trial = trial ? trial : std::make_shared<segment_trial>();
        this->trials[segment.fingerprint] = trial;
        ++this->context.metrics.segment_trials;
        log_event(
            "segment_tried",
            {{"id", attempt_id}, {"segment", segment.id.value}, {"fingerprint", segment.fingerprint.value}});
    }
    std::erase_if(this->trials, [](const auto& entry) { return entry.second.expired(); });
    return trial;
}

void segment_guard::tell_later(segment_fingerprint segment)
{
    this->untold.try_emplace(segment, event_loop::now() + untold_time);
    if (this->untold.size() == 1) {
        this->tell_timer = this->context.loop.run_every(tell_interval, [this] { this->tell_due(); });
    }
}

void segment_guard::tell_due()
{
    const time_point now = event_loop::now();
    std::erase_if(this->untold, [&](const auto& entry) {
        if (now < entry.second) {
            return false;
        }
        tell_segment(this->context, entry.first);
        return true;
    });
    if (this->untold.empty()) {
        this->tell_timer = {};
    }
}

} // namespace dandelionstep
