#include "request/shared_suspects.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Bounds the size of a message: a report takes some 200 bytes.
constexpr std::size_t max_reports = 128;

} // namespace

void share(shared_suspects& known, request_fingerprint request)
{
    std::erase_if(known.shared,
                  [&known](request_fingerprint one) { return !known.table.suspects.contains(one); });
    known.shared.insert(request);
    note_change(known.changes, request);
}

std::vector<request_fingerprint> merge_reports(shared_suspects& known,
                                               const std::vector<suspect_report>& reports, time_point now)
{
    std::vector<request_fingerprint> changed;
    for (const suspect_report& report : reports) {
        if (merge(known.table, {report}, now)) {
            share(known, report.fingerprint);
            changed.push_back(report.fingerprint);
        }
    }
    return changed;
}

suspect_update updates_since(const shared_suspects& known, std::optional<std::int64_t> sequence,
                             time_point now)
{
    suspect_update update;
    update.sequence = known.changes.sequence;
    const auto changed = sequence ? changed_since(known.changes, *sequence) : std::nullopt;
    for (const request_fingerprint request : changed ? *changed : known.shared) {
        if (known.table.suspects.contains(request)) {
            update.reports.push_back(report_of(known.table, request, now));
        }
    }
    std::ranges::stable_sort(update.reports, {}, &suspect_report::age);
    update.reports.resize(std::min(update.reports.size(), max_reports));
    return update;
}

suspect_report report_of(const suspect_table& table, request_fingerprint request, time_point now)
{
    const suspect& found = table.suspects.at(request);
    return {request, {found.takedowns.begin(), found.takedowns.end()}, now - found.last, found.finished};
}

} // namespace dandelionstep
