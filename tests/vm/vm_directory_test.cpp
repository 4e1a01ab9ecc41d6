#include "vm/vm_directory.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace dandelionstep;

namespace {

vm_record record_of(const std::string& vm, const std::string& data_centre)
{
    vm_record record;
    record.vm = vm_id(vm);
    record.data_centre = data_centre_id(data_centre);
    return record;
}

} // namespace

TEST_CASE("only daemons whose rows still change count as live")
{
    vm_directory directory;
    const vm_self self{vm_id("self"), data_centre_id("n"), {}};
    note_vm(directory, record_of("a", "n"), 1, {0});
    note_vm(directory, record_of("b", "n"), 2, {0});
    note_vm(directory, record_of("c", "p"), 3, {0});
    CHECK(count_vms(directory, self, {1'000}).all == 4);
    CHECK(count_vms(directory, self, {1'000}).in_data_centre == 3);
    const time_point later = time_point{0} + vm_renew_interval * 3;
    note_vm(directory, record_of("a", "n"), 4, later);
    note_vm(directory, record_of("b", "n"), 2, later);
    CHECK(count_vms(directory, self, later).all == 2);
    CHECK(expired_vms(directory, later).empty());
    CHECK(expired_vms(directory, later + vm_renew_interval * 6).size() == 2);
}

TEST_CASE("a reader counts itself, its followers, and the followers that other readers report")
{
    vm_directory directory;
    CHECK(count_vms(directory, {vm_id("self"), data_centre_id("n"), {}}, {0}).all == 1);
    CHECK(count_vms(directory, {vm_id("self"), data_centre_id("n"), {}}, {0}).in_data_centre == 1);
    vm_record other = record_of("other", "p");
    other.followers = 20;
    note_vm(directory, other, 1, {0});
    // Its row from before it followed is still there.
    note_vm(directory, record_of("follower", "n"), 2, {0});
    const vm_self self{vm_id("self"), data_centre_id("n"), {vm_id("follower"), vm_id("another")}};
    CHECK(count_vms(directory, self, {0}).all == 24);
    CHECK(count_vms(directory, self, {0}).in_data_centre == 3);
}

namespace {

vm_record reader_of(const std::string& vm, const std::string& data_centre, std::int64_t reads_since)
{
    vm_record record = record_of(vm, data_centre);
    record.peers = {"10.0.0.1", 7'000};
    record.reads_since = reads_since;
    return record;
}

std::optional<vm_id> first_reader(const vm_directory& directory, const reader_query& query, time_point now)
{
    const std::vector<peer> readers = readers_of(directory, query, now);
    return readers.empty() ? std::nullopt : std::optional(readers.front().vm);
}

} // namespace

TEST_CASE("followers choose the daemon of their data centre that has read the store for longest")
{
    vm_directory directory;
    note_vm(directory, reader_of("young", "n", 90), 1, {0});
    note_vm(directory, reader_of("old", "n", 20), 2, {0});
    note_vm(directory, reader_of("elsewhere", "p", 1), 3, {0});
    note_vm(directory, record_of("portless", "n"), 4, {0});
    reader_query query{vm_id("self"), data_centre_id("n"), std::nullopt, 0, {}};
    CHECK(first_reader(directory, query, {0}) == vm_id("old"));
    query.excluded = {vm_id("old")};
    CHECK(first_reader(directory, query, {0}) == vm_id("young"));
    query.excluded.insert(vm_id("young"));
    CHECK_FALSE(first_reader(directory, query, {0}));
}

TEST_CASE("a reader follows a senior one only, and of two readers exactly one follows the other")
{
    struct pair_case {
        std::int64_t a_since;
        std::int64_t b_since;
        bool a_follows;
    };
    for (const pair_case& one : std::vector<pair_case>{{5, 9, false}, {9, 5, true}, {7, 7, false}}) {
        CAPTURE(one.a_since);
        vm_directory directory;
        note_vm(directory, reader_of("a", "n", one.a_since), 1, {0});
        note_vm(directory, reader_of("b", "n", one.b_since), 2, {0});
        const reader_query from_a{vm_id("a"), data_centre_id("n"), one.a_since, 0, {}};
        const reader_query from_b{vm_id("b"), data_centre_id("n"), one.b_since, 0, {}};
        CHECK(first_reader(directory, from_a, {0}).has_value() == one.a_follows);
        CHECK(first_reader(directory, from_b, {0}).has_value() == !one.a_follows);
    }
}

TEST_CASE("a reader whose row no longer changes is not followed")
{
    vm_directory directory;
    note_vm(directory, reader_of("gone", "n", 5), 1, {0});
    const reader_query query{vm_id("self"), data_centre_id("n"), std::nullopt, 0, {}};
    CHECK(first_reader(directory, query, {1'000}).has_value());
    CHECK_FALSE(first_reader(directory, query, time_point{0} + vm_renew_interval * 3).has_value());
}

TEST_CASE("daemons whose rows were removed are forgotten")
{
    vm_directory directory;
    note_vm(directory, record_of("a", "n"), 1, {0});
    note_vm(directory, record_of("b", "n"), 2, {0});
    keep_only(directory, {vm_id("b")});
    // The daemon that counts, and the one whose row is left.
    CHECK(count_vms(directory, {vm_id("self"), data_centre_id("n"), {}}, {0}).all == 2);
    CHECK(directory.entries.size() == 1);
}

TEST_CASE("a daemon's row is parsed as it was written")
{
    vm_record record = reader_of("a", "n", 44);
    record.followers = 3;
    record.config_version = 17;
    record.renewals = 3;
    record.process = 18'000'000'000'000'000'001ULL;
    const absl::StatusOr<vm_record> read = parse_vm_record(to_text(record));
    REQUIRE(read.ok());
    CHECK(read->vm == record.vm);
    CHECK(read->data_centre == record.data_centre);
    CHECK(read->peers == record.peers);
    CHECK(read->reads_since == 44);
    CHECK(read->followers == 3);
    CHECK(read->process == record.process);
    CHECK(read->config_version == 17);
    CHECK(read->renewals == 3);
    for (const char* text : {"", "[]", "{}", R"({"vm":3})"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_vm_record(text).ok());
    }
    CHECK(parse_vm_record("{\"vm\":\"a\",\"followers\":-4}")->followers == 0);
}

TEST_CASE("of each other data centre the senior reader is known")
{
    vm_directory directory;
    note_vm(directory, reader_of("a", "n", 1), 1, {0});
    note_vm(directory, reader_of("b", "p", 9), 2, {0});
    note_vm(directory, reader_of("c", "p", 4), 3, {0});
    note_vm(directory, reader_of("d", "q", 7), 4, {0});
    note_vm(directory, record_of("e", "r"), 5, {0});
    const std::vector<peer> readers = readers_elsewhere(directory, data_centre_id("n"), {1'000});
    REQUIRE(readers.size() == 2);
    CHECK(readers.front().vm == vm_id("c"));
    CHECK(readers.back().vm == vm_id("d"));
}

TEST_CASE("rows that a copy of the store holds make daemons that are gone look alive")
{
    vm_directory directory;
    const vm_self self{vm_id("self"), data_centre_id("n"), {}};
    vm_record gone = record_of("gone", "n");
    gone.process = 3;
    gone.renewals = 9;
    vm_record alive = record_of("alive", "n");
    alive.process = 4;
    alive.renewals = 5;
    note_vm(directory, gone, 50, {0});
    note_vm(directory, alive, 51, {0});
    const time_point later = time_point{0} + vm_renew_interval * 3;
    begin_era(directory);
    gone.renewals = 8;
    note_vm(directory, gone, 30, later);
    note_vm(directory, alive, 31, later);
    CHECK(count_vms(directory, self, later).all == 1);
    alive.renewals = 6;
    note_vm(directory, alive, 32, later);
    CHECK(count_vms(directory, self, later).all == 2);
    SUBCASE("a process that began behind the copy is another one")
    {
        vm_record next = record_of("gone", "n");
        next.process = 7;
        next.renewals = 1;
        note_vm(directory, next, 33, later);
        CHECK(count_vms(directory, self, later).all == 3);
    }
}
