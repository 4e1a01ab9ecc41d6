#include "message_headers.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::platform;

TEST_CASE("a request's headers are read, odd ones as absent")
{
    const request_facts facts = read_request_headers({{"dandelionstep-attempt-id", "abc"},
                                                      {"Dandelionstep-Credential", "key"},
                                                      {"Dandelionstep-Deadline-Remaining", "2500"},
                                                      {"Dandelionstep-Token-Counts", "1460,80"},
                                                      {"Dandelionstep-Length-Hint", "60"},
                                                      {"Last-Event-Id", "12"}});
    CHECK(facts.attempt_id == "abc");
    CHECK(facts.key == "key");
    CHECK(facts.patience == milliseconds{2'500});
    CHECK(facts.prompt_tokens.value == 1'460);
    CHECK(facts.max_answer_tokens.value == 80);
    CHECK(facts.answer_hint == 60);
    CHECK(facts.last_event == 12);
    const request_facts odd = read_request_headers({{"Dandelionstep-Deadline-Remaining", "soon"},
                                                    {"Dandelionstep-Token-Counts", "7"},
                                                    {"Last-Event-Id", ""}});
    CHECK_FALSE(odd.patience.has_value());
    CHECK(odd.prompt_tokens.value == 0);
    CHECK_FALSE(odd.last_event.has_value());
}

TEST_CASE("the segments of a prompt are read, but for the last one")
{
    const auto read = [](const http_headers& headers) {
        std::vector<std::string> ids;
        for (const segment_id& id : read_request_headers(headers).shared_segments) {
            ids.push_back(id.value);
        }
        return ids;
    };
    constexpr const char* name = "Dandelionstep-Prompt-Prefix";
    using ids = std::vector<std::string>;
    CHECK(read({{name, "5c1e07a2:800,91BD3F06:410,e4402b7d:250"}}) == ids{"5c1e07a2", "91bd3f06"});
    CHECK(read({{name, " 5c1e07a2:800 , 91bd3f06:410"}, {name, "e4402b7d:250"}}) ==
          ids{"5c1e07a2", "91bd3f06"});
    CHECK(read({{name, "5c1e07a2:800"}}).empty());
    CHECK(read({{name, ""}}).empty());
    CHECK(read({{name, ",:7,a,b:,:"}}) == ids{"a", "b"});
    CHECK(read({}).empty());
}

TEST_CASE(
    "numbers beyond all bounds are read as the nearest that can be used, and what is no number as absent")
{
    constexpr std::int64_t most = std::int64_t{1} << 53;
    constexpr std::int64_t most_tokens = 1'000'000'000;
    const auto read = [](const std::string& number) {
        return read_request_headers({{"Dandelionstep-Deadline-Remaining", number},
                                     {"Dandelionstep-Token-Counts", number + "," + number},
                                     {"Dandelionstep-Length-Hint", number},
                                     {"Last-Event-Id", number}});
    };
    for (const std::string large : {"1e300", "1e400", "inf", "9223372036854775807", "18446744073709551616"}) {
        CAPTURE(large);
        const request_facts facts = read(large);
        CHECK(facts.patience == milliseconds{most});
        CHECK(facts.last_event == most);
        CHECK(facts.answer_hint == most);
        CHECK(facts.prompt_tokens.value == most_tokens);
        CHECK(facts.max_answer_tokens.value == most_tokens);
        const request_facts negative = read("-" + large);
        CHECK(negative.patience == milliseconds{-most});
        CHECK(negative.prompt_tokens.value == 0);
        CHECK(negative.max_answer_tokens.value == 0);
    }
    CHECK_FALSE(read("nan").patience.has_value());
    CHECK_FALSE(read("nan").last_event.has_value());
}

TEST_CASE("a target's response states whether it ran the request")
{
    struct response_case {
        int status;
        http_headers headers;
        bool did_not_run;
    };
    const std::vector<response_case> table{
        {200, {{"Dandelionstep-Server-Signature", "s"}}, false},
        {503, {{"Dandelionstep-Not-Executed", "1"}}, true},
        {429, {{"Dandelionstep-Not-Executed", "1"}}, true},
        {421, {}, true},
        {503, {}, false},
        {500, {{"Dandelionstep-Server-Signature", "s"}}, false},
    };
    for (const response_case& one : table) {
        CAPTURE(one.status);
        CHECK(read_response_headers(one.status, one.headers).did_not_run == one.did_not_run);
    }
}

TEST_CASE("loads, engines at fault and encodings of responses are read")
{
    const response_facts facts = read_response_headers(503, {{"Dandelionstep-Replica-Load", "3,1,8"},
                                                             {"At-Server", "10.2.64.3:8080"},
                                                             {"Content-Encoding", "gzip"}});
    REQUIRE(facts.load.has_value());
    CHECK(facts.load->running == 3);
    CHECK(facts.load->waiting == 1);
    CHECK(facts.load->slots == 8);
    CHECK(facts.at_fault == endpoint{"10.2.64.3", 8080});
    CHECK(facts.is_encoded);
    CHECK_FALSE(read_response_headers(200, {{"Content-Encoding", "identity"}}).is_encoded);
    CHECK_FALSE(read_response_headers(200, {{"At-Server", "?"}}).at_fault.has_value());
}

TEST_CASE("what only the router may say is taken from a caller's headers, and its key is not passed on")
{
    forwarding added;
    added.expected = target_id("i-1");
    added.organisation = organisation_id("t1");
    added.patience = {1'200};
    added.last_event = 4;
    added.urgency = 2;
    added.path = {{target_id("i-1"), {"10.1.64.9", 8080}, {0, 20}},
                  {target_id("i-2"), {"10.2.64.3", 8080}, {20, 80}}};
    const http_headers headers = forwarded_headers({{"Host", "a.example"},
                                                    {"Dandelionstep-Attempt-Id", "abc"},
                                                    {"Dandelionstep-Model", "m"},
                                                    {"Dandelionstep-Credential", "key"},
                                                    {"dandelionstep-tenant", "someone-else"},
                                                    {"Dandelionstep-Expected-Instance", "other"},
                                                    {"Dandelionstep-Hop-Count", "1.1.1.1:1=0-80"},
                                                    {"Dandelionstep-Request-Urgency", "0"},
                                                    {"Dandelionstep-Deadline-Remaining", "9999"},
                                                    {"Last-Event-Id", "1"},
                                                    {"Connection", "keep-alive"}},
                                                   added);
    CHECK(headers == http_headers{{"Host", "a.example"},
                                  {"Dandelionstep-Attempt-Id", "abc"},
                                  {"Dandelionstep-Model", "m"},
                                  {"Dandelionstep-Deadline-Remaining", "1200"},
                                  {"Dandelionstep-Expected-Instance", "i-1"},
                                  {"Dandelionstep-Tenant", "t1"},
                                  {"Last-Event-Id", "4"},
                                  {"Dandelionstep-Request-Urgency", "2"},
                                  {"Dandelionstep-Hop-Count", "10.1.64.9:8080=0-20,10.2.64.3:8080=20-80"}});
}

TEST_CASE("a target's headers are passed on unchanged but for those of its connection and of the router")
{
    CHECK(answered_headers({{"Dandelionstep-Server-Signature", "s"},
                            {"Dandelionstep-Weight-Versions", "3"},
                            {"Dandelionstep-Replica-Load", "1,0,8"},
                            {"Connection", "close"},
                            {"Content-Type", "text/plain"}}) ==
          http_headers{{"Dandelionstep-Server-Signature", "s"},
                       {"Dandelionstep-Weight-Versions", "3"},
                       {"Content-Type", "text/plain"}});
}

TEST_CASE("a target says in any answer of its own that it leaves")
{
    const http_headers leaving{{"Server-Leaving", "1"}};
    for (const int status : {200, 202, 409, 500, 503}) {
        CAPTURE(status);
        CHECK(read_response_headers(status, leaving).is_leaving);
        CHECK_FALSE(read_response_headers(status, {}).is_leaving);
    }
    CHECK_FALSE(read_response_headers(200, {{"Server-Leaving", "0"}}).is_leaving);
    // Another target at the address answers so.
    CHECK_FALSE(read_response_headers(421, leaving).is_leaving);
}

TEST_CASE("a refusal may ask for a rest, in seconds and fractions")
{
    CHECK(read_response_headers(503, {{"Retry-After", "2"}}).rest == milliseconds{2'000});
    CHECK(read_response_headers(503, {{"Retry-After", "0.25"}}).rest == milliseconds{250});
    CHECK_FALSE(read_response_headers(503, {}).rest.has_value());
    CHECK_FALSE(read_response_headers(200, {{"Retry-After", "2"}}).rest.has_value());
    for (const char* figure : {"soon", "-1", "1e99", "nan", "inf", "Fri, 04 Dec 2026 21:00:00 GMT"}) {
        CAPTURE(figure);
        const response_facts facts = read_response_headers(503, {{"Retry-After", figure}});
        CHECK_FALSE(facts.rest.has_value());
        CHECK(facts.has_unreadable_rest);
    }
}
