#include "configuration/change_commit.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "common/hash.hpp"
#include "platform/configuration_rows.hpp"

namespace dandelionstep {
namespace {

constexpr std::string_view store_unreachable = "the platform's table is not reachable";

change_answer refused(error_code code, std::string message)
{
    return {outcome::not_run, code, {}, std::move(message), {}};
}

change_answer unknown(const change_commit& state)
{
    return {outcome::unknown,
            error_code::unsettled,
            {},
            absl::StrCat("whether change \"", state.change.id.value,
                         "\" was accepted is not known; apply it again with this change id to find out"),
            {}};
}

std::string name_of(const record_key& key)
{
    return absl::StrCat(key.kind, "/", key.name);
}

std::string content_of(const proposed_change& change)
{
    json records = json::array();
    for (const proposed_record& proposed : change.records) {
        json value = to_json(proposed.record);
        value.erase("changed_at");
        records.push_back(std::move(value));
    }
    return sha256_hex(dump(records));
}

// The answer to a change whose id belongs to an accepted change: either to this one or to another one.
change_answer answer_for_known_id(const change_commit& state, const table_row& row)
{
    const change_id_state known = parse_change_id_row(row.value);
    if (known.content != content_of(state.change)) {
        return refused(error_code::key_reused,
                       absl::StrCat("change id \"", state.change.id.value, "\" was used for another change"));
    }
    return {outcome::completed, error_code::bad_request, known.number, "accepted", {}};
}

// Whether a change with the row's id was accepted. The id of a cancelled change may be used again.
bool was_accepted(const table_row& row)
{
    return parse_change_id_row(row.value).number.value > 0;
}

const table_row* find_row(const change_commit& state, const std::string& key)
{
    const auto found = state.rows.find(key);
    return found == state.rows.end() ? nullptr : &found->second;
}

table_version version_of(const change_commit& state, const std::string& key)
{
    const table_row* row = find_row(state, key);
    return row == nullptr ? table_version{0} : row->version;
}

revision_state stored_revision(const change_commit& state)
{
    const table_row* row = find_row(state, std::string(revision_row));
    return row == nullptr ? revision_state{} : parse_revision_row(row->value);
}

std::optional<change_answer> check_readers(const change_commit& state, const configuration_record& record)
{
    const std::vector<vm_id> too_old = unable_to_read(state.readers, record.schema_version);
    if (too_old.empty()) {
        return std::nullopt;
    }
    return refused(error_code::conflict,
                   absl::StrCat("record \"", name_of(record.key), "\": schema_version ",
                                record.schema_version, " can't be read by ",
                                absl::StrJoin(too_old, ", ", [](std::string* out, const vm_id& vm) {
                                    absl::StrAppend(out, vm.value);
                                })));
}

change_answer record_conflict(const record_key& key, revision changed_at)
{
    return refused(error_code::conflict,
                   absl::StrCat("record \"", name_of(key), "\" was changed by another change (changed_at ",
                                changed_at.value, "); look at it, then apply again"));
}

// Adds one proposed record, merged with the stored one, to the change, or returns the refusal of the change.
std::optional<change_answer> accept_record(change_commit& state, proposed_record& proposed)
{
    configuration_record merged = proposed.record;
    revision changed_at;
    if (const table_row* row = find_row(state, record_row_key(merged.key)); row != nullptr) {
        const auto stored = parse_record(row->value);
        if (!stored.ok()) {
            return refused(error_code::conflict,
                           absl::StrCat("stored record can't be read: ", stored.status().message()));
        }
        changed_at = stored->changed_at;
        merged = merge_over(*stored, merged);
        state.accepted.digest -= digest_of(merged.key, changed_at);
    }
    if (proposed.expected_revision && *proposed.expected_revision != changed_at) {
        return record_conflict(merged.key, changed_at);
    }
    // A later attempt of this change must not overwrite what another operator writes in between.
    proposed.expected_revision = changed_at;
    if (auto answer = check_readers(state, merged)) {
        return answer;
    }
    merged.changed_at = state.accepted.number;
    state.accepted.digest += digest_of(merged.key, merged.changed_at);
    state.accepted.records.push_back(std::move(merged));
    return std::nullopt;
}

// Keeps the log bounded: each change deletes the oldest one from it, together with the row of its change id.
void add_removals(const change_commit& state, table_transaction& transaction)
{
    const revision dropped = state.accepted.number - revision{kept_changes};
    if (dropped.value <= 0) {
        return;
    }
    const std::string key = change_row_key(dropped);
    transaction.writes.push_back({key, std::nullopt});
    if (const table_row* row = find_row(state, key); row != nullptr) {
        const change_id id(string_or(row->value, "change_id", ""));
        transaction.writes.push_back({change_id_row_key(id), std::nullopt});
    }
}

// The condition on the row of the change id prevents a change from being accepted twice.
table_transaction make_transaction(const change_commit& state)
{
    const std::string id_row = change_id_row_key(state.change.id);
    table_transaction transaction;
    transaction.conditions = {{id_row, version_of(state, id_row)},
                              {std::string(revision_row), version_of(state, std::string(revision_row))}};
    for (const configuration_record& record : state.accepted.records) {
        const std::string key = record_row_key(record.key);
        transaction.conditions.push_back({key, version_of(state, key)});
        transaction.writes.push_back({key, to_json(record)});
    }
    const accepted_change& accepted = state.accepted;
    transaction.writes.push_back({change_row_key(accepted.number), to_json(accepted, state.change.id)});
    transaction.writes.push_back(
        {std::string(revision_row), to_json(revision_state{accepted.number, accepted.digest})});
    transaction.writes.push_back(
        {id_row, to_json(change_id_state{accepted.number, content_of(state.change)})});
    add_removals(state, transaction);
    return transaction;
}

commit_action read_again(change_commit& state)
{
    if (state.attempts_left == 0) {
        return state.outcome_unknown
                   ? unknown(state)
                   : refused(error_code::conflict, "other changes were accepted at the same time; "
                                                   "apply again");
    }
    --state.attempts_left;
    state.rows.clear();
    state.phase = commit_phase::reading;
    rows_to_read wanted{{change_id_row_key(state.change.id), std::string(revision_row)}};
    for (const proposed_record& proposed : state.change.records) {
        wanted.keys.push_back(record_row_key(proposed.record.key));
    }
    return wanted;
}

// Refuses the change. If an earlier attempt has an unknown outcome, it must be cancelled first, so that it
// can't take effect after the operator was told that nothing was written. The attempt requires the row of the
// change id to be unchanged. A write to that row makes the attempt fail, unless it took effect before: then
// this write fails.
commit_action refuse(change_commit& state, change_answer answer)
{
    if (!state.outcome_unknown) {
        return answer;
    }
    state.answer_after_cancelling = std::move(answer);
    state.phase = commit_phase::cancelling;
    const std::string id_row = change_id_row_key(state.change.id);
    return table_transaction{{{id_row, version_of(state, id_row)}},
                             {{id_row, to_json(change_id_state{revision{0}, content_of(state.change)})}}};
}

commit_action commit(change_commit& state)
{
    const revision_state stored = stored_revision(state);
    state.accepted = {.number = stored.number + revision{1}, .records = {}, .digest = stored.digest};
    for (proposed_record& proposed : state.change.records) {
        if (auto answer = accept_record(state, proposed)) {
            return refuse(state, *std::move(answer));
        }
    }
    state.phase = commit_phase::committing;
    return make_transaction(state);
}

commit_action on_conflict(change_commit& state, const std::optional<table_row>& row)
{
    if (!row) {
        return read_again(state);
    }
    if (row->key == change_id_row_key(state.change.id) && was_accepted(*row)) {
        return answer_for_known_id(state, *row);
    }
    for (const proposed_record& proposed : state.change.records) {
        if (row->key == record_row_key(proposed.record.key)) {
            return refuse(state, record_conflict(proposed.record.key,
                                                 revision{integer_or(row->value, "changed_at", 0)}));
        }
    }
    return read_again(state);
}

commit_action on_cancelled(const change_commit& state, const commit_answer& answer)
{
    if (answer.result == commit_result::committed) {
        return state.answer_after_cancelling;
    }
    if (answer.result == commit_result::conflicted && answer.conflict && was_accepted(*answer.conflict)) {
        return answer_for_known_id(state, *answer.conflict);
    }
    return unknown(state);
}

} // namespace

commit_action start(change_commit& state)
{
    return read_again(state);
}

commit_action on_rows(change_commit& state, const rows_read& found)
{
    if (found.failed) {
        return state.outcome_unknown ? unknown(state)
                                     : refused(error_code::store_unavailable, std::string(store_unreachable));
    }
    state.rows.insert(found.rows.begin(), found.rows.end());
    const table_row* id_row = find_row(state, change_id_row_key(state.change.id));
    if (id_row != nullptr && was_accepted(*id_row)) {
        return answer_for_known_id(state, *id_row);
    }
    const revision dropped = stored_revision(state).number + revision{1 - kept_changes};
    if (state.phase == commit_phase::reading && dropped.value > 0) {
        state.phase = commit_phase::reading_log;
        return rows_to_read{{change_row_key(dropped)}};
    }
    return commit(state);
}

commit_action on_commit_answer(change_commit& state, const commit_answer& answer)
{
    if (state.phase == commit_phase::cancelling) {
        return on_cancelled(state, answer);
    }
    switch (answer.result) {
    case commit_result::committed:
        return change_answer{outcome::completed, error_code::bad_request, state.accepted.number, "accepted",
                             state.accepted};
    case commit_result::conflicted:
        return on_conflict(state, answer.conflict);
    case commit_result::refused:
        return state.outcome_unknown ? unknown(state)
                                     : refused(error_code::store_unavailable, std::string(store_unreachable));
    case commit_result::outcome_unknown:
        state.outcome_unknown = true;
        return read_again(state);
    }
    return unknown(state);
}

} // namespace dandelionstep
