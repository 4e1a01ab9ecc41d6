#include "dialect.hpp"
#include "entry/suspects/crash_guard.hpp"
#include "entry/suspects/suspect_sharing.hpp"
#include "support/scripted_peer.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr request_fingerprint crasher{1};

struct guarded_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
    crash_guard guard{this->context};
    int told = 0;

    guarded_daemon()
    {
        this->context.on_suspects = [this] { ++this->told; };
    }

    // A target that was registered, and is gone when the request's connection breaks.
    void lose_target(int number)
    {
        registered_target target;
        target.id = target_id(absl::StrCat("t", number));
        {
            const scripted_server closed(this->loop, [](raw_connection& /*connection*/) {});
            target.address = closed.address();
        }
        // Where this daemon tells nobody that it has ended.
        target.data_centre = data_centre_id("elsewhere");
        this->context.targets[target.id] = target;
        this->guard.note_lost({target.id, target.started, crasher, {}, "a"});
    }

    void wait(milliseconds span)
    {
        run_until(
            this->loop, [] { return false; }, span);
    }

    [[nodiscard]] std::size_t shared() const { return this->context.suspects.shared.size(); }
};

} // namespace

TEST_CASE("a request is held from its third death on, also while that is not confirmed yet")
{
    guarded_daemon daemon;
    daemon.lose_target(1);
    daemon.lose_target(2);
    daemon.wait({50});
    CHECK(daemon.guard.held_for(crasher) == milliseconds{0});
    daemon.lose_target(3);
    CHECK(daemon.guard.held_for(crasher) > milliseconds{0});
    daemon.wait({50});
    CHECK(daemon.guard.held_for(crasher) > milliseconds{0});
    CHECK(daemon.guard.held_for(request_fingerprint{2}) == milliseconds{0});
}

TEST_CASE("a first death is told after a while, unless the request goes on")
{
    guarded_daemon daemon;
    daemon.lose_target(1);
    daemon.wait({100});
    CHECK(daemon.told == 0);
    SUBCASE("it does not go on")
    {
        daemon.wait({600});
        CHECK(daemon.shared() == 1);
    }
    SUBCASE("it goes on")
    {
        daemon.guard.note_goes_on(crasher);
        daemon.wait({600});
        CHECK(daemon.shared() == 0);
        daemon.lose_target(2);
        daemon.wait({50});
        CHECK(daemon.shared() == 1);
    }
}

TEST_CASE("a second death is told at once, and so is that the request was answered after all")
{
    guarded_daemon daemon;
    daemon.lose_target(1);
    daemon.lose_target(2);
    daemon.wait({50});
    CHECK(daemon.shared() == 1);
    const int before = daemon.told;
    daemon.guard.note_ran_well(crasher);
    CHECK(daemon.told == before + 1);
    daemon.guard.note_ran_well(crasher);
    CHECK(daemon.told == before + 1);
}

TEST_CASE("deaths that other daemons saw count like one's own")
{
    guarded_daemon daemon;
    learn_suspects(daemon.context,
                   {{crasher, {{crash_id{1}, {}}, {crash_id{2}, {}}, {crash_id{3}, {}}}, {0}, false}},
                   "peer");
    CHECK(daemon.guard.held_for(crasher) > milliseconds{0});
    CHECK(daemon.told == 1);
}
