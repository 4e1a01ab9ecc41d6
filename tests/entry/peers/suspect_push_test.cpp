#include "dialect.hpp"
#include "entry/peers/peer_port.hpp"
#include "entry/peers/suspect_push.hpp"
#include "entry/suspects/suspect_sharing.hpp"
#include "support/cluster.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr segment_fingerprint shared_segment{12};
constexpr request_fingerprint crasher{11};
const target_id engine("e");

//! A daemon that reads the store, which is away, and tells the readers of other data centres.
struct telling_daemon {
    event_loop& loop;
    entry_context context{this->loop, platform::users_platform(), {}};
    peer_port port{this->context, 7};
    endpoint at{"127.0.0.1", free_port()};
    suspect_push push{this->context};
    std::vector<peer> others;

    explicit telling_daemon(event_loop& loop_in) : loop(loop_in)
    {
        CHECK(this->port.listen(this->at).ok());
        this->push.readers = [this] { return this->others; };
        this->context.on_suspects = [this] { this->push.push_soon(); };
    }

    void know(const std::string& vm, const endpoint& other) { this->others.push_back({vm_id(vm), other}); }

    void see_crash(std::int64_t target)
    {
        const time_point now = event_loop::now();
        note_crash(this->context.segments,
                   {crash_id{target}, now, {{segment_id("s"), shared_segment}}, false}, now);
        tell_segment(this->context, shared_segment);
    }

    [[nodiscard]] std::size_t crashes() const
    {
        const auto found = this->context.segments.suspects.find(shared_segment);
        return found == this->context.segments.suspects.end() ? 0 : found->second.crashes.size();
    }
};

} // namespace

TEST_CASE("while the store is away no other data centre hears of a segment that crashes targets")
{
    event_loop loop;
    telling_daemon here(loop);
    telling_daemon there(loop);
    here.know("there", there.at);
    here.see_crash(1);
    CHECK(run_until(loop, [&] { return there.crashes() == 1; }));
    SUBCASE("several at once")
    {
        here.see_crash(2);
        run_until(loop, [] { return false; }, {6});
        here.see_crash(3);
        CHECK(run_until(loop, [&] { return there.crashes() == 3; }));
    }
    SUBCASE("of other suspects, and of targets that ended")
    {
        note_crash(here.context.suspects.table, crasher, crash_id{1}, {}, event_loop::now());
        tell_suspect(here.context, crasher);
        tell_ended(here.context, engine, {5});
        CHECK(run_until(loop, [&] {
            return there.context.suspects.table.suspects.contains(crasher) &&
                   has_ended(there.context.ended, engine, {5}, event_loop::now());
        }));
    }
    SUBCASE("and those that are told tell on, once")
    {
        telling_daemon third(loop);
        there.know("here", here.at);
        there.know("third", third.at);
        here.see_crash(2);
        CHECK(run_until(loop, [&] { return third.crashes() == 2; }));
    }
}

TEST_CASE("what a daemon that could not be reached missed is told with the next news")
{
    event_loop loop;
    telling_daemon here(loop);
    const endpoint later{"127.0.0.1", free_port()};
    here.know("there", later);
    here.see_crash(1);
    run_until(loop, [] { return false; }, {500});
    telling_daemon there(loop);
    here.others.front().at = there.at;
    here.see_crash(2);
    CHECK(run_until(loop, [&] { return there.crashes() == 2; }));
}
