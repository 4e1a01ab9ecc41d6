#include "dialect.hpp"
#include "entry/suspects/trial_claims.hpp"
#include "support/child_process.hpp"
#include "support/scripted_peer.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr trial_name first_trial{segment_fingerprint{1}, 5};
constexpr trial_name next_trial{segment_fingerprint{1}, 6};

endpoint address_of(child_process& store)
{
    const std::string line = store.read_line();
    return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)))};
}

//! A daemon that may try segments.
struct trying_daemon {
    event_loop& loop;
    entry_context context;
    store_client store{this->context};
    trial_claims claims{this->context, this->store};

    trying_daemon(event_loop& loop_in, const endpoint& at, const std::string& vm)
        : loop(loop_in), context(loop_in, platform::users_platform(), settings_for(at, vm))
    {}

    static entry_settings settings_for(const endpoint& at, const std::string& vm)
    {
        entry_settings settings;
        settings.store = at;
        settings.vm = vm_id(vm);
        return settings;
    }

    claim_state claim(const trial_name& trial)
    {
        run_until(this->loop, [&] { return this->claims.claim(trial) != claim_state::pending; });
        return this->claims.claim(trial);
    }
};

struct two_daemons {
    scratch_folder folder;
    child_process process{"dandelionstep-standin", {"row-store"}, this->folder.path("store.log")};
    endpoint at = address_of(this->process);
    event_loop loop;
    trying_daemon here{this->loop, this->at, "here"};
    trying_daemon there{this->loop, this->at, "there"};
};

} // namespace

TEST_CASE("two daemons do not run the same trial, and the next one is another")
{
    two_daemons both;
    CHECK(both.here.claims.claim(first_trial) == claim_state::pending);
    CHECK(both.there.claims.claim(first_trial) == claim_state::pending);
    const claim_state here = both.here.claim(first_trial);
    const claim_state there = both.there.claim(first_trial);
    CHECK((here == claim_state::granted) != (there == claim_state::granted));
    CHECK(both.there.claim(next_trial) == claim_state::granted);
    CHECK(both.here.claim(next_trial) == claim_state::refused);
}

TEST_CASE("a trial whose daemon is gone is another daemon's after the claim's time, and one daemon's alone")
{
    two_daemons both;
    CHECK(both.here.claim(first_trial) == claim_state::granted);
    CHECK(both.there.claim(first_trial) == claim_state::refused);
    trying_daemon third(both.loop, both.at, "third");
    CHECK(third.claim(first_trial) == claim_state::refused);
    run_until(both.loop, [] { return false; }, {3'100});
    CHECK(both.there.claims.claim(first_trial) == claim_state::pending);
    const claim_state there = both.there.claim(first_trial);
    const claim_state last = third.claim(first_trial);
    CHECK((there == claim_state::granted) != (last == claim_state::granted));
}

TEST_CASE("while the store is away nobody tries a segment, unless it is away for long")
{
    two_daemons both;
    both.process.signal(SIGSTOP);
    CHECK(both.here.claim(first_trial) == claim_state::refused);
    CHECK(both.there.claim(first_trial) == claim_state::refused);
    SUBCASE("it returns")
    {
        run_until(both.loop, [] { return false; }, {600});
        both.process.signal(SIGCONT);
        const auto is_granted = [&] {
            const claim_state here = both.here.claims.claim(first_trial);
            const claim_state there = both.there.claims.claim(first_trial);
            return (here == claim_state::granted) != (there == claim_state::granted);
        };
        CHECK(run_until(both.loop, is_granted));
    }
    SUBCASE("it does not")
    {
        const auto is_granted = [&] { return both.here.claims.claim(first_trial) == claim_state::granted; };
        CHECK_FALSE(run_until(both.loop, is_granted, {4'000}));
        CHECK(run_until(both.loop, is_granted, {5'000}));
        both.process.signal(SIGCONT);
    }
}
