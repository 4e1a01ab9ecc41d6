#include "adapters/http_server.hpp"
#include "dialect.hpp"
#include "entry/store/store_client.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* no_rows = R"({"ApiVersion":1,"HasMore":false,"Rows":[]})";

//! A store that refuses every call while it is away, or gives no answer while it is silent, and counts them.
class counted_store {
public:
    explicit counted_store(event_loop& loop)
        : server(loop, [this](const received_request&, const std::shared_ptr<http_reply>& reply) {
              ++this->calls;
              if (this->is_silent) {
                  this->unanswered.push_back(reply);
                  return;
              }
              reply->send(this->is_away ? 503 : 200, no_rows);
          })
    {
        this->at = {"127.0.0.1", *this->server.listen({"127.0.0.1", 0})};
    }

    endpoint at;
    bool is_away = true;
    bool is_silent = false;
    int calls = 0;
    std::vector<std::shared_ptr<http_reply>> unanswered;

private:
    http_server server;
};

struct client_under_load {
    event_loop loop;
    counted_store offered{this->loop};
    entry_context context{this->loop, platform::users_platform(), this->settings()};
    store_client client{this->context};
    int asked = 0;
    int held_back = 0;
    int answered = 0;
    int failed = 0;
    event_loop::timer asking;

    entry_settings settings() const
    {
        entry_settings result;
        result.store = this->offered.at;
        return result;
    }

    // Asks for something every 10 ms, as several parts of a daemon do that lost the store.
    void run_for(milliseconds span)
    {
        this->asking = this->loop.run_every({10}, [this] { this->ask(); });
        const event_loop::timer end = this->loop.run_after(span, [this] { this->loop.stop(); });
        this->loop.run();
        this->asking = {};
    }

    void ask()
    {
        ++this->asked;
        const outgoing_call call = this->context.dialect.rows_call("any", "");
        this->client.call(call, {500}, store_reason::rows, [this](const store_answer& answer) {
            this->held_back += answer.held_back ? 1 : 0;
            this->answered += answer.result == store_result::ok ? 1 : 0;
            this->failed += answer.result != store_result::ok && !answer.held_back ? 1 : 0;
        });
    }
};

} // namespace

// The load that it answers: hundreds of daemons lose the store together, each with several things to ask.
TEST_CASE("while the store refuses, a daemon makes a call now and then whatever is asked of its client")
{
    client_under_load load;
    load.run_for({2'000});
    CHECK(load.asked > 100);
    CHECK(load.offered.calls <= 10);
    CHECK(load.offered.calls >= 3);
    CHECK(load.held_back >= load.asked - load.offered.calls - 2);
}

TEST_CASE("a store that is back is found within a second and a half, and every call is made again")
{
    client_under_load load;
    load.run_for({1'500});
    load.offered.is_away = false;
    load.run_for({1'500});
    CHECK(load.answered > 0);
    const int held_back_before = load.held_back;
    load.run_for({300});
    CHECK(load.held_back == held_back_before);
}

TEST_CASE("a single failure holds nothing back")
{
    client_under_load load;
    load.ask();
    const event_loop::timer back = load.loop.run_after({50}, [&] {
        load.offered.is_away = false;
        load.ask();
    });
    const event_loop::timer end = load.loop.run_after({200}, [&] { load.loop.stop(); });
    load.loop.run();
    CHECK(load.held_back == 0);
    CHECK(load.answered == 1);
}

TEST_CASE("calls that fail together lengthen the pause once")
{
    client_under_load load;
    for (int i = 0; i < 5; ++i) {
        load.ask();
    }
    REQUIRE(run_until(load.loop, [&] { return load.failed == 5; }));
    constexpr milliseconds longest_first_pause{225};
    run_until(
        load.loop, [] { return false; }, longest_first_pause + milliseconds{20});
    load.offered.is_away = false;
    load.ask();
    CHECK(run_until(load.loop, [&] { return load.answered + load.held_back == 1; }));
    CHECK(load.answered == 1);
}

TEST_CASE("calls from before the store's return that fail after it hold nothing back")
{
    client_under_load load;
    load.offered.is_away = false;
    load.offered.is_silent = true;
    load.ask();
    load.ask();
    REQUIRE(run_until(load.loop, [&] { return load.offered.calls == 2; }));
    load.offered.is_silent = false;
    load.ask();
    REQUIRE(run_until(load.loop, [&] { return load.answered == 1 && load.failed == 2; }));
    load.ask();
    CHECK(run_until(load.loop, [&] { return load.answered + load.held_back == 2; }));
    CHECK(load.answered == 2);
}

TEST_CASE("an answer to a call from before the failures lets one call try, not all of them")
{
    client_under_load load;
    load.offered.is_silent = true;
    load.ask();
    REQUIRE(run_until(load.loop, [&] { return load.offered.calls == 1; }));
    load.offered.is_silent = false;
    load.ask();
    load.ask();
    REQUIRE(run_until(load.loop, [&] { return load.failed == 2; }));
    load.offered.unanswered.front()->send(200, no_rows);
    REQUIRE(run_until(load.loop, [&] { return load.answered == 1; }));
    load.ask();
    load.ask();
    CHECK(run_until(load.loop, [&] { return load.failed == 3; }));
    CHECK(load.held_back == 1);
    CHECK(load.offered.calls == 4);
}

TEST_CASE("the wait for an answer that did not come is part of the pause after it")
{
    constexpr milliseconds pause{1'000};
    constexpr milliseconds shortest{150};
    CHECK(left_of_pause(pause, shortest, {0}, 1.0) == pause);
    CHECK(left_of_pause(pause, shortest, {700}, 1.5) == milliseconds{800});
    CHECK(left_of_pause(pause, shortest, {2'700}, 1.5) == milliseconds{225});
}

TEST_CASE("calls are counted by what they are made for and by what became of them")
{
    client_under_load load;
    load.ask();
    const event_loop::timer end = load.loop.run_after({100}, [&] { load.loop.stop(); });
    load.loop.run();
    CHECK(load.context.metrics.store_calls.at("rows").at("refused") == 1);
}

TEST_CASE("a daemon that begins to read long after its calls failed says that the store is lost")
{
    client_under_load load;
    load.run_for({500});
    REQUIRE(load.client.holds_back());
    CHECK(load.client.contact_since(event_loop::now()) == store_contact::lost);
    constexpr milliseconds longest_pause{1'500};
    run_until(
        load.loop, [] { return false; }, longest_pause);
    const time_point began = event_loop::now();
    CHECK(load.client.contact_since(began) == store_contact::unknown);
    load.ask();
    CHECK(load.client.contact_since(began) == store_contact::unknown);
    REQUIRE(run_until(load.loop, [&] { return load.client.contact_since(began) == store_contact::lost; }));
    load.offered.is_away = false;
    load.run_for(longest_pause);
    CHECK(load.client.contact_since(began) == store_contact::reached);
}

TEST_CASE("an outage begins with the last answer that the store gave this daemon or its reader")
{
    client_under_load load;
    constexpr milliseconds ago{100};
    const time_point reader_answered_at = event_loop::now() - ago;
    load.context.targets_as_of = reader_answered_at - milliseconds{900};
    load.context.reader_answered_at = reader_answered_at;
    load.ask();
    REQUIRE(run_until(load.loop, [&] { return load.failed == 1; }));
    load.offered.is_away = false;
    load.ask();
    REQUIRE(run_until(load.loop, [&] { return load.answered == 1; }));
    CHECK((load.client.last_outage().began == reader_answered_at));
}
