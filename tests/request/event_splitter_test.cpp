#include "request/event_splitter.hpp"

#include <doctest/doctest.h>
#include <initializer_list>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

const std::string three_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

TEST_CASE("events are counted as they are returned, without comments and repeated ones")
{
    event_splitter splitter;
    splitter.events_only = true;
    take_events(splitter, ": comment\n\nid: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 2\nda");
    CHECK(splitter.returned_events == 1);
    take_events(splitter, "ta: b\n\n: comment\n\n");
    CHECK(splitter.returned_events == 2);
}

TEST_CASE("only complete events are forwarded, however their bytes arrive")
{
    for (std::size_t part = 1; part <= three_events.size(); ++part) {
        event_splitter splitter;
        std::string forwarded;
        for (std::size_t at = 0; at < three_events.size(); at += part) {
            forwarded += take_events(splitter, std::string_view(three_events).substr(at, part));
            CHECK((forwarded.empty() || forwarded.ends_with("\n\n")));
        }
        CHECK(forwarded == three_events);
        CHECK(splitter.pending.empty());
        CHECK(splitter.last_id == 3);
    }
}

TEST_CASE("an incomplete event is held back")
{
    event_splitter splitter;
    CHECK(take_events(splitter, "id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.last_id == 1);
    CHECK(splitter.pending == "id: 2\nda");
}

TEST_CASE("events that were already forwarded are omitted after the stream is resumed")
{
    event_splitter splitter;
    take_events(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(take_events(splitter, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

TEST_CASE("the id of an event is found after any other fields")
{
    struct id_case {
        std::string event;
        std::optional<std::int64_t> id;
    };
    const std::vector<id_case> table{
        {"id: 7\ndata: x\n\n", 7},
        {"id:7\n\n", 7},
        {"versions: 3\nid: 8\ndata: x\n\n", 8},
        {"data: id: 9\n\n", std::nullopt},
        {"data: x\n\n", std::nullopt},
        {"id: x\n\n", std::nullopt},
        {"id: 5\r\ndata: x\r\n\r\n", 5},
    };
    for (const id_case& one : table) {
        CAPTURE(one.event);
        CHECK(event_id(one.event) == one.id);
    }
}

TEST_CASE("events without an id are forwarded")
{
    event_splitter splitter;
    CHECK(take_events(splitter, ": comment\n\n") == ": comment\n\n");
    CHECK_FALSE(splitter.last_id.has_value());
}

// A faulty engine may send an event that never ends.
TEST_CASE("an event that exceeds the maximum size is detected, however its bytes arrive")
{
    for (const std::size_t part : {std::size_t{1}, std::size_t{1'000}, 2 * max_event_bytes}) {
        CAPTURE(part);
        event_splitter splitter;
        CHECK(take_events(splitter, "id: 1\ndata: a\n\nid: 2\ndata: ") == "id: 1\ndata: a\n\n");
        std::size_t sent = 0;
        while (!splitter.is_overlong && sent < 4 * max_event_bytes) {
            CHECK(take_events(splitter, std::string(part, 'x')).empty());
            sent += part;
        }
        CHECK(splitter.is_overlong);
        CHECK(sent <= max_event_bytes + part);
        CHECK(splitter.last_id == 1);
        discard_partial_event(splitter);
        CHECK_FALSE(splitter.is_overlong);
        CHECK(take_events(splitter, "id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    }
}

TEST_CASE("the end of an event is found when it is split between two reads")
{
    const std::string events = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
    for (std::size_t at = 1; at < events.size(); ++at) {
        CAPTURE(at);
        event_splitter splitter;
        std::string forwarded = take_events(splitter, events.substr(0, at));
        forwarded += take_events(splitter, events.substr(at));
        CHECK(forwarded == events);
    }
}

TEST_CASE("data that is not an event ends the stream, and none of it is forwarded")
{
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\noops";
    for (const std::string& invalid :
         {head, std::string("{\"error\":1}\n\n"), std::string("oops\n\n"), "id: 4\nda" + head,
          std::string("id: 4\n{\"error\":1}\n\n"), std::string("data: no id\n\n")}) {
        CAPTURE(invalid);
        for (std::size_t part = 1; part <= invalid.size(); ++part) {
            event_splitter splitter;
            splitter.events_only = true;
            splitter.needs_ids = true;
            REQUIRE(take_events(splitter, three_events) == three_events);
            std::string forwarded;
            for (std::size_t at = 0; at < invalid.size(); at += part) {
                forwarded += take_events(splitter, std::string_view(invalid).substr(at, part));
            }
            CHECK(splitter.is_malformed);
            CHECK(forwarded.empty());
            CHECK(take_events(splitter, "id: 9\ndata: x\n\n").empty());
            CHECK(splitter.last_id == 3);
        }
    }
}

TEST_CASE("comments, engine-specific fields and events without data are valid in an event stream")
{
    for (const std::string own : {": still here\n\n", "\n\n", "weight-versions: 7\nid: 4\ndata: x\n\n",
                                  "id: 4\n\n", "id: 4\r\ndata: x\r\n\r\n", "event: end\nid: 4\ndata\n\n"}) {
        CAPTURE(own);
        event_splitter splitter;
        splitter.events_only = true;
        splitter.needs_ids = true;
        CHECK(take_events(splitter, three_events + own) == three_events + own);
        CHECK_FALSE(splitter.is_malformed);
    }
}

TEST_CASE("invalid data at the end of a stream is distinguished from an incomplete event")
{
    event_splitter splitter;
    splitter.events_only = true;
    for (const std::string partial : {"", "id: 4\nda", "weight-ver", ": comm", "id"}) {
        CAPTURE(partial);
        splitter.pending = partial;
        CHECK(may_be_partial_event(splitter));
    }
    for (const std::string partial :
         {"{\"error\"", "HTTP/1.1 500 X\r\n", "oops\n", "Content-Type: text/plain"}) {
        CAPTURE(partial);
        splitter.pending = partial;
        splitter.events_only = true;
        CHECK_FALSE(may_be_partial_event(splitter));
        splitter.events_only = false;
        CHECK(may_be_partial_event(splitter));
    }
}

TEST_CASE("comments ahead of the first event are returned with it, however their bytes arrive")
{
    const std::string comments = ": one\n\n\r\n\r\n: two\n: three\n\n";
    const std::string text = comments + three_events + ": four\n\n";
    for (std::size_t part = 1; part <= text.size(); ++part) {
        CAPTURE(part);
        event_splitter splitter;
        splitter.events_only = true;
        std::string forwarded;
        for (std::size_t at = 0; at < text.size(); at += part) {
            forwarded += take_events(splitter, std::string_view(text).substr(at, part));
            CHECK((forwarded.empty() || forwarded.size() > comments.size()));
        }
        CHECK(forwarded == text);
        CHECK(splitter.has_events);
    }
}

TEST_CASE("comments that were held back are discarded with their attempt")
{
    event_splitter splitter;
    splitter.events_only = true;
    CHECK(take_events(splitter, ": one\n\n").empty());
    CHECK_FALSE(splitter.has_events);
    discard_partial_event(splitter);
    CHECK(take_events(splitter, three_events) == three_events);
}

TEST_CASE("comments without an end are passed on rather than held back")
{
    event_splitter splitter;
    splitter.events_only = true;
    const std::string comment = ": keep-alive\n\n";
    std::string sent;
    std::string forwarded;
    while (sent.size() < 3 * max_event_bytes) {
        sent += comment;
        forwarded += take_events(splitter, comment);
        REQUIRE(splitter.leading_comments.size() <= max_event_bytes);
    }
    CHECK_FALSE(forwarded.empty());
    CHECK_FALSE(splitter.has_events);
    forwarded += take_events(splitter, three_events);
    CHECK(forwarded == sent + three_events);
}

TEST_CASE("a body that ends with a comment or with line ends does not end inside an event")
{
    for (const std::string pending : {"", "\n", "\r\n", ": over\n", ":", ": over\n\r\n"}) {
        CAPTURE(pending);
        event_splitter splitter;
        splitter.pending = pending;
        CHECK_FALSE(is_inside_event(splitter));
    }
    for (const std::string pending : {"i", "id: 3", "data: x\n", ": over\ndata", "\ndata: x"}) {
        CAPTURE(pending);
        event_splitter splitter;
        splitter.pending = pending;
        CHECK(is_inside_event(splitter));
    }
}
