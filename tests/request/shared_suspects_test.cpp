#include "request/shared_suspects.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr time_point start{1'000'000};
constexpr request_fingerprint crasher{1};

void note_crash_of(shared_suspects& known, request_fingerprint request, std::int64_t target)
{
    note_crash(known.table, request, crash_id{target}, {}, start);
}

} // namespace

TEST_CASE("only shared suspects are reported, and each change once")
{
    shared_suspects known;
    note_crash_of(known, crasher, 1);
    CHECK(updates_since(known, std::nullopt, start).reports.empty());
    share(known, crasher);
    const suspect_update first = updates_since(known, std::nullopt, start);
    REQUIRE(first.reports.size() == 1);
    CHECK(first.reports.front().fingerprint == crasher);
    CHECK(updates_since(known, first.sequence, start).reports.empty());
    note_crash_of(known, crasher, 2);
    share(known, crasher);
    CHECK(updates_since(known, first.sequence, start).reports.front().takedowns.size() == 2);
}

TEST_CASE("a daemon that asks for changes no longer in the log gets all shared suspects")
{
    shared_suspects known;
    note_crash_of(known, crasher, 1);
    share(known, crasher);
    CHECK(updates_since(known, 7'000, start).reports.size() == 1);
}

TEST_CASE("reports of another daemon are shared further only if they change anything")
{
    shared_suspects known;
    const std::vector<suspect_report> reports{{crasher, {{crash_id{1}, {}}}, {0}, false}};
    CHECK(merge_reports(known, reports, start) == std::vector<request_fingerprint>{crasher});
    const std::int64_t after = known.changes.sequence;
    CHECK(merge_reports(known, reports, start).empty());
    CHECK(known.changes.sequence == after);
}

TEST_CASE("a message contains a bounded number of suspects, the most recent ones")
{
    shared_suspects known;
    constexpr std::int64_t suspects = 500;
    for (std::int64_t i = 1; i <= suspects; ++i) {
        note_crash(known.table, request_fingerprint{i}, crash_id{i}, {}, start + milliseconds{i});
        share(known, request_fingerprint{i});
    }
    const suspect_update update = updates_since(known, std::nullopt, start + milliseconds{suspects});
    CHECK(update.reports.size() < suspects);
    CHECK(update.reports.front().fingerprint == request_fingerprint{suspects});
}

TEST_CASE("expired suspects are no longer reported")
{
    shared_suspects known;
    note_crash_of(known, crasher, 1);
    share(known, crasher);
    expire(known.table, start + known.table.limits.lifetime);
    CHECK(updates_since(known, std::nullopt, start).reports.empty());
    share(known, request_fingerprint{2});
    CHECK_FALSE(known.shared.contains(crasher));
}
