#include "adapters/log.hpp"
#include "entry/engines/engine_calls.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/streams/internal/stream_carrier.hpp"

#include <algorithm>

namespace dandelionstep::internal {
namespace {

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_gateway = 502;
constexpr int max_path_changes = 4;
// An engine that was not there for a new path may be dead or short of room.
constexpr milliseconds pause_after_missing{300};
constexpr milliseconds order_timeout{350};
// A target that may have died is checked within some milliseconds.
constexpr milliseconds pause_while_checking{50};

// The parts of the path that were not part of the one before.
std::vector<hop> new_parts(const std::vector<hop>& before, const std::vector<hop>& path)
{
    std::vector<hop> added;
    std::ranges::copy_if(path, std::back_inserter(added), [&before](const hop& part) {
        return std::ranges::find(before, part) == before.end();
    });
    return added;
}

} // namespace

// The first engine stays, and it knows the stream only once it has begun.
bool stream_carrier::can_change_path(const target_id& lost) const
{
    return this->current->path.front().id != lost && this->path_changes < max_path_changes &&
           this->current->is_stream;
}

// A silent engine may be alive: the stream stays where it is until that is known.
void stream_carrier::wait_while_held()
{
    if (this->is_checking()) {
        this->next_change_at = event_loop::now() + pause_without_path;
    } else {
        this->fail(status_bad_gateway, "ends_targets");
    }
}

// An engine that leaves is left only while the stream goes on, so that the first one is alive; before the
// first event nothing is gained by leaving an engine that still works.
void stream_carrier::leave_path(const target_id& lost, bool leaves)
{
    if (leaves) {
        if (this->current->is_stream) {
            this->begin_succession("engine_leaves", this->move_wish(), true);
        }
    } else if (lost == this->current->path.front().id || !this->awaits_first()) {
        this->begin_succession("dead_engine", this->succession_wish(), false);
    }
}

// Finds another engine for the lost one's layers, or another path altogether.
void stream_carrier::replace_engine(const target_id& lost, bool leaves)
{
    if (this->successor) {
        return;
    }
    const auto part = std::ranges::find(this->current->path, lost, &hop::id);
    const bool is_new_loss = this->excluded.insert(lost).second;
    if (is_new_loss) {
        this->doubted_at = time_point{0};
    }
    if (!leaves) {
        this->left_silent.insert(lost);
    }
    if (is_new_loss && !leaves && part != this->current->path.end()) {
        this->consider_death(*this->current, *part);
    }
    if (!leaves && this->is_held()) {
        this->wait_while_held();
        return;
    }
    if (!leaves && !this->has_begun() && this->is_checking()) {
        this->next_change_at = event_loop::now() + pause_while_checking;
        return;
    }
    if (!this->can_change_path(lost)) {
        this->leave_path(lost, leaves);
        return;
    }
    std::vector<hop> repaired = repair_path(this->context, this->move_wish(), this->current->path, lost);
    if (repaired.empty()) {
        repaired = repair_path(this->context, this->last_wish(lost), this->current->path, lost);
        this->take_back(repaired);
    }
    const time_point now = event_loop::now();
    if (repaired.empty()) {
        this->next_change_at = now + pause_without_path;
        return;
    }
    ++this->path_changes;
    log_event("path_changed", {{"id", this->request.facts.attempt_id},
                               {"left", lost.value},
                               {"why", leaves ? "leaving" : "silent"},
                               {"silent_ms", this->silence(now)},
                               {"path", path_text(repaired)},
                               {"fingerprint", this->request.fingerprint.value}});
    const std::vector<hop> before = this->current->path;
    change_attempt_path(this->context, *this->current, repaired);
    note_prefill(this->context, new_parts(before, repaired), this->tokens_read());
    if (!this->has_begun()) {
        this->try_segments(*this->current);
    }
    if (!leaves) {
        this->progress.sent_at = now;
    }
    this->order_path({lost, before, leaves});
}

// An engine that leaves still serves the path before, if the change is not accepted.
void stream_carrier::order_path(const path_change& change)
{
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    const attempt_pointer changed = this->current;
    const outgoing_call call = this->context.dialect.repath_call(
        changed->path.front().id, this->request.facts.attempt_id, changed->path);
    const auto take = [watched, changed, change](const http_answer& answer) {
        const auto self = watched.lock();
        if (!self || self->finished || self->current != changed) {
            return;
        }
        const bool accepted = answer.status == status_ok || answer.status == status_accepted;
        ++self->context.metrics.orders[accepted ? "path_accepted" : "path_failed"];
        if (!accepted) {
            self->path_refused(answer, change);
        }
    };
    const hop& first = changed->path.front();
    this->doubt_first();
    call_engine(this->context, first.id, first.address, call, order_timeout, take);
}

// The refusal usually names a part that is not there: an engine that died together with the lost one, or one
// without room, which may have some a moment later. The path before is the one that runs.
void stream_carrier::path_refused(const http_answer& answer, const path_change& refused)
{
    const time_point now = event_loop::now();
    const std::optional<endpoint> address = this->context.dialect.parse_path_refusal(answer.body);
    const std::vector<hop>& path = this->current->path;
    const auto at_fault = address ? std::ranges::find(path, *address, &hop::address) : path.end();
    const bool is_named = at_fault != path.end();
    log_event("path_change_failed", {{"id", this->request.facts.attempt_id},
                                     {"status", answer.status},
                                     {"missing", is_named ? at_fault->id.value : ""}});
    if (is_named) {
        if (may_run(this->context, at_fault->id, at_fault->started)) {
            note_refusal(this->context.conditions[at_fault->id], pause_after_missing, now);
        }
        this->tools.probes.ask_one(at_fault->id, at_fault->address, "path_refused");
    }
    change_attempt_path(this->context, *this->current, refused.before);
    if (refused.leaves) {
        return;
    }
    if (is_named && this->can_change_path(refused.lost)) {
        this->replace_engine(refused.lost, false);
    } else {
        this->begin_succession("path_change_failed", this->succession_wish(), false);
    }
}

} // namespace dandelionstep::internal
