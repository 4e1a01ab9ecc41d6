// Guards against changes that are accepted twice and against false answers to operators. Both can come about
// when the table loses or delays a request, returns stale rows, or several operators commit at the same time.
#include "configuration/fake_table.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr int runs = 20000;
constexpr std::size_t sessions_per_run = 6;

struct submitted_change {
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

// Starts a session with a new change, or with an earlier change and its id again.
operator_session begin_any(std::mt19937_64& random, std::vector<submitted_change>& all,
                           std::vector<std::size_t>& change_of_session)
{
    const bool repeated = !all.empty() && random() % 3 == 0;
    if (!repeated) {
        all.push_back({change_id("change" + std::to_string(all.size())), {}});
    }
    const std::size_t which = repeated ? random() % all.size() : all.size() - 1;
    change_of_session.push_back(which);
    // The content depends on the index of the change alone, so that a repeated change is identical.
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
    std::vector<submitted_change> all;
    std::vector<std::size_t> change_of_session;
    std::vector<operator_session> sessions;
    for (std::size_t i = 0; i < sessions_per_run; ++i) {
        sessions.push_back(begin_any(random, all, change_of_session));
    }
    std::vector<bool> finished(sessions.size(), false);
    while (std::ranges::find(finished, false) != finished.end()) {
        const std::size_t which = random() % sessions.size();
        if (!finished[which] && !step(sessions[which], table, pick_fault(random), random())) {
            finished[which] = true;
            all[change_of_session[which]].answers.push_back(std::get<change_answer>(sessions[which].next));
        }
        if (random() % 8 == 0) {
            table.execute_late();
        }
    }
    table.execute_late();
    int accepted = 0;
    for (const submitted_change& each : all) {
        const int times = table.times_accepted(each.id);
        accepted += times;
        CHECK(times <= 1);
        for (const change_answer& answer : each.answers) {
            if (answer.result == outcome::completed) {
                CHECK(times == 1);
            }
        }
        // A repeat may be accepted after a not_run, so the check needs all answers to be not_run.
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

TEST_CASE("a change is accepted at most once, and its operator gets a true answer")
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        run_once(seed);
    }
}
