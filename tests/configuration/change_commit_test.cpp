#include "configuration/fake_table.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// Advances the session until its next action is the transaction.
void reach_commit(operator_session& session, fake_table& table)
{
    while (!std::holds_alternative<table_transaction>(session.next)) {
        REQUIRE(step(session, table));
    }
}

} // namespace

TEST_CASE("an accepted change increments the revision by one and stores it as changed_at of its records")
{
    fake_table table;
    CHECK(apply_now(table, one_record("a", drain_record("e1"))).number == revision{1});
    const change_answer second = apply_now(table, one_record("b", drain_record("e2")));
    CHECK(second.result == outcome::completed);
    CHECK(second.number == revision{2});
    CHECK(table.record({"drain", "e1"})->changed_at == revision{1});
    CHECK(table.record({"drain", "e2"})->changed_at == revision{2});
}

TEST_CASE(
    "of two operators who change one record at the same time, one gets a conflict that names the record")
{
    fake_table table;
    operator_session first = begin(one_record("a", drain_record("e1")));
    operator_session second = begin(one_record("b", drain_record("e1")));
    reach_commit(first, table);
    reach_commit(second, table);
    CHECK(finish(first, table).result == outcome::completed);
    const change_answer refused = finish(second, table);
    CHECK(refused.result == outcome::not_run);
    CHECK(refused.code == error_code::conflict);
    CHECK(refused.message.find("drain/e1") != std::string::npos);
}

TEST_CASE("two operators who change different records at the same time both succeed")
{
    fake_table table;
    operator_session first = begin(one_record("a", drain_record("e1")));
    operator_session second = begin(one_record("b", drain_record("e2")));
    reach_commit(first, table);
    reach_commit(second, table);
    CHECK(finish(first, table).number == revision{1});
    CHECK(finish(second, table).number == revision{2});
}

TEST_CASE("a change is refused if the record is not at the revision that the operator expects")
{
    struct row {
        const char* name = "";
        std::optional<revision> expected_revision;
        outcome expected = outcome::not_run;
    };
    const row rows[] = {{"expects the current revision", revision{1}, outcome::completed},
                        {"expects no record", revision{0}, outcome::not_run},
                        {"expects another revision", revision{7}, outcome::not_run},
                        {"expects nothing", {}, outcome::completed}};
    for (const row& each : rows) {
        CAPTURE(each.name);
        fake_table table;
        apply_now(table, one_record("a", drain_record("e1")));
        const change_answer answer =
            apply_now(table, one_record("b", drain_record("e1"), each.expected_revision));
        CHECK(answer.result == each.expected);
        CHECK(answer.message.find("drain/e1") ==
              (each.expected == outcome::completed ? std::string::npos : 8));
    }
}

TEST_CASE("a change whose answer was lost is accepted once, and a repeat with its id succeeds")
{
    struct row {
        const char* name;
        table_fault write;
        int reads_that_fail;
        outcome first;
        outcome repeated;
    };
    const row rows[] = {
        {"answer lost", table_fault::lost_answer, 0, outcome::completed, outcome::completed},
        {"request lost", table_fault::lost_request, 0, outcome::completed, outcome::completed},
        {"executed late", table_fault::late_execution, 0, outcome::completed, outcome::completed},
        {"answer lost, the read after it fails", table_fault::lost_answer, 1, outcome::unknown,
         outcome::completed},
        {"request lost, the read after it fails", table_fault::lost_request, 1, outcome::unknown,
         outcome::completed},
        {"executed late, the read after it fails", table_fault::late_execution, 1, outcome::unknown,
         outcome::completed},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        fake_table table;
        operator_session session = begin(one_record("a", drain_record("e1")));
        reach_commit(session, table);
        step(session, table, each.write);
        if (each.reads_that_fail > 0) {
            step(session, table, table_fault::refused);
        }
        const change_answer answer = finish(session, table);
        CHECK(answer.result == each.first);
        CHECK((answer.message.find("\"a\"") != std::string::npos) == (each.first == outcome::unknown));
        CHECK(apply_now(table, one_record("a", drain_record("e1")), true).result == each.repeated);
        table.execute_late();
        CHECK(table.times_accepted(change_id("a")) == 1);
        CHECK(table.counter().number == revision{1});
    }
}

TEST_CASE("a change id can't be used for another change")
{
    fake_table table;
    apply_now(table, one_record("a", drain_record("e1")));
    const change_answer answer = apply_now(table, one_record("a", drain_record("e2")), true);
    CHECK(answer.result == outcome::not_run);
    CHECK(answer.code == error_code::key_reused);
}

TEST_CASE("a change is refused immediately while the store is unavailable")
{
    fake_table table;
    operator_session session = begin(one_record("a", drain_record("e1")));
    CHECK_FALSE(step(session, table, table_fault::refused));
    const auto answer = std::get<change_answer>(session.next);
    CHECK(answer.result == outcome::not_run);
    CHECK(answer.code == error_code::store_unavailable);
}

TEST_CASE("a writer with an older schema does not remove the members of a newer one")
{
    fake_table table;
    configuration_record newer;
    newer.key = {"organisation", "makers"};
    newer.schema_version = newest_schema_version + 1;
    newer.body = {{"token_sha256", "t"}, {"weight", 2}, {"max_in_flight", 9}, {"burst_of_v2", 5}};
    REQUIRE(apply_now(table, one_record("a", newer)).result == outcome::completed);
    configuration_record older;
    older.key = newer.key;
    older.body = {{"token_sha256", "t"}, {"weight", 3}};
    REQUIRE(apply_now(table, one_record("b", older)).result == outcome::completed);
    const configuration_record stored = *table.record(newer.key);
    CHECK(stored.body == json{{"token_sha256", "t"}, {"weight", 3}, {"burst_of_v2", 5}});
    CHECK(stored.schema_version == newer.schema_version);
}

TEST_CASE("a record that a live daemon can't read is refused, and the refusal names those daemons")
{
    fake_table table;
    configuration_record newer = drain_record("e1");
    newer.schema_version = 2;
    const std::vector<schema_reader> readers{{vm_id("vm0"), 2}, {vm_id("vm1"), 1}, {vm_id("vm2"), 1}};
    operator_session session = begin(one_record("a", newer), false, readers);
    const change_answer answer = finish(session, table);
    CHECK(answer.result == outcome::not_run);
    CHECK(answer.message.find("vm1, vm2") != std::string::npos);
    CHECK(answer.message.find("vm0") == std::string::npos);
    CHECK(table.counter().number == revision{0});
}

TEST_CASE("a deleted record stays as a tombstone and can be written again")
{
    fake_table table;
    apply_now(table, one_record("a", drain_record("e1")));
    configuration_record removal = drain_record("e1");
    removal.deleted = true;
    CHECK(apply_now(table, one_record("b", removal, revision{1})).result == outcome::completed);
    CHECK(table.record(removal.key)->deleted);
    CHECK(apply_now(table, one_record("c", drain_record("e1"), revision{1})).code == error_code::conflict);
    CHECK(apply_now(table, one_record("d", drain_record("e1"), revision{2})).result == outcome::completed);
}

TEST_CASE("the numbers of changes in the log and of stored change ids are bounded")
{
    fake_table table;
    table.keeps_history = false;
    for (std::int64_t i = 0; i < kept_changes + 40; ++i) {
        apply_now(table, one_record("id" + std::to_string(i), drain_record("e" + std::to_string(i % 3))));
    }
    CHECK(table.counter().number == revision{kept_changes + 40});
    CHECK(table.rows().size() == static_cast<std::size_t>(2 * kept_changes + 3 + 1));
}
