#include "absl/strings/escaping.h"
#include "adapters/http_server.hpp"
#include "common/json.hpp"
#include "dialect.hpp"
#include "entry/registry/store_watch.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

json replica_row(const std::string& key)
{
    const json entry = {
        {"Service", "s"}, {"Address", "127.0.0.1:9"}, {"Zone", "n"}, {"State", "ready"}, {"Slots", 4}};
    return {
        {"Table", "servers"}, {"Key", key}, {"ApiVersion", 5}, {"Value", absl::Base64Escape(dump(entry))}};
}

// A store whose list of replicas comes in two pages, the second of which it refuses at first.
class paged_store {
public:
    explicit paged_store(event_loop& loop)
        : server(loop, [this](const received_request& request, const std::shared_ptr<http_reply>& reply) {
              this->take(request, reply);
          })
    {
        this->at = {"127.0.0.1", *this->server.listen({"127.0.0.1", 0})};
    }

    endpoint at;
    int refusals = 0;
    std::map<std::string, int> pages;
    //! Versions after which changes of the replicas were asked for.
    std::vector<std::string> followed_after;

private:
    void take(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const bool of_replicas = request.parameter("Table") == "servers";
        if (request.path == "/rows-get" && of_replicas) {
            this->send_page(request.parameter("From"), reply);
            return;
        }
        if (request.path == "/rows-feed" && of_replicas) {
            this->followed_after.push_back(request.parameter("AfterRevision"));
        }
        this->held.push_back(reply);
    }

    void send_page(const std::string& from, const std::shared_ptr<http_reply>& reply)
    {
        ++this->pages[from];
        if (from.empty()) {
            reply->send(200, dump({{"ApiVersion", 70},
                                   {"HasMore", true},
                                   {"Rows", json::array({replica_row("i-1"), replica_row("i-2")})}}));
        } else if (this->refusals-- > 0) {
            reply->send(503, "{}");
        } else {
            reply->send(
                200,
                dump({{"ApiVersion", 90}, {"HasMore", false}, {"Rows", json::array({replica_row("i-3")})}}));
        }
    }

    http_server server;
    std::vector<std::shared_ptr<http_reply>> held;
};

// A store in which so many replicas have registered that their changes come in several answers, each of which
// says no more than how far it goes.
class store_of_many_changes {
public:
    explicit store_of_many_changes(event_loop& loop)
        : server(loop, [this](const received_request& request, const std::shared_ptr<http_reply>& reply) {
              this->take(request, reply);
          })
    {
        this->at = {"127.0.0.1", *this->server.listen({"127.0.0.1", 0})};
    }

    static constexpr std::int64_t replicas = 1'200;

    endpoint at;
    //! Called before each answer about changes, with the version from which it goes on.
    std::function<void(std::int64_t after)> before_answer;

private:
    void take(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (request.path != "/rows-feed" || request.parameter("Table") != "servers") {
            this->held.push_back(reply);
            return;
        }
        const std::int64_t after = std::stoll(request.parameter("AfterRevision"));
        this->before_answer(after);
        constexpr std::int64_t most_rows = 500;
        const std::int64_t last = std::min(replicas, after + most_rows);
        json rows = json::array();
        for (std::int64_t version = after + 1; version <= last; ++version) {
            rows.push_back(replica_row("i-" + std::to_string(version)));
        }
        reply->send(200, dump({{"ApiVersion", last}, {"Rows", rows}}));
    }

    http_server server;
    std::vector<std::shared_ptr<http_reply>> held;
};

} // namespace

// The load that it answers: hundreds of replicas register in a second.
TEST_CASE(
    "changes that come in several answers are asked for at once, and until then nothing new counts as known")
{
    event_loop loop;
    store_of_many_changes offered(loop);
    entry_settings settings;
    settings.store = offered.at;
    settings.drain_time = {60'000};
    entry_context context(loop, platform::users_platform(), settings);
    store_client store(context);
    store_watch watch(context, store);
    context.targets_known = true;
    context.position.targets = 1;
    const time_point known_before = event_loop::now();
    context.targets_as_of = known_before;
    std::vector<std::int64_t> asked_after;
    offered.before_answer = [&](std::int64_t after) {
        asked_after.push_back(after);
        CHECK((context.targets_as_of == known_before));
    };
    watch.start();
    const event_loop::timer done = loop.run_every({10}, [&] {
        if (context.targets_as_of != known_before) {
            loop.stop();
        }
    });
    const event_loop::timer too_late = loop.run_after({10'000}, [&] { loop.stop(); });
    loop.run();
    CHECK((context.targets_as_of > known_before));
    CHECK(context.targets.size() == store_of_many_changes::replicas - 1);
    CHECK(asked_after == std::vector<std::int64_t>{1, 501, 1'001});
}

// The load that it answers: hundreds of daemons start at once, and the store refuses most of their calls.
TEST_CASE("a page of the replicas that the store refused is asked for again, those before it are not")
{
    event_loop loop;
    paged_store offered(loop);
    offered.refusals = 3;
    entry_settings settings;
    settings.store = offered.at;
    settings.drain_time = {1'000};
    entry_context context(loop, platform::users_platform(), settings);
    store_client store(context);
    store_watch watch(context, store);
    watch.start();
    const event_loop::timer done = loop.run_every({10}, [&] {
        if (!offered.followed_after.empty()) {
            loop.stop();
        }
    });
    const event_loop::timer too_late = loop.run_after({10'000}, [&] { loop.stop(); });
    loop.run();
    CHECK(context.targets_known);
    CHECK(context.targets.size() == 3);
    CHECK(offered.pages[""] == 1);
    CHECK(offered.pages.size() == 2);
    CHECK(offered.pages["i-2\x01"] == 4);
    // What changed after the first page was read is asked for.
    REQUIRE_FALSE(offered.followed_after.empty());
    CHECK(offered.followed_after.front() == "70");
}

// The load that it answers: a daemon takes over from a reader of hundreds of targets, which it knows already.
TEST_CASE("a daemon that knows the targets up to a version of the store asks only for what changed since")
{
    event_loop loop;
    paged_store offered(loop);
    entry_settings settings;
    settings.store = offered.at;
    settings.drain_time = {1'000};
    entry_context context(loop, platform::users_platform(), settings);
    store_client store(context);
    store_watch watch(context, store);
    context.targets_known = true;
    context.position.targets = 68;
    watch.start();
    const event_loop::timer done = loop.run_every({10}, [&] {
        if (!offered.followed_after.empty()) {
            loop.stop();
        }
    });
    const event_loop::timer too_late = loop.run_after({5'000}, [&] { loop.stop(); });
    loop.run();
    CHECK(offered.pages.empty());
    REQUIRE_FALSE(offered.followed_after.empty());
    CHECK(offered.followed_after.front() == "68");
}
