#include "entry/peers/peer_port.hpp"

#include "adapters/log.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/registry/registry_messages.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/store/store_history.hpp"
#include "entry/suspects/suspect_sharing.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
// Followers ask more often than every second.
constexpr milliseconds follower_time{3'000};
// A daemon that reached the store is named for so long to those that did not.
constexpr milliseconds announcement_time{5'000};

bool is_recent(time_point asked)
{
    return event_loop::now() - asked < follower_time;
}

} // namespace

engine_uses own_uses(const entry_context& context)
{
    const time_point now = event_loop::now();
    engine_uses uses;
    for (const auto& [id, condition] : context.conditions) {
        if (condition.token_layers > 0) {
            uses[id] = current_use(condition, now, context.controls_load());
        }
    }
    return uses;
}

std::optional<milliseconds> store_age(time_point answered_at, time_point came_at)
{
    return answered_at > time_point{0} ? std::optional(came_at - answered_at) : std::nullopt;
}

peer_port::peer_port(entry_context& context_in, std::uint64_t process_in)
    : context(context_in), process(process_in),
      // Callers who do not read take nothing from what daemons tell each other.
      port(context_in.loop, std::make_shared<byte_budget>(answer_budget(context_in.settings)),
           [this](const std::shared_ptr<caller_exchange>& caller) { this->take(caller); }),
      questions(
          context_in.loop, [this](const peer_question& question) { return this->may_answer(question); },
          [this](const pending_question& asked) { this->answer(asked); })
{
    context_in.on_change = [this] { this->questions.answer_soon(); };
}

absl::Status peer_port::listen(const endpoint& at)
{
    return this->port.listen(at);
}

std::set<vm_id> peer_port::followers() const
{
    std::set<vm_id> current;
    for (const auto& [vm, one] : this->askers) {
        if (is_recent(one.asked_at)) {
            current.insert(vm);
        }
    }
    return current;
}

std::vector<peer> peer_port::successors() const
{
    std::vector<peer> present;
    std::ranges::copy_if(this->line.line, std::back_inserter(present), [this](const peer& one) {
        const auto known = this->askers.find(one.vm);
        return known != this->askers.end() && is_recent(known->second.asked_at);
    });
    return present;
}

std::optional<peer> peer_port::better_reader() const
{
    if (this->own_reader) {
        std::optional<peer> followed = this->own_reader();
        if (followed) {
            return followed;
        }
    }
    const time_point now = event_loop::now();
    const bool is_needed = this->context.stop || this->present_contact() != store_contact::reached ||
                           !is_current(this->context.settings, present_age(this->context, now));
    if (is_needed && this->announced && now - this->announced_at < announcement_time) {
        return this->announced;
    }
    return std::nullopt;
}

engine_uses peer_port::others_uses()
{
    const time_point now = event_loop::now();
    engine_uses sum = total_use(this->shared, now);
    add_uses(sum, total_use(this->elsewhere, now));
    return sum;
}

engine_uses peer_port::data_centre_uses()
{
    engine_uses sum = total_use(this->shared, event_loop::now());
    add_uses(sum, own_uses(this->context));
    return sum;
}

void peer_port::take(const std::shared_ptr<caller_exchange>& caller)
{
    absl::StatusOr<peer_question> question = parse_peer_question(caller->body);
    if (!question.ok()) {
        log_event("peer_question_unreadable", {{"reason", std::string(question.status().message())}});
        caller->answer(status_bad_request, {}, "");
        return;
    }
    note_store_era(this->context, question->era, "peer");
    learn_suspects(this->context, question->suspects, "peer");
    learn_segments(this->context, question->segments, "peer");
    learn_ended(this->context, question->ended, "peer");
    for (const auto& [target, started] : question->leaving) {
        note_leaving(this->context, {target, started}, "peer");
    }
    if (question->only_tells) {
        const data_centre_id& from = question->uses_of;
        if (question->uses && !from.value.empty() && from != this->context.settings.data_centre) {
            // The reader of a data centre may change; its data centre's last report counts.
            note_engine_uses(this->elsewhere, vm_id(from.value), *question->uses, event_loop::now());
        }
        caller->answer(status_ok, {}, "");
        return;
    }
    if (question->reads_store) {
        this->announced = peer{question->vm, question->at};
        this->announced_at = event_loop::now();
    }
    if (!question->left.value.empty() && this->on_left && !this->context.stop) {
        this->on_left(question->left);
    }
    const bool reads = !this->context.stop && (!this->is_reader || this->is_reader());
    if (!reads || !can_route(this->context)) {
        caller->answer(status_unavailable, {{"Content-Type", "application/json"}},
                       to_text(peer_referral{this->better_reader(), reads}));
        return;
    }
    this->note_asker(*question);
    this->questions.take(caller, *std::move(question));
}

void peer_port::note_asker(const peer_question& question)
{
    const time_point now = event_loop::now();
    this->askers[question.vm] = {question.at, question.capacity, now};
    std::erase_if(this->askers, [](const auto& one) { return !is_recent(one.second.asked_at); });
    std::vector<successor_candidate> candidates;
    for (const auto& [vm, one] : this->askers) {
        if (one.at.port != 0) {
            candidates.push_back({{vm, one.at}, one.capacity});
        }
    }
    update_successors(this->line, std::move(candidates), now);
    if (question.uses) {
        note_engine_uses(this->shared, question.vm, *question.uses, now);
    }
}

bool peer_port::has_news_for(const peer_question& question) const
{
    return question.process != this->process || question.sequence != this->context.changes.sequence ||
           question.suspects_sequence != this->context.suspects.changes.sequence ||
           (question.segments_sequence >= 0 &&
            question.segments_sequence != this->context.segments.changes.sequence) ||
           question.config_version != this->context.config->version.value;
}

store_contact peer_port::present_contact() const
{
    return this->contact ? this->contact() : store_contact::reached;
}

// A daemon that has just begun to read the store knows what is new a moment later; one that lost it says so
// at once.
bool peer_port::may_answer(const peer_question& question) const
{
    switch (this->present_contact()) {
    case store_contact::unknown:
        return false;
    case store_contact::reached:
        return this->has_news_for(question) &&
               is_current(this->context.settings, present_age(this->context, event_loop::now()));
    case store_contact::lost:
        return true;
    }
    return true;
}

void peer_port::answer(const pending_question& asked)
{
    asked.caller->answer(status_ok, {{"Content-Type", "application/json"}}, this->answer_to(asked));
}

std::string peer_port::answer_to(const pending_question& asked)
{
    const peer_question& question = asked.question;
    const time_point now = event_loop::now();
    const knowledge_age age = present_age(this->context, now);
    peer_answer answer;
    answer.process = this->process;
    answer.config_age = age.config;
    answer.targets_age = age.targets;
    answer.reaches_store = this->present_contact() == store_contact::reached;
    answer.store_age =
        store_age(this->store_answered_at ? this->store_answered_at() : time_point{0}, asked.came_at);
    answer.position = this->context.position;
    if (!this->context.unconfirmed.empty()) {
        // Whether the doubtful ones come back is no change that another daemon would read.
        answer.position.targets = 0;
    }
    answer.daemons = this->context.daemons;
    answer.siblings = this->context.siblings;
    answer.successors = this->successors();
    answer.better = this->better_reader();
    const bool is_same_process = question.process == this->process;
    const suspect_update suspects =
        updates_since(this->context.suspects,
                      is_same_process ? std::optional(question.suspects_sequence) : std::nullopt, now);
    answer.suspects = suspects.reports;
    answer.suspects_sequence = suspects.sequence;
    const segment_update segments = segment_updates_since(
        this->context.segments, is_same_process ? std::optional(question.segments_sequence) : std::nullopt,
        now);
    answer.segments = segments.reports;
    answer.segments_sequence = segments.sequence;
    std::optional<std::string_view> packed_config;
    if (question.config_version < this->context.config->version.value) {
        if (question.takes_packed) {
            packed_config =
                packed_config_of(this->answers, this->context.config->version, this->context.config_text);
        } else {
            answer.config = this->context.config_text;
        }
    }
    std::optional<std::string_view> uses;
    if (question.uses) {
        uses = uses_text_of(
            this->answers, this->shared,
            [this, now] {
                engine_uses more = own_uses(this->context);
                add_uses(more, total_use(this->elsewhere, now));
                return more;
            },
            now);
    }
    const std::string registry = this->registry_part(question, answer);
    return to_text(answer, {registry, uses, packed_config});
}

std::string peer_port::registry_part(const peer_question& question, peer_answer& answer)
{
    const registry_log& changes = this->context.changes;
    const bool knows_numbers = question.process == this->process && remembers(changes, question.sequence);
    if (knows_numbers) {
        return registry_text(
            updates_since(changes, this->context.targets, this->context.unconfirmed, question.sequence));
    }
    if (question.registry_digest == registry_digest(this->context.targets, this->context.unconfirmed)) {
        // It knows all the targets and needs only the number of the last change.
        registry_update nothing_new;
        nothing_new.sequence = changes.sequence;
        return registry_text(nothing_new);
    }
    const time_point now = event_loop::now();
    const shared_answers::full_list& all =
        full_list_of(this->answers,
                     {changes, this->context.targets, this->context.unconfirmed, this->context.targets_as_of,
                      answer.position.targets},
                     now);
    answer.targets_age = now - all.as_of;
    answer.position.targets = all.position;
    return question.takes_packed ? all.packed : all.text;
}

} // namespace dandelionstep
