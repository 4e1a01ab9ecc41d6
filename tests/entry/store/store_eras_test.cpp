#include "absl/strings/str_cat.h"
#include "dialect.hpp"
#include "entry/store/store_client.hpp"
#include "entry/store/store_history.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

std::string store_text(int status, const std::string& era)
{
    const std::string body = R"({"Rows":[],"ApiVersion":7})";
    const std::string header = era.empty() ? "" : absl::StrCat("Store-Era: ", era, "\r\n");
    return absl::StrCat("HTTP/1.1 ", status, " X\r\n", header, "Content-Length: ", body.size(), "\r\n\r\n",
                        body);
}

//! A daemon and a store whose answers a test writes.
struct store_caller {
    event_loop loop;
    std::vector<raw_connection*> asked;
    scripted_server server{this->loop, [this](raw_connection& from) { this->asked.push_back(&from); }};
    entry_context context{this->loop, platform::users_platform(), settings_for(this->server.address())};
    store_client store{this->context};
    std::vector<store_answer> answers;
    int eras = 0;

    store_caller()
    {
        this->context.on_new_era = [this] { ++this->eras; };
    }

    static entry_settings settings_for(const endpoint& at)
    {
        entry_settings settings;
        settings.store = at;
        return settings;
    }

    // Makes a call; which one it is among those that have arrived.
    std::size_t call()
    {
        const std::size_t before = this->asked.size();
        this->store.call(this->context.dialect.rows_call("t", ""), {2'000}, store_reason::rows,
                         [this](const store_answer& answer) { this->answers.push_back(answer); });
        REQUIRE(run_until(this->loop, [&] { return this->asked.size() > before; }));
        return before;
    }

    store_answer answer(std::size_t call, int status, const std::string& era)
    {
        const std::size_t before = this->answers.size();
        this->asked.at(call)->write(store_text(status, era));
        REQUIRE(run_until(this->loop, [&] { return this->answers.size() > before; }));
        return this->answers.back();
    }

    // As a daemon that knows what the store held in that era.
    void know(std::int64_t era)
    {
        this->context.position = {{era}, 5, 5};
        this->context.era = {era};
    }
};

} // namespace

TEST_CASE("a new era goes unnoticed in an answer that is an error")
{
    for (const int status : {200, 410, 412, 429, 503, 500}) {
        CAPTURE(status);
        store_caller caller;
        caller.know(3);
        const store_answer answer = caller.answer(caller.call(), status, "4");
        CHECK(caller.context.era == store_era{4});
        CHECK(caller.eras == 1);
        CHECK(caller.context.position == store_position{{4}, 0, 0});
        CHECK(answer.has_crossed_eras);
    }
}

TEST_CASE("an answer of an older era that comes late is taken for the store's present state")
{
    store_caller caller;
    caller.know(3);
    const std::size_t first = caller.call();
    const std::size_t second = caller.call();
    CHECK(caller.answer(second, 200, "4").result == store_result::ok);
    const store_answer late = caller.answer(first, 200, "3");
    CHECK(late.result == store_result::unsure);
    CHECK(late.rows.rows.empty());
    CHECK(caller.eras == 1);
    CHECK(caller.context.era == store_era{4});
}

TEST_CASE("the first era that a daemon hears of costs it no second reading")
{
    store_caller caller;
    const store_answer answer = caller.answer(caller.call(), 200, "9");
    CHECK(answer.result == store_result::ok);
    CHECK_FALSE(answer.has_crossed_eras);
    CHECK(caller.eras == 0);
    CHECK(caller.context.era == store_era{9});
    SUBCASE("unless it has learnt positions from a daemon that knows no eras")
    {
        store_caller other;
        other.context.position = {{0}, 5, 5};
        other.answer(other.call(), 200, "9");
        CHECK(other.eras == 1);
        CHECK(other.context.position == store_position{{9}, 0, 0});
    }
}

TEST_CASE("an era that is missing or no number stops a daemon from reading the store")
{
    for (const std::string era : {"", "x", "-1", "4x", "99999999999999999999"}) {
        CAPTURE(era);
        store_caller caller;
        caller.know(3);
        CHECK(caller.answer(caller.call(), 200, era).result == store_result::ok);
        CHECK(caller.context.era == store_era{3});
        CHECK(caller.eras == 0);
    }
}

TEST_CASE("an era that goes down is believed")
{
    store_caller caller;
    caller.know(3);
    CHECK(caller.answer(caller.call(), 200, "2").result == store_result::unsure);
    CHECK(caller.context.era == store_era{3});
    CHECK(caller.eras == 0);
}
