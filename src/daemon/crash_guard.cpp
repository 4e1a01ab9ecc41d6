#include "daemon/crash_guard.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

constexpr milliseconds probe_timeout{1000};

// A target that was found dead did not die of this request.
bool may_be_a_death(attempt_failure failure)
{
    return failure == attempt_failure::reset;
}

crash_place place_of(const generation_state& state, const target_id& target)
{
    crash_place place{token_count{static_cast<std::int64_t>(state.tokens.size())}, layer_index{0}};
    if (state.active) {
        for (const hop& stage : state.active->hops()) {
            place.layer = stage.target == target ? stage.layers.begin : place.layer;
        }
    }
    return place;
}

} // namespace

request_fingerprint fingerprint_of(const generation_request& request)
{
    return fingerprint_of(request.model, request.prompt);
}

absl::StatusOr<chain> crash_guard::choose(const generation_request& request,
                                          const std::set<target_id>& excluded, const chain_picker& pick) const
{
    const suspect_table& table = this->context.suspects;
    if (!this->anything_suspected()) {
        return pick(excluded);
    }
    const time_point now = event_loop::now();
    const request_fingerprint fingerprint = fingerprint_of(request);
    const suspect_status standing =
        suspect_status_of(table, fingerprint, this->unconfirmed(fingerprint), now);
    if (standing == suspect_status::blocked) {
        return absl::PermissionDeniedError(
            absl::StrCat("targets died each time they ran this request; it is refused for ",
                         expires_in(table, fingerprint, now).count, " ms more"));
    }
    absl::StatusOr<chain> picked = absl::UnavailableError("");
    for (const std::set<target_id>& avoided :
         targets_to_avoid(standing, excluded, this->busy_targets(), this->running_suspects(request.id))) {
        picked = pick(avoided);
        if (picked.ok()) {
            break;
        }
    }
    return picked;
}

struct crash_guard::possible_death {
    request_fingerprint request;
    crash_place place;
    target_id target;
    incarnation known;
};

milliseconds crash_guard::note_failure(const generation_state& state, const attempt_failed& failure)
{
    if (!failure.culprit || !may_be_a_death(failure.failure)) {
        return {0};
    }
    const auto& targets = this->context.configuration.declared.targets;
    const auto target = targets.find(*failure.culprit);
    if (target == targets.end()) {
        return {0};
    }
    const possible_death death{fingerprint_of(state.request), place_of(state, *failure.culprit),
                               *failure.culprit, this->context.health[*failure.culprit].started};
    this->probing.insert(death.request);
    this->context.engines.read_load(target->second.address, probe_timeout,
                                    [this, death](const load_answer& answer) {
                                        this->probing.erase(this->probing.find(death.request));
                                        this->take_probe(death, answer);
                                    });
    return resume_delay(this->context.suspects, death.request, death.place, event_loop::now());
}

void crash_guard::take_probe(const possible_death& death, const load_answer& answer)
{
    // A busy or frozen target is silent too; only a refusal or a new incarnation proves a death.
    if (answer.silent) {
        return;
    }
    const std::optional<load_report>& report = answer.report;
    // A target that answers as the one it was lost a connection only; one never met before can't be told
    // apart.
    const bool never_met = death.known == incarnation{};
    if (report && (never_met || report->started == death.known)) {
        return;
    }
    suspect_table& table = this->context.suspects;
    note_crash(table, death.request, crash_id_of(death.target, death.known), death.place, event_loop::now());
    this->context.on_news();
    log_event("request_suspected",
              {{"fingerprint", death.request.value},
               {"target", death.target.value},
               {"given_tokens", death.place.delivered.value},
               {"takedowns", static_cast<std::int64_t>(table.suspects[death.request].takedowns.size())}});
}

void crash_guard::note_progress(const generation_state& state)
{
    if (state.finished) {
        this->fingerprints.erase(state.request.id);
    }
    if (state.finished || !state.active || !this->anything_suspected()) {
        this->suspects_at.erase(state.request.id);
        return;
    }
    // Every token comes by here, so the prompt is hashed once.
    const auto known = this->fingerprints.find(state.request.id);
    const request_fingerprint fingerprint =
        known != this->fingerprints.end()
            ? known->second
            : this->fingerprints.emplace(state.request.id, fingerprint_of(state.request)).first->second;
    const suspect_status standing = suspect_status_of(this->context.suspects, fingerprint,
                                                      this->unconfirmed(fingerprint), event_loop::now());
    if (standing == suspect_status::clear) {
        this->suspects_at.erase(state.request.id);
        return;
    }
    std::set<target_id>& at = this->suspects_at[state.request.id];
    at.clear();
    for (const hop& stage : state.active->hops()) {
        at.insert(stage.target);
    }
}

void crash_guard::note_answered(const generation_request& request)
{
    note_finished(this->context.suspects, fingerprint_of(request), event_loop::now());
}

bool crash_guard::anything_suspected() const
{
    return !this->context.suspects.suspects.empty() || !this->probing.empty();
}

std::size_t crash_guard::unconfirmed(request_fingerprint request) const
{
    return this->probing.count(request);
}

std::set<target_id> crash_guard::running_suspects(const request_id& but) const
{
    std::set<target_id> targets;
    for (const auto& [request, at] : this->suspects_at) {
        if (request != but) {
            targets.insert(at.begin(), at.end());
        }
    }
    return targets;
}

std::set<target_id> crash_guard::busy_targets() const
{
    std::set<target_id> busy;
    for (const auto& [id, health] : this->context.health) {
        if (estimated_load(this->context.health, id) > 0) {
            busy.insert(id);
        }
    }
    return busy;
}

} // namespace dandelionstep
