#include "entry/peers/peer_exchange.hpp"

#include "entry/peers/peer_port.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/store/store_history.hpp"
#include "entry/suspects/suspect_sharing.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Between two questions that tell what one's own requests take. It grows with the engines, and changes
// slowly.
constexpr milliseconds uses_interval{1'000};

} // namespace

peer_question peer_exchange::question(const question_wish& wish)
{
    const entry_settings& settings = this->context.settings;
    peer_question told;
    told.vm = settings.vm;
    told.at = settings.peers;
    told.capacity = answering_capacity(settings.capacity);
    told.process = this->reader_process;
    told.sequence = this->reader_sequence;
    told.config_version = this->context.config ? this->context.config->version.value : -1;
    told.wait = wish.wait;
    told.takes_packed = true;
    told.left = wish.left;
    told.reads_store = wish.reads_store;
    told.only_tells = wish.only_tells;
    told.era = this->context.era;
    const bool knows_numbers = wish.same_reader && this->reader_process != 0;
    if (!knows_numbers) {
        told.registry_digest = registry_digest(this->context.targets, this->context.unconfirmed);
    }
    const time_point now = event_loop::now();
    if (!knows_numbers) {
        this->told_leaving.clear();
    }
    told.leaving = this->untold_leaving();
    const suspect_update own = updates_since(
        this->context.suspects, knows_numbers ? std::optional(this->told_suspects) : std::nullopt, now);
    told.suspects = own.reports;
    told.told_suspects = own.sequence;
    told.suspects_sequence = knows_numbers ? this->reader_suspects : -1;
    const segment_update segments = segment_updates_since(
        this->context.segments, knows_numbers ? std::optional(this->told_segments) : std::nullopt, now);
    told.ended = ended_reports(this->context);
    told.segments = segments.reports;
    told.told_segments = segments.sequence;
    told.segments_sequence = knows_numbers ? this->reader_segments : -1;
    if (!wish.only_tells && (!knows_numbers || now - this->told_uses_at >= uses_interval)) {
        told.uses = own_uses(this->context);
        this->told_uses_at = now;
    }
    return told;
}

void peer_exchange::take(const peer_answer& answer, time_point asked_at, bool is_fresh)
{
    if (!answer.config.empty() && put_config(this->context, answer.config, "peer") && this->on_config) {
        this->on_config();
    }
    learn_suspects(this->context, answer.suspects, "peer");
    learn_segments(this->context, answer.segments, "peer");
    this->context.config_as_of = std::max(this->context.config_as_of, asked_at - answer.config_age);
    if (answer.store_age) {
        const time_point answered_at = std::min(asked_at - *answer.store_age, event_loop::now());
        this->context.reader_answered_at = std::max(this->context.reader_answered_at, answered_at);
    }
    const time_point targets_as_of = asked_at - answer.targets_age;
    if (!is_fresh && this->context.targets_known && targets_as_of < this->context.targets_as_of) {
        return;
    }
    this->take_targets(answer);
    this->context.targets_as_of = targets_as_of;
    this->take_position(answer.position);
    know_daemons(this->context, answer.daemons, answer.siblings);
    if (answer.uses) {
        this->context.others = *answer.uses;
        this->context.others_at = event_loop::now();
    }
}

// Versions of an older era mean nothing any more.
void peer_exchange::take_position(const store_position& told)
{
    note_store_era(this->context, told.era, "peer");
    this->context.position = told.era == this->context.era ? told : store_position{this->context.era, 0, 0};
}

// Those that are registered, said so themselves, and are not told yet.
leaving_marks peer_exchange::untold_leaving() const
{
    leaving_marks untold;
    for (const auto& [id, started] : this->context.leaving) {
        const auto known = this->context.targets.find(id);
        const bool is_present = known != this->context.targets.end() && known->second.started == started;
        if (is_present && !is_marked(this->told_leaving, id, started)) {
            untold[id] = started;
        }
    }
    return untold;
}

void peer_exchange::note_told(const peer_question& question)
{
    this->told_suspects = std::max(this->told_suspects, question.told_suspects);
    this->told_segments = std::max(this->told_segments, question.told_segments);
    this->told_leaving.insert(question.leaving.begin(), question.leaving.end());
}

void peer_exchange::take_targets(const peer_answer& answer)
{
    for (const registered_target& target : answer.registry.targets) {
        put_target(this->context, target);
        if (target.leaving) {
            mark_leaving(this->told_leaving, target.id, target.started);
        }
    }
    for (const target_id& id : find_gone(answer.registry, this->context.targets)) {
        drop_target(this->context, id);
    }
    this->reader_process = answer.process;
    this->reader_sequence = answer.registry.sequence;
    this->reader_suspects = answer.suspects_sequence;
    this->reader_segments = answer.segments_sequence;
    this->context.targets_known = true;
    if (this->on_targets) {
        this->on_targets();
    }
}

outgoing_call peer_call(const peer_question& question)
{
    outgoing_call call;
    call.method = "POST";
    call.target = "/changes";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = to_text(question);
    return call;
}

} // namespace dandelionstep
