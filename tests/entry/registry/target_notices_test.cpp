#include "dialect.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/registry/target_notices.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr incarnation first_start{100};
constexpr incarnation second_start{200};
const target_id name("t");

registered_target registration(incarnation started, bool leaving = false)
{
    registered_target target;
    target.id = name;
    target.started = started;
    target.leaving = leaving;
    return target;
}

struct informed_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};

    informed_daemon() { put_target(this->context, registration(first_start)); }

    void hear(incarnation from, const response_facts& facts)
    {
        take_notices(this->context, {name, from}, facts);
    }

    void hear_leaving(incarnation from)
    {
        response_facts facts;
        facts.is_leaving = true;
        this->hear(from, facts);
    }

    [[nodiscard]] bool leaves() const { return this->context.targets.at(name).leaving; }
};

} // namespace

TEST_CASE("what a target says of its leaving holds at once, is told to followers, and counts once")
{
    informed_daemon daemon;
    const std::int64_t before = daemon.context.changes.sequence;
    daemon.hear_leaving(first_start);
    CHECK(daemon.leaves());
    CHECK(daemon.context.changes.sequence == before + 1);
    daemon.hear_leaving(first_start);
    CHECK(daemon.context.changes.sequence == before + 1);
    CHECK(daemon.context.metrics.leaving_by_answer == 1);
}

TEST_CASE("an older registration does not undo that a target leaves, a new process does")
{
    informed_daemon daemon;
    daemon.hear_leaving(first_start);
    put_target(daemon.context, registration(first_start));
    CHECK(daemon.leaves());
    drop_target(daemon.context, name);
    put_target(daemon.context, registration(first_start));
    CHECK(daemon.leaves());
    put_target(daemon.context, registration(second_start));
    CHECK_FALSE(daemon.leaves());
}

TEST_CASE("a registration that says so holds against an older one as well")
{
    informed_daemon daemon;
    put_target(daemon.context, registration(first_start, true));
    put_target(daemon.context, registration(first_start));
    CHECK(daemon.leaves());
}

TEST_CASE("an answer of an earlier process says nothing of the one that runs now")
{
    informed_daemon daemon;
    put_target(daemon.context, registration(second_start));
    daemon.hear_leaving(first_start);
    CHECK_FALSE(daemon.leaves());
}

TEST_CASE("where registrations do not tell processes apart, a target leaves until it was registered anew")
{
    informed_daemon daemon;
    drop_target(daemon.context, name);
    put_target(daemon.context, registration({}));
    daemon.hear_leaving({});
    put_target(daemon.context, registration({}));
    CHECK(daemon.leaves());
    drop_target(daemon.context, name);
    put_target(daemon.context, registration({}));
    CHECK_FALSE(daemon.leaves());
}

TEST_CASE("a rest that a target asks for is taken, within the setting's bound")
{
    informed_daemon daemon;
    daemon.context.settings.longest_rest = {2'000};
    response_facts facts;
    facts.rest = milliseconds{60'000};
    daemon.hear(first_start, facts);
    const time_point now = event_loop::now();
    const target_condition& condition = daemon.context.conditions[name];
    CHECK(is_backing_off(condition, now));
    CHECK(condition.backoff_until - now <= milliseconds{2'400});
    CHECK(daemon.context.metrics.rests == 1);
}

// It was cut to a minute.
TEST_CASE("a rest of more than a minute is taken whole, also when the target is registered anew")
{
    informed_daemon daemon;
    response_facts facts;
    facts.rest = milliseconds{90'000};
    const time_point before = event_loop::now();
    daemon.hear(first_start, facts);
    CHECK(daemon.context.conditions[name].backoff_until >= before + milliseconds{90'000});
    CHECK(daemon.context.conditions[name].backoff_until <= event_loop::now() + milliseconds{102'000});
    note_backoff_trial(daemon.context.conditions[name], event_loop::now());
    drop_target(daemon.context, name);
    put_target(daemon.context, registration(first_start));
    CHECK(is_backing_off(daemon.context.conditions[name], before + milliseconds{89'999}));
    CHECK(daemon.context.conditions[name].backoff_trials == 1);
}

TEST_CASE("an answer to a request that tries a resting target ends its rest, a refusal does not")
{
    informed_daemon daemon;
    response_facts facts;
    facts.rest = milliseconds{90'000};
    daemon.hear(first_start, facts);
    response_facts refused;
    refused.did_not_run = true;
    take_notices(daemon.context, {name, first_start, true}, refused);
    CHECK(is_backing_off(daemon.context.conditions[name], event_loop::now()));
    take_notices(daemon.context, {name, first_start, false}, {});
    CHECK(is_backing_off(daemon.context.conditions[name], event_loop::now()));
    take_notices(daemon.context, {name, first_start, true}, {});
    CHECK_FALSE(is_backing_off(daemon.context.conditions[name], event_loop::now()));
}

TEST_CASE("a target that is registered anew while it rests goes on resting, another process of it does not")
{
    informed_daemon daemon;
    response_facts facts;
    facts.rest = milliseconds{5'000};
    daemon.hear(first_start, facts);
    const time_point until = daemon.context.conditions[name].backoff_until;
    drop_target(daemon.context, name);
    put_target(daemon.context, registration(first_start));
    CHECK(daemon.context.conditions[name].backoff_until == until);
    drop_target(daemon.context, name);
    put_target(daemon.context, registration(second_start));
    CHECK_FALSE(is_backing_off(daemon.context.conditions[name], event_loop::now()));
}

TEST_CASE("where registrations do not tell processes apart, a rest ends with the registration")
{
    informed_daemon daemon;
    drop_target(daemon.context, name);
    put_target(daemon.context, registration({}));
    response_facts facts;
    facts.rest = milliseconds{5'000};
    daemon.hear({}, facts);
    drop_target(daemon.context, name);
    put_target(daemon.context, registration({}));
    CHECK_FALSE(is_backing_off(daemon.context.conditions[name], event_loop::now()));
}

TEST_CASE("rests that have ended are not kept")
{
    saved_backoffs rests;
    registered_target target = registration(first_start);
    target_condition condition;
    resume_backoff(condition, time_point{1'000});
    save_backoff(rests, target, condition, time_point{500});
    CHECK(rests.size() == 1);
    target.id = target_id("other");
    save_backoff(rests, target, condition, time_point{1'000});
    CHECK(rests.empty());
}

// Engines tell seconds after a crash whom their requests wait for. The new process at that address was
// avoided for it, up to 5.6 s after the crash.
TEST_CASE("what is found out late about an earlier process does not count against the one that runs now")
{
    informed_daemon daemon;
    put_target(daemon.context, registration(second_start));
    note_failure_of(daemon.context, name, first_start, target_failure::silent);
    CHECK(is_usable(condition_of(daemon.context.conditions, name), event_loop::now()));
    note_failure_of(daemon.context, name, second_start, target_failure::silent);
    CHECK_FALSE(is_usable(condition_of(daemon.context.conditions, name), event_loop::now()));
}
