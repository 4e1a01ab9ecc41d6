#include "adapters/http_reader.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;

namespace {

struct read_message {
    http_head head;
    std::string body;
    bool complete = false;
    bool malformed = false;
    std::size_t taken = 0;
};

// Feeds the bytes in parts of the given size until a message ends.
read_message read_in_parts(http_reader::kind kind, const std::string& bytes, std::size_t part)
{
    read_message result;
    http_reader reader(kind, {[&](http_head& head) { result.head = head; },
                              [&](std::string_view text) { result.body += text; }});
    for (std::size_t at = 0; at < bytes.size(); at += part) {
        const auto fed = reader.feed(std::string_view(bytes).substr(at, part));
        result.taken += fed.taken;
        if (fed.state == http_reader::progress::malformed) {
            result.malformed = true;
            return result;
        }
        if (fed.state == http_reader::progress::complete) {
            result.complete = true;
            return result;
        }
    }
    return result;
}

} // namespace

TEST_CASE("a request is read the same however its bytes arrive")
{
    const std::string with_length = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    const std::string in_chunks = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    for (const std::string& bytes : {with_length, in_chunks}) {
        for (std::size_t part = 1; part <= bytes.size(); ++part) {
            const read_message read = read_in_parts(http_reader::kind::requests, bytes, part);
            REQUIRE(read.complete);
            CHECK(read.head.method == "POST");
            CHECK(read.head.target == "/a/b?c=d");
            CHECK(read.head.header("host") == "x");
            CHECK(read.body == "hello");
            CHECK(read.head.keep_alive);
        }
    }
}

TEST_CASE("what follows a message is not taken")
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const read_message read =
        read_in_parts(http_reader::kind::requests, first + "GET /2 HTTP/1.1\r\n\r\n", 1'000);
    CHECK(read.complete);
    CHECK(read.taken == first.size());
}

TEST_CASE("one reader reads the messages of a connection one after the other")
{
    std::vector<std::string> targets;
    http_reader reader(http_reader::kind::requests,
                       {[&](http_head& head) { targets.push_back(head.target); }, [](std::string_view) {}});
    std::string bytes = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    while (!bytes.empty()) {
        const auto fed = reader.feed(bytes);
        REQUIRE(fed.state == http_reader::progress::complete);
        bytes.erase(0, fed.taken);
    }
    CHECK(targets == std::vector<std::string>{"/1", "/2"});
}

TEST_CASE("bytes that are no message are found")
{
    for (const std::string bytes :
         {"\x01\x02\x03 nonsense\r\n\r\n", "GET\r\n\r\n", "HTTP/9 x\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding\t: chunked\r\n\r\n", "POST / HTTP/1.1\r\nA B: c\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"}) {
        CAPTURE(bytes);
        CHECK(read_in_parts(http_reader::kind::requests, bytes, 1'000).malformed);
    }
    CHECK(read_in_parts(http_reader::kind::responses, "oops", 1'000).malformed);
    const std::string spaced = "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok";
    CHECK(read_in_parts(http_reader::kind::responses, spaced, 1'000).malformed);
}

TEST_CASE("a response without a length ends with its connection")
{
    http_head head;
    std::string body;
    http_reader reader(http_reader::kind::responses,
                       {[&](http_head& read) { head = read; }, [&](std::string_view part) { body += part; }});
    CHECK(reader.feed("HTTP/1.1 200 OK\r\n\r\nsome").state == http_reader::progress::needs_more);
    CHECK(reader.end_of_input());
    CHECK(head.status == 200);
    CHECK_FALSE(head.keep_alive);
    CHECK(body == "some");
}

TEST_CASE("a response that is cut before its length is not ended by the end of its connection")
{
    for (const std::string bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome", "HTTP/1.1 200 OK\r\nContent-Le",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"}) {
        CAPTURE(bytes);
        http_reader reader(http_reader::kind::responses, {[](http_head&) {}, [](std::string_view) {}});
        reader.feed(bytes);
        CHECK_FALSE(reader.end_of_input());
    }
}

TEST_CASE("interim responses are passed over")
{
    const read_message read = read_in_parts(
        http_reader::kind::responses, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 1'000);
    CHECK(read.complete);
    CHECK(read.head.status == 204);
}

TEST_CASE("heads of other responses before the answer take no part in it")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string before :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
          "HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"}) {
        for (const std::size_t part : {std::size_t{1}, std::size_t{7}, std::size_t{1'000}}) {
            CAPTURE(before);
            CAPTURE(part);
            const read_message read = read_in_parts(http_reader::kind::responses, before + answer, part);
            CHECK(read.complete);
            CHECK(read.head.status == 200);
            CHECK(read.body == "ok");
        }
    }
}

TEST_CASE("the end of the connection behind an interim response or inside its head ends no message")
{
    for (const std::string bytes :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: a", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r", "HTT", "\r\n"}) {
        CAPTURE(bytes);
        bool has_head = false;
        http_reader reader(http_reader::kind::responses,
                           {[&](http_head&) { has_head = true; }, [](std::string_view) {}});
        CHECK(reader.feed(bytes).state == http_reader::progress::needs_more);
        CHECK_FALSE(reader.end_of_input());
        CHECK_FALSE(has_head);
    }
}

TEST_CASE("a response that has no body by its status does not wait for the length that it tells")
{
    for (const std::string bytes : {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
                                    "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                                    "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
                                    "HTTP/1.1 304 Not Modified\r\n\r\n"}) {
        CAPTURE(bytes);
        const read_message read =
            read_in_parts(http_reader::kind::responses, bytes + "HTTP/1.1 200 OK\r\n", 1'000);
        CHECK(read.complete);
        CHECK(read.head.keep_alive);
        CHECK(read.body.empty());
        CHECK(read.taken == bytes.size());
    }
}

TEST_CASE("a response whose status is none is malformed, and not passed over as interim")
{
    for (const std::string status : {"0", "20", "99", "099", "000"}) {
        CAPTURE(status);
        const std::string bytes = "HTTP/1.1 " + status + " Odd\r\n\r\nHTTP/1.1 200 OK\r\n\r\n";
        const read_message read = read_in_parts(http_reader::kind::responses, bytes, 1'000);
        CHECK(read.malformed);
        CHECK(read.body.empty());
    }
}

TEST_CASE("a header line without a colon, and a length that is none, make a response malformed")
{
    for (const std::string bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length\r\n\r\nok", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Le\r\n\r\n",
          "HTTP/1.1 200 OK\r\n: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: 2 2\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        CAPTURE(bytes);
        CHECK(read_in_parts(http_reader::kind::responses, bytes, 1'000).malformed);
    }
}
