#include "dialect.hpp"
#include "entry/peers/peer_exchange.hpp"
#include "entry/peers/peer_port.hpp"
#include "entry/registry/known_state.hpp"
#include "support/cluster.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

struct asking_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
    peer_exchange exchange{this->context};

    // When the store answered the reader, as far as this daemon knows once it has the answer.
    time_point learns(std::optional<milliseconds> age, time_point asked_at)
    {
        peer_answer answer;
        answer.store_age = age;
        this->exchange.take(answer, asked_at, true);
        return this->context.reader_answered_at;
    }
};

} // namespace

TEST_CASE("the store's age that a reader tells is a time on the clock of the daemon that asked")
{
    asking_daemon asker;
    const time_point asked_at = event_loop::now() - milliseconds{2'000};
    // On the reader's own clock.
    const time_point came_at{50'000};
    CHECK(asker.learns(store_age(came_at - milliseconds{400}, came_at), asked_at) ==
          asked_at - milliseconds{400});
    // The store answered while the question waited.
    CHECK(asker.learns(store_age(came_at + milliseconds{700}, came_at), asked_at) ==
          asked_at + milliseconds{700});
}

TEST_CASE("an older answer of the store, or none, does not replace a newer one")
{
    asking_daemon asker;
    const time_point asked_at = event_loop::now();
    CHECK(asker.learns(store_age({0}, {50'000}), asked_at) == time_point{0});
    CHECK(asker.learns(milliseconds{400}, asked_at) == asked_at - milliseconds{400});
    CHECK(asker.learns(milliseconds{900}, asked_at) == asked_at - milliseconds{400});
    CHECK(asker.learns(std::nullopt, asked_at) == asked_at - milliseconds{400});
}

TEST_CASE("the store has not answered later than now, whatever a reader tells")
{
    asking_daemon asker;
    CHECK(asker.learns(milliseconds{-60'000}, event_loop::now()) <= event_loop::now());
}

TEST_CASE("the time that a question waits at the reader does not make the store's answer older or newer")
{
    constexpr milliseconds waited{600};
    asking_daemon asker;
    entry_context reader{asker.loop, platform::users_platform(), {}};
    REQUIRE(put_config(reader, R"({"Version":1,"Tenants":[]})", "test"));
    reader.targets_known = true;
    peer_port port(reader, 7);
    const time_point store_answered = event_loop::now() - milliseconds{5'000};
    port.store_answered_at = [&] { return store_answered; };
    const endpoint at{"127.0.0.1", free_port()};
    REQUIRE(port.listen(at).ok());
    // Nothing is new for it, so that it waits to the end.
    peer_question question;
    question.process = 7;
    question.sequence = reader.changes.sequence;
    question.suspects_sequence = reader.suspects.changes.sequence;
    question.config_version = 1;
    question.wait = waited;
    http_client http(asker.loop);
    http_result result;
    const time_point asked_at = event_loop::now();
    http.send(at, {.method = "POST", .path = "/changes", .body = to_text(question)},
              [&](const http_result& got) {
                  result = got;
                  asker.loop.stop();
              });
    asker.loop.run();
    const milliseconds whole = event_loop::now() - asked_at;
    REQUIRE(whole >= waited);
    const auto answer = parse_peer_answer(result.body);
    REQUIRE(answer.ok());
    const time_point learnt = asker.learns(answer->store_age, asked_at);
    CHECK(learnt <= store_answered);
    // But for the time on the way.
    CHECK(learnt >= store_answered - (whole - waited));
}
