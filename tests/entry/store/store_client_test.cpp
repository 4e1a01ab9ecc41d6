#include "adapters/http_server.hpp"
#include "dialect.hpp"
#include "entry/store/store_client.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <memory>

using namespace dandelionstep;

namespace {

//! A store that refuses every call while it is away, and counts them.
class counted_store {
public:
    explicit counted_store(event_loop& loop)
        : server(loop, [this](const received_request&, const std::shared_ptr<http_reply>& reply) {
              ++this->calls;
              reply->send(this->is_away ? 503 : 200, R"({"ApiVersion":1,"HasMore":false,"Rows":[]})");
          })
    {
        this->at = {"127.0.0.1", *this->server.listen({"127.0.0.1", 0})};
    }

    endpoint at;
    bool is_away = true;
    int calls = 0;

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

TEST_CASE("calls are counted by what they are made for and by what became of them")
{
    client_under_load load;
    load.ask();
    const event_loop::timer end = load.loop.run_after({100}, [&] { load.loop.stop(); });
    load.loop.run();
    CHECK(load.context.metrics.store_calls.at("rows").at("refused") == 1);
}
