// Point: a change is accepted once or not at all, and its operator is never told otherwise, whatever the
// table's faults and however operators race.
#include "configuration/fake_table.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr int runs = 20000;
constexpr std::size_t sessions_per_run = 6;

struct told {
    change_id id;
    std::vector<change_answer> answers;
};

table_fault pick_fault(std::mt19937_64& random)
{
    constexpr table_fault faults[] = {table_fault::none,        table_fault::none,
                                      table_fault::none,        table_fault::none,
                                      table_fault::refused,     table_fault::lost_request,
                                      table_fault::lost_answer, table_fault::late_execution,
                                      table_fault::stale,       table_fault::stale};
    return faults[random() % std::size(faults)];
}

// A session: a fresh change, or the repeat of an earlier one under its id.
operator_session begin_any(std::mt19937_64& random, std::vector<told>& all, std::vector<std::size_t>& owner)
{
    const bool repeated = !all.empty() && random() % 3 == 0;
    if (!repeated) {
        all.push_back({change_id("change" + std::to_string(all.size())), {}});
    }
    const std::size_t which = repeated ? random() % all.size() : all.size() - 1;
    owner.push_back(which);
    // What the change writes, and what its writer saw, follow from its number, so that a repeat is the same.
    const auto expected_revision =
        which % 2 == 0 ? std::optional<revision>() : revision{static_cast<std::int64_t>(which % 4)};
    return begin(
        one_record(all[which].id.value, drain_record("e" + std::to_string(which % 3)), expected_revision),
        repeated);
}

void run_once(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    fake_table table;
    std::vector<told> all;
    std::vector<std::size_t> owner;
    std::vector<operator_session> sessions;
    for (std::size_t i = 0; i < sessions_per_run; ++i) {
        sessions.push_back(begin_any(random, all, owner));
    }
    std::vector<bool> finished(sessions.size(), false);
    while (std::ranges::find(finished, false) != finished.end()) {
        const std::size_t which = random() % sessions.size();
        if (!finished[which] && !step(sessions[which], table, pick_fault(random), random())) {
            finished[which] = true;
            all[owner[which]].answers.push_back(std::get<change_answer>(sessions[which].next));
        }
        if (random() % 8 == 0) {
            table.execute_late();
        }
    }
    table.execute_late();
    int accepted = 0;
    for (const told& each : all) {
        const int times = table.times_accepted(each.id);
        accepted += times;
        CHECK(times <= 1);
        // Only the last answer may say that nothing was written: a repeat may have come after it.
        for (const change_answer& answer : each.answers) {
            if (answer.result == outcome::completed) {
                CHECK(times == 1);
            }
        }
        const bool all_not_run = std::ranges::all_of(
            each.answers, [](const change_answer& answer) { return answer.result == outcome::not_run; });
        if (all_not_run) {
            CHECK(times == 0);
        }
    }
    CHECK(table.counter().number == revision{accepted});
    records_digest digest = 0;
    for (const auto& [key, row] : table.rows()) {
        if (key.starts_with(record_rows)) {
            const configuration_record record = *parse_record(row.value);
            digest += digest_of(record.key, record.changed_at);
        }
    }
    CHECK(table.counter().digest == digest);
}

} // namespace

TEST_CASE("a change is accepted once or not at all, as its operator is told")
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        run_once(seed);
    }
}
