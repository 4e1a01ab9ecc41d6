#include "configuration/applied.hpp"

namespace dandelionstep {
namespace {

void put_record(applied_configuration& state, const configuration_record& record)
{
    // A snapshot may be ahead of the log that is replayed onto it; a record never goes back to an older
    // write.
    const auto known = state.records.find(record.key);
    if (known != state.records.end() && known->second.changed_at > record.changed_at) {
        return;
    }
    const absl::Status status = apply_record(state.declared, record);
    if (status.ok()) {
        state.unreadable.erase(record.key);
    } else {
        state.unreadable[record.key] = std::string(status.message());
    }
    state.records[record.key] = record;
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
    for (const configuration_record& record : change.records) {
        put_record(state, record);
    }
    state.number = change.number;
    return apply_result::applied;
}

apply_result apply_snapshot(applied_configuration& state, const configuration_snapshot& snapshot)
{
    if (snapshot.number <= state.number) {
        return apply_result::already_known;
    }
    applied_configuration fresh;
    for (const configuration_record& record : snapshot.records) {
        put_record(fresh, record);
    }
    fresh.number = snapshot.number;
    state = std::move(fresh);
    return apply_result::applied;
}

configuration_snapshot snapshot_of(const applied_configuration& state)
{
    configuration_snapshot snapshot{.number = state.number, .records = {}};
    for (const auto& [key, record] : state.records) {
        snapshot.records.push_back(record);
    }
    return snapshot;
}

} // namespace dandelionstep
