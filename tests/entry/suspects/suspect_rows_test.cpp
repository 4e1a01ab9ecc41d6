#include "common/json.hpp"
#include "dialect.hpp"
#include "entry/suspects/suspect_rows.hpp"
#include "entry/suspects/suspect_sharing.hpp"
#include "support/child_process.hpp"
#include "support/entry_cluster.hpp"
#include "support/scripted_peer.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <memory>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr request_fingerprint crasher{11};
constexpr segment_fingerprint shared_segment{12};

endpoint address_of(child_process& store)
{
    const std::string line = store.read_line();
    return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)))};
}

//! A daemon that keeps suspects in the store.
struct store_reader {
    event_loop& loop;
    entry_context context;
    store_client store{this->context};
    suspect_rows rows{this->context, this->store};

    store_reader(event_loop& loop_in, const endpoint& at)
        : loop(loop_in), context(loop_in, platform::users_platform(), settings_for(at))
    {
        this->context.on_suspects = [this] { this->rows.write_soon(); };
        this->rows.start();
    }

    static entry_settings settings_for(const endpoint& at)
    {
        entry_settings settings;
        settings.store = at;
        return settings;
    }

    void see_death(std::int64_t target)
    {
        note_crash(this->context.suspects.table, crasher, crash_id{target}, {}, event_loop::now());
        tell_suspect(this->context, crasher);
    }

    void see_answer()
    {
        note_finished(this->context.suspects.table, crasher, event_loop::now());
        tell_suspect(this->context, crasher);
    }

    void see_crash(std::int64_t target)
    {
        note_crash(this->context.segments,
                   {crash_id{target}, event_loop::now(), {{segment_id("s"), shared_segment}}, false},
                   event_loop::now());
        tell_segment(this->context, shared_segment);
    }

    void see_begun_answer()
    {
        note_segment_answered(this->context.segments, shared_segment, event_loop::now());
        tell_segment(this->context, shared_segment);
    }

    //! Crashes under the segment that no answer has cleared.
    [[nodiscard]] std::size_t open_crashes() const
    {
        const auto found = this->context.segments.suspects.find(shared_segment);
        return found == this->context.segments.suspects.end()
                   ? 0
                   : static_cast<std::size_t>(std::ranges::count_if(
                         found->second.crashes, [](const auto& one) { return !one.second.is_cleared; }));
    }

    [[nodiscard]] std::size_t deaths() const
    {
        const auto found = this->context.suspects.table.suspects.find(crasher);
        return found == this->context.suspects.table.suspects.end() ? 0 : found->second.takedowns.size();
    }

    [[nodiscard]] bool is_cleared() const
    {
        const auto found = this->context.suspects.table.suspects.find(crasher);
        return found != this->context.suspects.table.suspects.end() && found->second.finished;
    }
};

} // namespace

TEST_CASE(
    "daemons that read the store know each other's deaths at once, and one that starts later all of them")
{
    const scratch_folder folder;
    child_process store("dandelionstep-standin", {"row-store"}, folder.path("store.log"));
    const endpoint at = address_of(store);
    event_loop loop;
    store_reader here(loop, at);
    store_reader there(loop, at);
    here.see_death(1);
    there.see_death(2);
    CHECK(run_until(loop, [&] { return here.deaths() == 2 && there.deaths() == 2; }));
    store_reader late(loop, at);
    CHECK(run_until(loop, [&] { return late.deaths() == 2; }));
    late.see_answer();
    CHECK(run_until(loop, [&] { return here.is_cleared() && there.is_cleared(); }));
    store_reader latest(loop, at);
    CHECK(run_until(loop, [&] { return latest.is_cleared(); }));
}

TEST_CASE("what could not be written while the store was away is there when it is back")
{
    const scratch_folder folder;
    child_process store("dandelionstep-standin", {"row-store"}, folder.path("store.log"));
    const endpoint at = address_of(store);
    event_loop loop;
    auto here = std::make_unique<store_reader>(loop, at);
    run_until(loop, [] { return false; }, {200});
    store.signal(SIGSTOP);
    here->see_death(1);
    run_until(loop, [] { return false; }, {1'000});
    store.signal(SIGCONT);
    store_reader there(loop, at);
    CHECK(run_until(loop, [&] { return there.deaths() == 1; }, {10'000}));
}

TEST_CASE("crashes under a segment, and what clears them, are told through the store, also to one that "
          "starts later")
{
    const scratch_folder folder;
    child_process store("dandelionstep-standin", {"row-store"}, folder.path("store.log"));
    const endpoint at = address_of(store);
    event_loop loop;
    store_reader here(loop, at);
    store_reader there(loop, at);
    here.see_crash(1);
    there.see_crash(2);
    CHECK(run_until(loop, [&] { return here.open_crashes() == 2 && there.open_crashes() == 2; }));
    store_reader late(loop, at);
    CHECK(run_until(loop, [&] { return late.open_crashes() == 2; }));
    late.see_begun_answer();
    CHECK(run_until(loop, [&] { return here.open_crashes() == 0 && there.open_crashes() == 0; }));
    there.see_crash(3);
    store_reader latest(loop, at);
    CHECK(run_until(loop, [&] { return latest.open_crashes() == 1; }));
}

TEST_CASE("suspects are gone with the store's latest writes, and a daemon that starts later knows none")
{
    const scratch_folder folder;
    child_process store("dandelionstep-standin", {"row-store"}, folder.path("store.log"));
    const endpoint at = address_of(store);
    event_loop loop;
    store_reader here(loop, at);
    here.context.on_new_era = [&here] { here.rows.begin_era(); };
    run_until(loop, [] { return false; }, {300});
    here.see_death(1);
    here.see_crash(2);
    store_reader before(loop, at);
    REQUIRE(run_until(loop, [&] { return before.deaths() == 1 && before.open_crashes() == 1; }));
    post_json(at, "/faults", json{{"restore_ms", 60'000}});
    REQUIRE(run_until(loop, [&] { return here.context.era == store_era{2}; }));
    // Until the rows are written again, within the spread of that.
    run_until(loop, [] { return false; }, {1'500});
    store_reader late(loop, at);
    CHECK(run_until(loop, [&] { return late.deaths() == 1 && late.open_crashes() == 1; }));
}
