#include "vm/lease.hpp"

#include "common/json.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// More than versions in one era.
constexpr std::int64_t fencing_numbers_per_era = 1'000'000'000'000;

std::int64_t first_fencing_number(store_era era)
{
    return era.value * fencing_numbers_per_era;
}

// Where the store tells eras the row's version is part of the number: a write of an older era may have
// replaced the row of this era's holder, and with it the number.
std::int64_t next_fencing_number(const lease_state& state)
{
    if (state.era.value == 0) {
        return state.known.fencing_number + 1;
    }
    const std::int64_t given =
        first_fencing_number(state.era) + std::max(state.row_version, state.newest_version);
    return std::max(state.known.fencing_number, given) + 1;
}

bool is_same_process(const lease_record& a, const lease_record& b)
{
    return a.holder == b.holder && a.process == b.process;
}

bool may_have_holder_of_earlier_era(const lease_state& state, const lease_times& times,
                                    const lease_record& self, time_point now)
{
    return state.era_began_at > time_point{0} && now - state.era_began_at < times.duration &&
           !state.before_era.holder.value.empty() && !is_same_process(state.before_era, self);
}

} // namespace

std::string to_text(const lease_record& record)
{
    return dump({{"holder", record.holder.value},
                 {"process", std::to_string(record.process)},
                 {"fencing_number", record.fencing_number},
                 {"renewals", record.renewals},
                 {"serving", record.serving}});
}

absl::StatusOr<lease_record> parse_lease(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    // An empty holder is valid: it marks a released lease.
    const absl::StatusOr<std::string> holder = string_member(*parsed, "holder");
    const absl::StatusOr<std::int64_t> number = integer_member(*parsed, "fencing_number");
    if (!holder.ok() || !number.ok()) {
        return absl::InvalidArgumentError("the lease's row has no holder or no fencing number");
    }
    lease_record record;
    record.holder = vm_id(*holder);
    record.process = number_in_text(*parsed, "process");
    record.fencing_number = *number;
    record.renewals = integer_or(*parsed, "renewals", 0);
    record.serving = boolean_or(*parsed, "serving", false);
    return record;
}

void begin_era(lease_state& state, store_era era, time_point now)
{
    state.era = era;
    state.era_began_at = now;
    state.before_era = state.known;
    state.row_version = 0;
    state.newest_version = 0;
    state.is_known = false;
    state.mine_until = {0};
}

void note_lease_absent(lease_state& state, std::int64_t version, time_point now)
{
    if (state.is_known && version < state.row_version) {
        // This result is older than the row that is already known.
        return;
    }
    state.row_version = 0;
    state.newest_version = std::max(state.newest_version, version);
    state.is_known = true;
    state.changed_at = now;
    state.mine_until = {0};
}

void note_lease_row(lease_state& state, const lease_record& record, std::int64_t version, time_point now)
{
    if (state.is_known && version <= state.row_version) {
        return;
    }
    if (!is_same_process(record, state.known) || record.fencing_number != state.known.fencing_number) {
        state.mine_until = {0};
    }
    state.known = record;
    state.row_version = version;
    state.is_known = true;
    state.changed_at = now;
}

bool holds_lease(const lease_state& state, time_point now)
{
    return now < state.mine_until;
}

bool should_write_lease(const lease_state& state, const lease_times& times, const lease_record& self,
                        time_point now)
{
    if (state.writing || !state.is_known) {
        return false;
    }
    if (holds_lease(state, now)) {
        return now - state.renewed_at >= times.renew_after;
    }
    if (may_have_holder_of_earlier_era(state, times, self, now)) {
        return false;
    }
    if (state.row_version == 0 || state.known.holder.value.empty() || is_same_process(state.known, self)) {
        return true;
    }
    return now - state.changed_at >= times.duration;
}

lease_record released_lease(const lease_state& state)
{
    // The row is kept, because the fencing numbers would start over if it were removed.
    lease_record released = state.known;
    released.holder = {};
    released.process = 0;
    return released;
}

lease_record next_lease(const lease_state& state, const lease_record& self)
{
    lease_record next = self;
    // A row of an older era may have been taken by others since, whose writes are gone.
    const bool renews = is_same_process(state.known, self) && state.row_version > 0 &&
                        state.known.fencing_number >= first_fencing_number(state.era);
    next.fencing_number = renews ? state.known.fencing_number : next_fencing_number(state);
    next.renewals = state.known.renewals + 1;
    next.serving = self.serving || (state.row_version > 0 && state.known.serving);
    return next;
}

void note_lease_written(lease_state& state, const lease_record& written, std::int64_t version,
                        const lease_times& times, time_point sent_at, time_point now)
{
    state.known = written;
    state.row_version = version;
    state.is_known = true;
    state.changed_at = now;
    state.renewed_at = sent_at;
    state.mine_until = sent_at + times.duration - times.margin;
}

} // namespace dandelionstep
