#include "target/doubtful_targets.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr milliseconds interval{1'200};

} // namespace

TEST_CASE("an unconfirmed target is kept until its time is over")
{
    const unconfirmed_targets unconfirmed{{target_id("a"), {300}}, {target_id("b"), {100}}};
    CHECK(find_expired(unconfirmed, {99}).empty());
    CHECK(find_expired(unconfirmed, {100}) == std::vector<target_id>{target_id("b")});
    CHECK(find_expired(unconfirmed, {300}).size() == 2);
}

TEST_CASE("the first target to expire gives the time of the next check")
{
    CHECK_FALSE(first_expiry({}));
    CHECK(first_expiry({{target_id("a"), {300}}, {target_id("b"), {100}}}) == time_point{100});
}

TEST_CASE("a registration may have lapsed when two heartbeats in a row were due in an outage")
{
    const store_outage outage{{10'000}, {13'000}};
    CHECK(may_have_lapsed({9'000}, interval, outage, {13'100}));
    CHECK(may_have_lapsed({10'000}, interval, outage, {13'100}));
    // Its heartbeats come again after the outage, but not before it lapses.
    CHECK(may_have_lapsed({10'000}, interval, outage, {14'500}));
}

TEST_CASE("a removal after an outage that is too short for a lapse is no lapse")
{
    CHECK_FALSE(may_have_lapsed({9'000}, interval, {{10'000}, {11'199}}, {12'000}));
    CHECK(may_have_lapsed({9'000}, interval, {{10'000}, {11'200}}, {12'000}));
    CHECK_FALSE(may_have_lapsed({9'000}, interval, {}, {12'000}));
}

TEST_CASE("a removal that is too soon after an outage began is no lapse")
{
    const store_outage outage{{10'000}, {11'400}};
    CHECK_FALSE(may_have_lapsed({8'000}, interval, outage, {11'799}));
    CHECK(may_have_lapsed({8'000}, interval, outage, {11'800}));
}

TEST_CASE("a removal of a registration that was seen too late for a lapse is no lapse")
{
    const store_outage outage{{10'000}, {13'000}};
    CHECK_FALSE(may_have_lapsed({11'801}, interval, outage, {16'000}));
    CHECK(may_have_lapsed({11'800}, interval, outage, {16'000}));
    CHECK_FALSE(may_have_lapsed({10'700}, interval, outage, {13'099}));
    CHECK(may_have_lapsed({10'700}, interval, outage, {13'100}));
}

TEST_CASE("a return of the store that is too short for a heartbeat does not end an outage")
{
    const store_outage first{{10'000}, {13'000}};
    CHECK(joined_outage(first, {{13'000}, {13'300}}, interval).began == time_point{10'000});
    CHECK(joined_outage(first, {{14'199}, {14'300}}, interval).began == time_point{10'000});
    CHECK(joined_outage(first, {{14'200}, {14'300}}, interval).began == time_point{14'200});
    CHECK(joined_outage(first, {{14'200}, {14'300}}, interval).ended == time_point{14'300});
}

TEST_CASE("a lapse is no removal after an outage of 1.5 intervals, also when a heartbeat was lost before it")
{
    const time_point last_seen{100'000};
    const time_point lapse = last_seen + interval * 3;
    // The second heartbeat was due in the outage; the first may have been lost for any reason.
    for (milliseconds length = interval * 3 / 2; length <= interval * 2;
         length = length + milliseconds{100}) {
        for (milliseconds after = interval * 2; after <= interval * 5; after = after + milliseconds{100}) {
            CAPTURE(length.count);
            CAPTURE(after.count);
            const time_point ended = last_seen + after;
            CHECK(may_have_lapsed(last_seen, interval, {ended - length, ended}, std::max(lapse, ended)));
        }
    }
}

TEST_CASE("a lapse to which a heartbeat lost before a shorter outage added counts as a removal")
{
    const time_point last_seen{100'000};
    const time_point due = last_seen + interval * 2;
    for (milliseconds length{0}; length < interval; length = length + milliseconds{100}) {
        CAPTURE(length.count);
        const store_outage outage{due - length / 2, due + length / 2};
        CHECK_FALSE(may_have_lapsed(last_seen, interval, outage, last_seen + interval * 3));
    }
}
