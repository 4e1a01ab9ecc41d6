#include "request/suspects.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace dandelionstep {
namespace {

// Keeps the smallest ids, so that the result of merging does not depend on the order.
void limit_size(std::map<crash_id, crash_place>& takedowns, std::size_t bound)
{
    while (takedowns.size() > bound) {
        takedowns.erase(std::prev(takedowns.end()));
    }
}

// Two requests with the same fingerprint may have been in flight on the same target; the earlier place is
// kept.
void add_crash(suspect& to, crash_id crash, crash_place place)
{
    const auto [entry, added] = to.takedowns.emplace(crash, place);
    entry->second = std::min(entry->second, place);
}

// The largest number of crashes at one place of the answer: a request that crashes its targets does not get
// past it.
std::size_t crashes_at_one_place(const suspect& each)
{
    std::map<crash_place, std::size_t> crashes;
    std::size_t most = 0;
    for (const auto& [crash, place] : each.takedowns) {
        most = std::max(most, ++crashes[place]);
    }
    return most;
}

bool is_expired(const suspect_table& table, const suspect& each, time_point now)
{
    return now - each.last >= table.limits.lifetime;
}

bool less_suspicious(const suspect& a, const suspect& b)
{
    if (a.takedowns.size() != b.takedowns.size()) {
        return a.takedowns.size() < b.takedowns.size();
    }
    return a.last < b.last;
}

const suspect* find_suspect(const suspect_table& table, request_fingerprint request, time_point now)
{
    const auto found = table.suspects.find(request);
    const bool known = found != table.suspects.end() && !is_expired(table, found->second, now);
    return known ? &found->second : nullptr;
}

std::size_t crashes_to_block(const suspect_table& table, request_fingerprint request, time_point now)
{
    const bool was_recently_answered = last_answer(table.answered, request, now).has_value();
    return was_recently_answered ? table.limits.block_answered_at : table.limits.block_at;
}

enum class explained_by { at_least_as_many_crashes, more_crashes };

// Whether another request was in flight on all of the same crashed targets, so that this one may be harmless.
bool is_explained_by_another(const suspect_table& table, request_fingerprint request, const suspect& each,
                             explained_by how)
{
    const std::size_t least = each.takedowns.size() + (how == explained_by::more_crashes ? 1 : 0);
    return std::any_of(table.suspects.begin(), table.suspects.end(), [&](const auto& entry) {
        const suspect& other = entry.second;
        if (entry.first == request || other.finished || other.takedowns.size() < least) {
            return false;
        }
        return std::all_of(each.takedowns.begin(), each.takedowns.end(),
                           [&](const auto& crash) { return other.takedowns.contains(crash.first); });
    });
}

bool may_be_blocked(const suspect_table& table, request_fingerprint request, const suspect& each,
                    std::size_t unconfirmed, time_point now)
{
    return crashes_at_one_place(each) + unconfirmed >= crashes_to_block(table, request, now) &&
           !is_explained_by_another(table, request, each, explained_by::at_least_as_many_crashes);
}

bool is_blocked(const suspect_table& table, request_fingerprint request, const suspect& each, time_point now)
{
    return now - each.last >= table.limits.propagation_time && may_be_blocked(table, request, each, 0, now);
}

bool merge_one(suspect_table& table, const suspect_report& report, time_point now)
{
    const bool is_known = table.suspects.contains(report.fingerprint);
    if (report.age >= table.limits.lifetime || (report.takedowns.empty() && !is_known)) {
        return false;
    }
    suspect& own = table.suspects[report.fingerprint];
    const std::map<crash_id, crash_place> before = own.takedowns;
    for (const auto& [crash, place] : report.takedowns) {
        add_crash(own, crash, place);
    }
    limit_size(own.takedowns, table.limits.max_crashes);
    const bool finished_before = own.finished;
    own.finished = own.finished || report.finished;
    // Only a new crash renews a suspect: reported ages leave out the time in transit, so suspects that
    // daemons report to each other would otherwise never expire.
    if (own.takedowns != before) {
        own.last = before.empty() ? now - report.age : std::max(own.last, now - report.age);
    }
    return own.takedowns != before || own.finished != finished_before;
}

std::set<target_id> union_of(std::set<target_id> a, const std::set<target_id>& b)
{
    a.insert(b.begin(), b.end());
    return a;
}

} // namespace

request_fingerprint fingerprint_of(const model_id& model, std::string_view prompt)
{
    return {content_digest(absl::StrCat(model.value, "\n", std::string(prompt)))};
}

request_fingerprint fingerprint_of(const organisation_id& organisation, std::string_view target,
                                   std::string_view body)
{
    // The lengths at the beginning make the text unambiguous: different requests give different texts.
    return {content_digest(absl::StrCat(organisation.value.size(), "\n", target.size(), "\n",
                                        organisation.value, absl::string_view(target.data(), target.size()),
                                        absl::string_view(body.data(), body.size())))};
}

crash_id crash_id_of(const target_id& target, incarnation started)
{
    return {content_digest(absl::StrCat(target.value, "\n", started.value))};
}

void note_crash(suspect_table& table, request_fingerprint request, crash_id crash, crash_place place,
                time_point now)
{
    suspect& found = table.suspects[request];
    if (is_expired(table, found, now)) {
        found = {};
    }
    add_crash(found, crash, place);
    limit_size(found.takedowns, table.limits.max_crashes);
    found.last = now;
    expire(table, now);
}

bool note_finished(suspect_table& table, request_fingerprint request, time_point now)
{
    note_answered(table.answered, request, now);
    const auto found = table.suspects.find(request);
    return found != table.suspects.end() && !std::exchange(found->second.finished, true);
}

suspect_status suspect_status_of(const suspect_table& table, request_fingerprint request,
                                 std::size_t unconfirmed, time_point now)
{
    const suspect* found = find_suspect(table, request, now);
    if (found != nullptr && found->finished) {
        return suspect_status::clear;
    }
    const std::size_t crashes = unconfirmed + (found == nullptr ? 0 : found->takedowns.size());
    if (crashes == 0) {
        return suspect_status::clear;
    }
    if (found == nullptr) {
        return suspect_status::suspected;
    }
    const bool blocked = is_blocked(table, request, *found, now) ||
                         (crashes >= table.limits.always_block_at &&
                          !is_explained_by_another(table, request, *found, explained_by::more_crashes));
    return blocked ? suspect_status::blocked : suspect_status::suspected;
}

milliseconds held_for(const suspect_table& table, request_fingerprint request, std::size_t unconfirmed,
                      time_point now)
{
    const suspect* found = find_suspect(table, request, now);
    if (found == nullptr || found->finished) {
        return {0};
    }
    if (suspect_status_of(table, request, unconfirmed, now) == suspect_status::blocked) {
        return expires_in(table, request, now);
    }
    if (!may_be_blocked(table, request, *found, unconfirmed, now)) {
        return {0};
    }
    // Until every daemon knows the last crash. The time for an unconfirmed crash has not started yet.
    const milliseconds since = unconfirmed > 0 ? milliseconds{0} : now - found->last;
    return std::max(table.limits.propagation_time - since, milliseconds{1});
}

milliseconds expires_in(const suspect_table& table, request_fingerprint request, time_point now)
{
    const suspect* found = find_suspect(table, request, now);
    return found == nullptr ? milliseconds{0} : table.limits.lifetime - (now - found->last);
}

milliseconds resume_delay(const suspect_table& table, request_fingerprint request, crash_place place,
                          time_point now)
{
    const suspect* found = find_suspect(table, request, now);
    if (found == nullptr || found->finished) {
        return {0};
    }
    const bool crashed_here_before = std::any_of(found->takedowns.begin(), found->takedowns.end(),
                                                 [&](const auto& crash) { return crash.second == place; });
    return crashed_here_before ? table.limits.propagation_time * 2 : milliseconds{0};
}

std::vector<suspect_report> reports_of(const suspect_table& table, std::size_t max_reports, time_point now)
{
    std::vector<suspect_report> reports;
    for (const auto& [fingerprint, each] : table.suspects) {
        if (!is_expired(table, each, now)) {
            reports.push_back({fingerprint,
                               {each.takedowns.begin(), each.takedowns.end()},
                               now - each.last,
                               each.finished});
        }
    }
    std::stable_sort(reports.begin(), reports.end(),
                     [](const suspect_report& a, const suspect_report& b) { return a.age < b.age; });
    reports.resize(std::min(reports.size(), max_reports));
    return reports;
}

bool merge(suspect_table& table, const std::vector<suspect_report>& reports, time_point now)
{
    bool has_changes = false;
    for (const suspect_report& report : reports) {
        has_changes = merge_one(table, report, now) || has_changes;
    }
    expire(table, now);
    return has_changes;
}

void expire(suspect_table& table, time_point now)
{
    std::erase_if(table.suspects, [&](const auto& each) { return is_expired(table, each.second, now); });
    while (table.suspects.size() > table.limits.max_suspects) {
        table.suspects.erase(
            std::min_element(table.suspects.begin(), table.suspects.end(), [](const auto& a, const auto& b) {
                return less_suspicious(a.second, b.second);
            }));
    }
}

std::vector<std::set<target_id>> targets_to_avoid(suspect_status status, const std::set<target_id>& excluded,
                                                  const std::set<target_id>& busy,
                                                  const std::set<target_id>& running_suspects)
{
    std::vector<std::set<target_id>> preferences;
    const std::set<target_id> avoid_suspects = union_of(excluded, running_suspects);
    if (status == suspect_status::suspected) {
        preferences.push_back(union_of(avoid_suspects, busy));
    }
    if (!running_suspects.empty()) {
        preferences.push_back(avoid_suspects);
    }
    preferences.push_back(excluded);
    return preferences;
}

} // namespace dandelionstep
