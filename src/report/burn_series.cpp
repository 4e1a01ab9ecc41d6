#include "report/burn_series.hpp"

#include "common/json.hpp"

namespace dandelionstep {
namespace {

constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 60 * minute_ms;
constexpr std::int64_t day_ms = 24 * hour_ms;

using buckets = std::map<std::int64_t, event_counts>;

void count_in(buckets& into, std::int64_t bucket, std::int64_t kept, bool good)
{
    into[bucket] += good ? event_counts{1, 0} : event_counts{0, 1};
    into.erase(into.begin(), into.upper_bound(bucket - kept));
}

void add_buckets(buckets& into, const buckets& other)
{
    for (const auto& [bucket, counts] : other) {
        into[bucket] += counts;
    }
}

event_counts sum_after(const buckets& from, std::int64_t last_excluded)
{
    event_counts sum;
    for (auto bucket = from.upper_bound(last_excluded); bucket != from.end(); ++bucket) {
        sum += bucket->second;
    }
    return sum;
}

json to_json_buckets(const buckets& from)
{
    json list = json::array();
    for (const auto& [bucket, counts] : from) {
        list.push_back({bucket, counts.good, counts.bad});
    }
    return list;
}

absl::StatusOr<buckets> parse_buckets(const json& object, const char* name)
{
    constexpr std::size_t members = 3;
    buckets parsed;
    const auto list = object.find(name);
    if (list == object.end() || !list->is_array()) {
        return absl::InvalidArgumentError(std::string("member \"") + name + "\" must be a list");
    }
    for (const json& entry : *list) {
        if (!entry.is_array() || entry.size() != members || !entry[0].is_number_integer() ||
            !entry[1].is_number_integer() || !entry[2].is_number_integer()) {
            return absl::InvalidArgumentError(std::string("member \"") + name +
                                              "\" must hold [bucket, good, bad]");
        }
        parsed[entry[0].get<std::int64_t>()] +=
            event_counts{entry[1].get<std::int64_t>(), entry[2].get<std::int64_t>()};
    }
    return parsed;
}

} // namespace

void record_event(burn_table& table, const burn_key& key, bool good, wall_time now)
{
    const bool full = table.size() >= max_burn_series && !table.contains(key);
    burn_series& series = table[full ? burn_key{key.service, organisation_id("other")} : key];
    count_in(series.minutes, now.count / minute_ms, kept_minutes, good);
    count_in(series.hours, now.count / hour_ms, kept_hours, good);
    count_in(series.days, now.count / day_ms, kept_days, good);
}

void merge(burn_table& table, const burn_table& other)
{
    for (const auto& [key, series] : other) {
        burn_series& into = table[key];
        add_buckets(into.minutes, series.minutes);
        add_buckets(into.hours, series.hours);
        add_buckets(into.days, series.days);
    }
}

event_counts counts_within(const burn_series& series, milliseconds window, wall_time now)
{
    // The finest buckets that reach back far enough.
    if (window.count <= kept_minutes * minute_ms) {
        return sum_after(series.minutes, (now.count - window.count) / minute_ms);
    }
    if (window.count <= kept_hours * hour_ms) {
        return sum_after(series.hours, (now.count - window.count) / hour_ms);
    }
    return sum_after(series.days, (now.count - window.count) / day_ms);
}

json to_json(const burn_table& table)
{
    json list = json::array();
    for (const auto& [key, series] : table) {
        list.push_back({{"service", key.service},
                        {"organisation", key.organisation.value},
                        {"minutes", to_json_buckets(series.minutes)},
                        {"hours", to_json_buckets(series.hours)},
                        {"days", to_json_buckets(series.days)}});
    }
    return list;
}

absl::StatusOr<burn_table> parse_burn_table(const json& value)
{
    if (!value.is_array()) {
        return absl::InvalidArgumentError("a burn table must be a list");
    }
    burn_table table;
    for (const json& entry : value) {
        auto service = string_member(entry, "service");
        auto organisation = string_member(entry, "organisation");
        auto minutes = parse_buckets(entry, "minutes");
        auto hours = parse_buckets(entry, "hours");
        auto days = parse_buckets(entry, "days");
        for (const absl::Status& status :
             {service.status(), organisation.status(), minutes.status(), hours.status(), days.status()}) {
            if (!status.ok()) {
                return status;
            }
        }
        merge(table,
              {{burn_key{*service, organisation_id(*organisation)}, burn_series{*minutes, *hours, *days}}});
    }
    return table;
}

} // namespace dandelionstep
