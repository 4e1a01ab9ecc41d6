#include "dialect.hpp"
#include "entry/peers/peer_port.hpp"
#include "entry/peers/use_push.hpp"
#include "support/cluster.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

const target_id engine("e");
constexpr milliseconds push_time{1'500};
constexpr milliseconds report_validity{3'000};

//! A daemon that reads the store for its data centre and tells another reader what that uses.
struct reading_daemon {
    event_loop& loop;
    entry_context context;
    peer_port port{this->context, 7};
    endpoint at{"127.0.0.1", free_port()};
    use_push push{this->context};
    std::vector<peer> others;

    reading_daemon(event_loop& loop_in, const std::string& data_centre, load_control_mode mode)
        : loop(loop_in), context(loop_in, platform::users_platform(), {})
    {
        this->context.settings.data_centre = data_centre_id(data_centre);
        this->context.settings.load_control = mode;
        CHECK(this->port.listen(this->at).ok());
        this->push.readers = [this] { return this->others; };
        this->push.uses = [this] { return this->port.data_centre_uses(); };
        this->push.start();
    }

    void use_engine()
    {
        this->context.conditions[engine].token_layers = 5'000;
        this->context.conditions[engine].in_flight = 2;
    }

    double known_use()
    {
        const engine_uses uses = this->port.others_uses();
        const auto found = uses.find(engine);
        return found == uses.end() ? 0 : found->second.token_layers;
    }
};

} // namespace

// An engine that another data centre had filled looked idle, and got streams that it refused.
TEST_CASE("a reader knows what other data centres use, as long as they tell it")
{
    event_loop loop;
    reading_daemon here(loop, "n", load_control_mode::on);
    reading_daemon there(loop, "p", load_control_mode::on);
    here.others.push_back({vm_id("there"), there.at});
    here.use_engine();
    CHECK(run_until(
        loop, [&] { return there.known_use() == 5'000; }, push_time));
    SUBCASE("it does not come back to where it was told from")
    {
        there.others.push_back({vm_id("here"), here.at});
        run_until(
            loop, [] { return false; }, push_time);
        CHECK(here.known_use() == 0);
    }
    SUBCASE("it lapses when the link or the reader is gone")
    {
        here.others.clear();
        CHECK(run_until(
            loop, [&] { return there.known_use() == 0; }, report_validity + push_time));
    }
}

TEST_CASE("without load control nothing is told between data centres")
{
    event_loop loop;
    reading_daemon here(loop, "n", load_control_mode::off);
    reading_daemon there(loop, "p", load_control_mode::off);
    here.others.push_back({vm_id("there"), there.at});
    here.use_engine();
    run_until(
        loop, [] { return false; }, push_time);
    CHECK(there.known_use() == 0);
}
