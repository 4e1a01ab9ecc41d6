#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "dialect.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/registry/target_watch.hpp"
#include "support/child_process.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/scripted_peer.hpp"

#include "absl/strings/escaping.h"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

const target_id engine("e");

endpoint address_of(child_process& store)
{
    const std::string line = store.read_line();
    return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)))};
}

//! A daemon that reads registrations from a store that may come back from an older copy.
struct registry_reader {
    scratch_folder folder;
    child_process process{"dandelionstep-standin", {"row-store"}, this->folder.path("store.log")};
    endpoint at = address_of(this->process);
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), settings_for(this->at)};
    store_client store{this->context};
    target_watch watch{this->context, this->store};

    registry_reader()
    {
        this->context.on_new_era = [this] { this->watch.begin_era(); };
        this->watch.start();
    }

    static entry_settings settings_for(const endpoint& at)
    {
        entry_settings settings;
        settings.store = at;
        settings.drain_time = {600};
        return settings;
    }

    void write(const std::string& id, std::int64_t heartbeat, std::int64_t end_layer = 4,
               const std::string& state = "ready", std::int64_t started = 1)
    {
        const json entry = {{"Service", "assistant"},
                            {"Address", "127.0.0.1:9"},
                            {"Zone", "n"},
                            {"State", state},
                            {"Slots", 4},
                            {"Sequence", heartbeat},
                            {"born", started},
                            {"Layers", {{"From", 0}, {"To", end_layer}, {"Version", 1}}}};
        const json row = {
            {"Table", "servers"}, {"part", ""}, {"Key", id}, {"Value", absl::Base64Escape(dump(entry))}};
        this->change({{"Puts", json::array({row})}});
    }

    void remove(const std::string& id)
    {
        this->change({{"Remove", json::array({{{"Table", "servers"}, {"part", ""}, {"Key", id}}})}});
    }

    void change(const json& body)
    {
        CHECK(post_json(this->at, "/rows-tx", body, {{"Writer", "replica"}}).status == 200);
    }

    [[nodiscard]] bool knows(const target_id& id) const { return this->context.targets.contains(id); }

    void wait(milliseconds span)
    {
        run_until(
            this->loop, [] { return false; }, span);
    }

    // Loses what was written since that time.
    void restore(time_point since)
    {
        const milliseconds age = event_loop::now() - since;
        post_json(this->at, "/faults", json{{"restore_ms", age.count}});
        REQUIRE(run_until(this->loop, [this] { return this->context.era_began_at > time_point{0}; }));
        this->wait({100});
    }

    // A moment between the writes before it and those after it.
    time_point mark()
    {
        this->wait({30});
        const time_point now = event_loop::now();
        this->wait({30});
        return now;
    }
};

} // namespace

TEST_CASE("a target that was removed is used again, as the copy still holds its registration")
{
    registry_reader reader;
    reader.write("e", 5);
    REQUIRE(run_until(reader.loop, [&] { return reader.knows(engine); }));
    const time_point copied = reader.mark();
    reader.remove("e");
    REQUIRE(run_until(reader.loop, [&] { return !reader.knows(engine); }));
    reader.restore(copied);
    reader.wait({500});
    CHECK_FALSE(reader.knows(engine));
    SUBCASE("until its heartbeat tells that it lives")
    {
        reader.write("e", 6);
        CHECK(run_until(reader.loop, [&] { return reader.knows(engine); }));
    }
}

TEST_CASE("a target's older registration replaces what it said since")
{
    registry_reader reader;
    reader.write("e", 5);
    REQUIRE(run_until(reader.loop, [&] { return reader.knows(engine); }));
    const time_point copied = reader.mark();
    reader.write("e", 6, 8);
    REQUIRE(run_until(reader.loop, [&] { return reader.context.targets.at(engine).layers.end == 8; }));
    SUBCASE("its layers")
    {
        reader.restore(copied);
        reader.wait({500});
        CHECK(reader.context.targets.at(engine).layers.end == 8);
    }
    SUBCASE("that it leaves")
    {
        reader.write("e", 7, 8, "draining");
        REQUIRE(run_until(reader.loop, [&] { return reader.context.targets.at(engine).leaving; }));
        reader.restore(copied);
        reader.write("e", 8, 8);
        reader.wait({500});
        CHECK(reader.context.targets.at(engine).leaving);
    }
    SUBCASE("that it is a new process")
    {
        reader.write("e", 1, 8, "ready", 2);
        REQUIRE(run_until(reader.loop,
                          [&] { return reader.context.targets.at(engine).started == incarnation{2}; }));
        reader.restore(copied);
        reader.wait({500});
        CHECK(reader.context.targets.at(engine).started == incarnation{2});
    }
}

TEST_CASE("a target whose registration is gone with the store's latest writes is dropped at once")
{
    registry_reader reader;
    reader.write("other", 1);
    const time_point copied = reader.mark();
    reader.write("e", 1);
    REQUIRE(run_until(reader.loop, [&] { return reader.knows(engine); }));
    reader.restore(copied);
    CHECK(reader.knows(engine));
    SUBCASE("though it is back with its next heartbeat")
    {
        reader.write("e", 2);
        reader.wait({2'500});
        CHECK(reader.knows(engine));
    }
    SUBCASE("and is kept for ever if it is gone")
    {
        CHECK(run_until(reader.loop, [&] { return !reader.knows(engine); }, {3'000}));
    }
}

TEST_CASE("a daemon that knows nothing yet takes every registration of the copy")
{
    registry_reader reader;
    reader.write("e", 5);
    reader.context.era = {1};
    reader.context.position = {{1}, 0, 0};
    reader.mark();
    post_json(reader.at, "/faults", json{{"restore_ms", 1}});
    CHECK(run_until(reader.loop, [&] { return reader.knows(engine); }));
}
