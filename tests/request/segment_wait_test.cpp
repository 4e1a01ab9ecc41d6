#include "request/segment_wait.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr time_point start{10'000};
constexpr milliseconds longest{500};

segment_decision ask(segment_wait& wait, segment_permission permission, milliseconds remaining,
                     milliseconds after)
{
    return decide(wait, {permission, remaining}, longest, start + after);
}

} // namespace

TEST_CASE("a request whose segments are not suspected, or that tries them, is sent")
{
    segment_wait wait;
    CHECK(ask(wait, segment_permission::allowed, {0}, {0}).action == segment_action::send);
    CHECK(ask(wait, segment_permission::trial, {0}, {0}).action == segment_action::send);
}

TEST_CASE("a request with a segment that crashes targets is given up at once, with the time that remains")
{
    segment_wait wait;
    const segment_decision decided = ask(wait, segment_permission::refused, {15'000}, {0});
    CHECK(decided.action == segment_action::give_up);
    CHECK(decided.span == milliseconds{15'000});
}

TEST_CASE("a request looks for the verdict again and again, and gives up after the longest wait")
{
    segment_wait wait;
    CHECK(ask(wait, segment_permission::wait, {1'200}, {0}).span == milliseconds{50});
    CHECK(ask(wait, segment_permission::wait, {730}, {470}).span == milliseconds{30});
    const segment_decision last = ask(wait, segment_permission::wait, {700}, {500});
    CHECK(last.action == segment_action::give_up);
    CHECK(last.span == milliseconds{700});
}

TEST_CASE("a wait that ended does not count for the next one")
{
    segment_wait wait;
    ask(wait, segment_permission::wait, {100}, {0});
    ask(wait, segment_permission::trial, {0}, {100});
    CHECK(ask(wait, segment_permission::wait, {600}, {700}).action == segment_action::wait);
    CHECK(ask(wait, segment_permission::wait, {600}, {900}).action == segment_action::wait);
}
