#include "vm/lease.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace dandelionstep;

namespace {

const lease_times times;
// The least fencing numbers of two eras.
constexpr std::int64_t third_era = 3'000'000'000'000;
constexpr std::int64_t fourth_era = 4'000'000'000'000;

lease_record process_of(std::uint64_t process)
{
    lease_record record;
    record.holder = vm_id("vm");
    record.process = process;
    return record;
}

lease_state state_after(const lease_record& known, std::int64_t version, time_point now)
{
    lease_state state;
    state.era = {3};
    note_lease_row(state, known, version, now);
    return state;
}

lease_record row_of(std::uint64_t process, std::int64_t fencing_number)
{
    lease_record record = process_of(process);
    record.fencing_number = fencing_number;
    record.renewals = 9;
    return record;
}

} // namespace

TEST_CASE("a holder goes on placing in a new era by the lease of the one before")
{
    lease_state state = state_after(row_of(1, third_era + 1), 50, {1'000});
    note_lease_written(state, next_lease(state, process_of(1)), 51, times, {1'000}, {1'010});
    REQUIRE(holds_lease(state, {1'100}));
    begin_era(state, {4}, {1'100});
    CHECK_FALSE(holds_lease(state, {1'100}));
    CHECK_FALSE(should_write_lease(state, times, process_of(1), {1'100}));
    SUBCASE("it takes it again once it has read the row, with a higher number")
    {
        note_lease_row(state, row_of(1, third_era + 1), 40, {1'200});
        CHECK(should_write_lease(state, times, process_of(1), {1'200}));
        CHECK(next_lease(state, process_of(1)).fencing_number > fourth_era);
    }
    SUBCASE("also where the row is gone")
    {
        note_lease_absent(state, 30, {1'200});
        CHECK(should_write_lease(state, times, process_of(1), {1'200}));
        CHECK(next_lease(state, process_of(1)).fencing_number > fourth_era);
    }
}

TEST_CASE("a daemon takes the lease while the holder of the era before may not know of the new one")
{
    lease_state state = state_after(row_of(2, third_era + 7), 50, {1'000});
    begin_era(state, {4}, {1'100});
    // The copy's row is of an earlier time, when this daemon was the holder.
    note_lease_row(state, row_of(1, third_era + 6), 40, {1'200});
    CHECK_FALSE(should_write_lease(state, times, process_of(1), {1'200}));
    const time_point lapsed = time_point{1'100} + times.duration;
    CHECK(should_write_lease(state, times, process_of(1), lapsed));
    CHECK(next_lease(state, process_of(1)).fencing_number > fourth_era);
}

TEST_CASE("a version that was given out again counts as the one that is known")
{
    lease_state state = state_after(row_of(2, third_era + 7), 50, {1'000});
    begin_era(state, {4}, {1'100});
    note_lease_row(state, row_of(3, fourth_era + 1), 50, {1'200});
    CHECK(state.known.process == 3);
    CHECK(state.known.fencing_number == fourth_era + 1);
}

namespace {

struct stored_lease {
    lease_record record;
    //! 0 when there is no row.
    std::int64_t version = 0;
    std::int64_t counter = 0;
};

struct late_write {
    std::int64_t at = 0;
    lease_record record;
    std::int64_t expected = 0;
};

//! Daemons and a store that now and then comes back from an older copy, with lost, late and torn calls. The
//! naive twin does not know eras.
class era_simulation {
public:
    era_simulation(std::uint64_t seed, bool is_naive_in) : random(seed), is_naive(is_naive_in) {}

    void run()
    {
        for (this->now = 0; this->now < 60'000; this->now += 100) {
            this->copies.push_back(this->row);
            this->apply_late();
            if (this->draw(150) == 0) {
                const auto age = static_cast<std::size_t>(this->draw(60));
                this->row = this->copies.at(this->copies.size() - 1 - std::min(age, this->copies.size() - 1));
                ++this->era.value;
            }
            for (std::size_t i = 0; i < this->states.size(); ++i) {
                this->step(i);
            }
        }
    }

    //! Whether two processes, or one in two eras, ever acted by the same fencing number.
    bool shared_a_number = false;
    std::int64_t acted = 0;

private:
    std::int64_t draw(std::uint64_t below) { return static_cast<std::int64_t>(this->random() % below); }

    void step(std::size_t daemon)
    {
        if (this->draw(300) == 0) {
            this->paused_until.at(daemon) = this->now + this->draw(12'000);
        }
        if (this->now < this->paused_until.at(daemon)) {
            return;
        }
        lease_state& state = this->states.at(daemon);
        if (this->draw(15) == 0) {
            this->meet_store(state);
            this->read(state);
        }
        const lease_record self = process_of(daemon + 1);
        if (should_write_lease(state, times, self, {this->now})) {
            this->write(state, next_lease(state, self));
        }
        this->act(state, daemon);
    }

    void meet_store(lease_state& state) const
    {
        if (!this->is_naive && state.era != this->era) {
            begin_era(state, this->era, {this->now});
        }
    }

    void read(lease_state& state) const
    {
        if (this->row.version == 0) {
            note_lease_absent(state, this->row.counter, {this->now});
        } else {
            note_lease_row(state, this->row.record, this->row.version, {this->now});
        }
    }

    bool apply(const lease_record& record, std::int64_t expected)
    {
        if (this->row.version != expected) {
            return false;
        }
        this->row = {record, this->row.counter + 1, this->row.counter + 1};
        return true;
    }

    void apply_late()
    {
        std::erase_if(this->late, [this](const late_write& one) {
            if (one.at <= this->now) {
                this->apply(one.record, one.expected);
            }
            return one.at <= this->now;
        });
    }

    void write(lease_state& state, const lease_record& next)
    {
        if (this->draw(6) == 0) {
            this->late.push_back({this->now + this->draw(6'000), next, state.row_version});
            return;
        }
        const bool is_written = this->apply(next, state.row_version);
        if (!this->is_naive && state.era != this->era) {
            // The answer tells the new era; what was written there is not believed.
            begin_era(state, this->era, {this->now});
        } else if (is_written && this->draw(10) > 0) {
            note_lease_written(state, next, this->row.version, times, {this->now}, {this->now});
        } else if (!is_written) {
            this->read(state);
        }
    }

    void act(const lease_state& state, std::size_t daemon)
    {
        if (!holds_lease(state, {this->now})) {
            return;
        }
        ++this->acted;
        const auto [found, is_new] = this->actors.try_emplace(state.known.fencing_number, daemon);
        this->shared_a_number = this->shared_a_number || found->second != daemon;
    }

    std::mt19937_64 random;
    bool is_naive;
    std::int64_t now = 0;
    store_era era{1};
    stored_lease row;
    std::vector<stored_lease> copies;
    std::vector<late_write> late;
    std::array<lease_state, 4> states;
    std::array<std::int64_t, 4> paused_until{};
    std::map<std::int64_t, std::size_t> actors;
};

} // namespace

TEST_CASE("two processes act by one fencing number after the store came back from an older copy")
{
    int naive_failures = 0;
    std::int64_t acted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        era_simulation simulation(seed, false);
        simulation.run();
        CHECK_FALSE(simulation.shared_a_number);
        acted += simulation.acted;
        era_simulation naive(seed, true);
        naive.run();
        naive_failures += naive.shared_a_number ? 1 : 0;
    }
    MESSAGE("steps with a holder: ", acted, ", naive runs that failed: ", naive_failures, " of 300");
    CHECK(acted > 0);
    CHECK(naive_failures > 0);
}
