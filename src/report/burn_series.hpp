#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "common/json_types.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace dandelionstep {

//! Good and bad requests.
struct event_counts {
    std::int64_t good = 0;
    std::int64_t bad = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend auto operator<=>(const event_counts&, const event_counts&) = default;
    event_counts& operator+=(const event_counts& other)
    {
        this->good += other.good;
        this->bad += other.bad;
        return *this;
    }
};

//! Whose requests are counted: one model or service, and one organisation.
struct burn_key {
    std::string service;
    organisation_id organisation;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend auto operator<=>(const burn_key&, const burn_key&) = default;
};

//! Counts by civil minute, hour and day, each kept for a bounded time.
struct burn_series {
    std::map<std::int64_t, event_counts> minutes;
    std::map<std::int64_t, event_counts> hours;
    std::map<std::int64_t, event_counts> days;
};

inline constexpr std::int64_t kept_minutes = 120;
inline constexpr std::int64_t kept_hours = 96;
inline constexpr std::int64_t kept_days = 31;

//! Pairs of service and organisation that one daemon counts apart; further ones share the organisation
//! "other".
inline constexpr std::size_t max_burn_series = 4096;

using burn_table = std::map<burn_key, burn_series>;

//! Counts one request at the civil time and drops what is too old.
void record_event(burn_table& table, const burn_key& key, bool good, wall_time now);

//! Adds another daemon's counts; the order of merges does not matter.
void merge(burn_table& table, const burn_table& other);

//! The counts of the last `window`, up to and with the current bucket.
event_counts counts_within(const burn_series& series, milliseconds window, wall_time now);

json to_json(const burn_table& table);
absl::StatusOr<burn_table> parse_burn_table(const json& value);

} // namespace dandelionstep
