#include "vm/lease.hpp"

#include <array>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace dandelionstep;

namespace {

lease_record process_of(const std::string& vm, std::uint64_t process)
{
    lease_record record;
    record.holder = vm_id(vm);
    record.process = process;
    return record;
}

// A row of the store, written by compare-and-set.
struct simulated_row {
    lease_record record;
    std::int64_t version = 0;
    std::int64_t counter = 0;

    bool write(const lease_record& next, std::int64_t expected)
    {
        if (this->version != expected) {
            return false;
        }
        this->version = ++this->counter;
        this->record = next;
        return true;
    }
};

void read_row(lease_state& state, const simulated_row& row, time_point now)
{
    if (row.version == 0) {
        note_lease_absent(state, row.counter, now);
    } else {
        note_lease_row(state, row.record, row.version, now);
    }
}

} // namespace

TEST_CASE("a lease's row is parsed as it was written")
{
    lease_record record = process_of("vm-1", 0xFEDCBA9876543210ULL);
    record.fencing_number = 7;
    record.renewals = 12;
    record.serving = true;
    const absl::StatusOr<lease_record> read = parse_lease(to_text(record));
    REQUIRE(read.ok());
    CHECK(*read == record);
}

TEST_CASE("rows that don't hold a lease are refused")
{
    for (const char* text :
         {"", "x", "[]", "{}", R"({"holder":1,"fencing_number":2})", R"({"holder":"a"})"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_lease(text).ok());
    }
}

TEST_CASE("the first daemon takes a free lease, and another one takes it only after it has expired")
{
    const lease_times times;
    simulated_row row;
    lease_state first;
    lease_state second;
    const lease_record a = process_of("a", 1);
    const lease_record b = process_of("b", 2);
    read_row(first, row, {0});
    read_row(second, row, {0});
    REQUIRE(should_write_lease(first, times, a, {0}));
    const lease_record taken = next_lease(first, a);
    REQUIRE(row.write(taken, first.row_version));
    note_lease_written(first, taken, row.version, times, {0}, {5});
    CHECK(holds_lease(first, {10}));

    read_row(second, row, {10});
    CHECK_FALSE(should_write_lease(second, times, b, {10}));
    CHECK_FALSE(should_write_lease(second, times, b, time_point{9} + times.duration));
    CHECK(should_write_lease(second, times, b, time_point{10} + times.duration));
    const lease_record next = next_lease(second, b);
    CHECK(next.fencing_number == taken.fencing_number + 1);
}

TEST_CASE("a holder renews in time and keeps its fencing number")
{
    const lease_times times;
    lease_state state;
    const lease_record a = process_of("a", 1);
    note_lease_absent(state, 0, {0});
    const lease_record taken = next_lease(state, a);
    note_lease_written(state, taken, 1, times, {0}, {5});
    CHECK_FALSE(should_write_lease(state, times, a, {100}));
    CHECK(should_write_lease(state, times, a, time_point{0} + times.renew_after));
    CHECK(next_lease(state, a).fencing_number == taken.fencing_number);
}

TEST_CASE("a holder that was suspended beyond its lease no longer holds it")
{
    const lease_times times;
    lease_state state;
    const lease_record a = process_of("a", 1);
    note_lease_absent(state, 0, {0});
    note_lease_written(state, next_lease(state, a), 1, times, {0}, {5});
    CHECK_FALSE(holds_lease(state, time_point{0} + times.duration - times.margin));
}

TEST_CASE("a restarted process on the same VM is another holder")
{
    const lease_times times;
    lease_state state;
    lease_record old = process_of("a", 1);
    old.fencing_number = 4;
    note_lease_row(state, old, 9, {0});
    const lease_record restarted = process_of("a", 2);
    CHECK_FALSE(should_write_lease(state, times, restarted, {100}));
    CHECK(next_lease(state, restarted).fencing_number == 5);
}

TEST_CASE("a write whose response was lost is recognised when the row is read")
{
    const lease_times times;
    simulated_row row;
    lease_state state;
    const lease_record a = process_of("a", 1);
    read_row(state, row, {0});
    const lease_record taken = next_lease(state, a);
    row.write(taken, 0);
    CHECK_FALSE(holds_lease(state, {10}));
    read_row(state, row, {20});
    CHECK_FALSE(holds_lease(state, {20}));
    REQUIRE(should_write_lease(state, times, a, {20}));
    CHECK(next_lease(state, a).fencing_number == taken.fencing_number);
    CHECK(row.write(next_lease(state, a), state.row_version));
}

TEST_CASE("a released lease is taken at once, and the fencing number still increases")
{
    const lease_times times;
    lease_state first;
    const lease_record a = process_of("a", 1);
    note_lease_absent(first, 0, {0});
    note_lease_written(first, next_lease(first, a), 1, times, {0}, {5});
    const lease_record released = released_lease(first);
    lease_state second;
    const absl::StatusOr<lease_record> read = parse_lease(to_text(released));
    REQUIRE(read.ok());
    note_lease_row(second, *read, 2, {100});
    const lease_record b = process_of("b", 2);
    CHECK(should_write_lease(second, times, b, {100}));
    CHECK(next_lease(second, b).fencing_number == first.known.fencing_number + 1);
}

TEST_CASE("the serving flag outlives the holder")
{
    lease_state state;
    lease_record old = process_of("a", 1);
    old.serving = true;
    note_lease_row(state, old, 3, {0});
    CHECK(next_lease(state, process_of("b", 2)).serving);
}

TEST_CASE("there are never two holders at once when processes pause and writes are lost or late")
{
    const lease_times times;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        simulated_row row;
        constexpr std::size_t daemons = 4;
        std::array<lease_state, daemons> states;
        std::array<std::int64_t, daemons> paused_until{};
        struct late_write {
            std::int64_t at;
            lease_record record;
            std::int64_t expected;
        };
        std::vector<late_write> late;
        int acquisitions = 0;
        for (std::int64_t ms = 0; ms < 60'000; ms += 100) {
            const time_point now{ms};
            std::erase_if(late, [&](const late_write& one) {
                if (one.at > ms) {
                    return false;
                }
                row.write(one.record, one.expected);
                return true;
            });
            for (std::size_t i = 0; i < daemons; ++i) {
                if (random() % 400 == 0) {
                    paused_until[i] = ms + static_cast<std::int64_t>(random() % 12'000);
                }
                if (ms < paused_until[i]) {
                    continue;
                }
                if (random() % 20 == 0) {
                    read_row(states[i], row, now);
                }
                const lease_record self = process_of("vm", i + 1);
                if (!should_write_lease(states[i], times, self, now)) {
                    continue;
                }
                const lease_record next = next_lease(states[i], self);
                const std::int64_t expected = states[i].row_version;
                const std::uint64_t fate = random() % 10;
                if (fate == 0) {
                    late.push_back({ms + static_cast<std::int64_t>(random() % 6'000), next, expected});
                } else if (row.write(next, expected) && fate > 1) {
                    acquisitions += holds_lease(states[i], now) ? 0 : 1;
                    note_lease_written(states[i], next, row.version, times, now, now);
                }
            }
            int holders = 0;
            for (const lease_state& state : states) {
                holders += holds_lease(state, now) ? 1 : 0;
            }
            REQUIRE(holders <= 1);
        }
        REQUIRE(acquisitions >= 1);
    }
}
