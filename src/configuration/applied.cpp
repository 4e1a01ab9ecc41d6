#include "configuration/applied.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

namespace dandelionstep {
namespace {

void put_record(applied_configuration& state, const configuration_record& record)
{
    const absl::Status status = apply_record(state.declared, record);
    if (status.ok()) {
        state.unreadable.erase(record.key);
    } else {
        state.unreadable[record.key] = std::string(status.message());
    }
    state.records[record.key] = record;
}

// The digest of all records after the change. It is a sum, so only the changed records have to be hashed.
records_digest digest_after(const applied_configuration& state, const accepted_change& change)
{
    records_digest digest = state.digest;
    for (const configuration_record& record : change.records) {
        if (const auto known = state.records.find(record.key); known != state.records.end()) {
            digest -= digest_of(record.key, known->second.changed_at);
        }
        digest += digest_of(record.key, record.changed_at);
    }
    return digest;
}

} // namespace

apply_result apply_change(applied_configuration& state, const accepted_change& change)
{
    if (change.number <= state.number) {
        return apply_result::already_known;
    }
    if (change.number != state.number + revision{1}) {
        return apply_result::gap;
    }
    if (digest_after(state, change) != change.digest) {
        return apply_result::inconsistent;
    }
    for (const configuration_record& record : change.records) {
        put_record(state, record);
    }
    state.number = change.number;
    state.digest = change.digest;
    return apply_result::applied;
}

apply_result apply_snapshot(applied_configuration& state, const configuration_snapshot& snapshot)
{
    if (snapshot.number <= state.number) {
        return apply_result::already_known;
    }
    records_digest digest = 0;
    for (const configuration_record& record : snapshot.records) {
        digest += digest_of(record.key, record.changed_at);
    }
    if (digest != snapshot.digest) {
        return apply_result::inconsistent;
    }
    // Applies the known version of each record first: a record that this build can't read keeps what it last
    // declared.
    applied_configuration fresh;
    for (const configuration_record& record : snapshot.records) {
        if (const auto known = state.records.find(record.key); known != state.records.end()) {
            put_record(fresh, known->second);
        }
        put_record(fresh, record);
    }
    fresh.number = snapshot.number;
    fresh.digest = digest;
    state = std::move(fresh);
    return apply_result::applied;
}

records_digest digest_of(const record_key& key, revision changed_at)
{
    return hash_of(absl::StrCat(key.kind, "/", key.name, "@", changed_at.value));
}

configuration_snapshot snapshot_of(const applied_configuration& state)
{
    configuration_snapshot snapshot{.number = state.number, .records = {}, .digest = state.digest};
    for (const auto& [key, record] : state.records) {
        snapshot.records.push_back(record);
    }
    return snapshot;
}

} // namespace dandelionstep
