#include "dialect.hpp"
#include "entry/suspects/crash_guard.hpp"
#include "support/scripted_peer.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

const service_id service("assistant");
const std::vector<prompt_segment> common{{segment_id("common"), {1}}};
const std::vector<prompt_segment> crashing{{segment_id("common"), {1}}, {segment_id("bad"), {2}}};

struct guarded_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
    crash_guard guard{this->context};
    int told = 0;
    int lost = 0;

    guarded_daemon()
    {
        // Short, so that no test waits for long.
        this->context.segments.limits.propagation_time = {400};
        this->context.on_urgent = [this] { ++this->told; };
        this->add_target("spare");
        this->add_target("another");
    }

    void add_target(const std::string& id)
    {
        registered_target target;
        target.id = target_id(id);
        target.service = service;
        this->context.targets[target.id] = target;
    }

    // A target that was registered, and is gone when the request's connection breaks.
    void lose_target(const std::vector<prompt_segment>& segments, std::int64_t events = 0)
    {
        registered_target target;
        target.id = target_id(absl::StrCat("t", ++this->lost));
        {
            const scripted_server closed(this->loop, [](raw_connection& /*connection*/) {});
            target.address = closed.address();
        }
        // Where this daemon tells nobody that it has ended.
        target.data_centre = data_centre_id("elsewhere");
        this->context.targets[target.id] = target;
        this->guard.note_lost({target.id,
                               target.started,
                               request_fingerprint{this->lost},
                               {},
                               "a",
                               segments,
                               events,
                               false,
                               event_loop::now()});
    }

    void wait(milliseconds span)
    {
        run_until(
            this->loop, [] { return false; }, span);
    }

    segment_permission permission(const std::vector<prompt_segment>& segments)
    {
        return this->guard.segments().verdict(service, segments).permission;
    }
};

} // namespace

TEST_CASE("a request that lost its target before its answer began waits until that is found dead or alive")
{
    guarded_daemon daemon;
    daemon.guard.segments().note_answer_begun(common);
    daemon.lose_target(crashing);
    CHECK(daemon.permission(crashing) == segment_permission::wait);
    CHECK(daemon.permission(common) == segment_permission::allowed);
    daemon.wait({50});
    CHECK(daemon.permission(crashing) == segment_permission::wait);
    daemon.wait({200});
    CHECK(daemon.permission(crashing) == segment_permission::trial);
}

TEST_CASE("a target that dies after the answer began says nothing of the prompt's segments")
{
    guarded_daemon daemon;
    daemon.lose_target(crashing, events_of_begun_answer);
    daemon.wait({50});
    CHECK(daemon.permission(crashing) == segment_permission::allowed);
    daemon.lose_target(crashing, events_of_begun_answer - 1);
    daemon.wait({50});
    CHECK(daemon.permission(crashing) == segment_permission::wait);
}

TEST_CASE("a suspected segment is tried by one request at a time, and an answer that begins clears it")
{
    guarded_daemon daemon;
    daemon.lose_target(crashing);
    // Both segments of the prompt are suspected, and the second one's turn comes later.
    daemon.wait({400});
    std::shared_ptr<segment_trial> trial = daemon.guard.segments().begin(crashing, "a");
    CHECK(trial != nullptr);
    CHECK(daemon.permission(crashing) == segment_permission::wait);
    SUBCASE("until it ends")
    {
        trial.reset();
        CHECK(daemon.permission(crashing) == segment_permission::trial);
    }
    SUBCASE("with a crash")
    {
        daemon.lose_target(crashing);
        trial.reset();
        daemon.wait({50});
        CHECK(daemon.permission(crashing) == segment_permission::refused);
    }
    SUBCASE("with an answer")
    {
        const int before = daemon.told;
        daemon.guard.segments().note_answer_begun(crashing);
        trial.reset();
        CHECK(daemon.told == before + 2);
        CHECK(daemon.permission(crashing) == segment_permission::allowed);
        CHECK(daemon.guard.segments().begin(crashing, "b") == nullptr);
    }
}

TEST_CASE("a segment that was never answered is told at once, one that was only if it is not cleared soon")
{
    guarded_daemon daemon;
    daemon.guard.segments().note_answer_begun(common);
    daemon.lose_target(common);
    daemon.wait({50});
    CHECK(daemon.told == 0);
    SUBCASE("it is cleared")
    {
        daemon.guard.segments().note_answer_begun(common);
        daemon.wait({1'200});
        CHECK(daemon.told == 0);
    }
    SUBCASE("it is not")
    {
        daemon.wait({1'200});
        CHECK(daemon.told == 1);
    }
    SUBCASE("another one was never answered")
    {
        daemon.lose_target(crashing);
        daemon.wait({50});
        CHECK(daemon.told == 1);
    }
}

TEST_CASE("the last target of a service is not risked for a trial until others must have come back")
{
    guarded_daemon daemon;
    daemon.lose_target(crashing);
    daemon.wait({400});
    CHECK(daemon.permission(crashing) == segment_permission::trial);
    daemon.context.targets.erase(target_id("spare"));
    CHECK(daemon.permission(crashing) == segment_permission::wait);
    SUBCASE("one is back")
    {
        daemon.add_target("spare");
        CHECK(daemon.permission(crashing) == segment_permission::trial);
    }
    SUBCASE("none is")
    {
        CHECK(run_until(daemon.loop, [&] { return daemon.permission(crashing) == segment_permission::trial; },
                        {7'000}));
    }
}
