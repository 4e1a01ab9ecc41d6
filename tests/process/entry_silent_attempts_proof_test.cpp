#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "support/scripted_cluster.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr int last_event = 4;
constexpr milliseconds silence{1'400};
constexpr milliseconds enough_for_probes{600};

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        absl::StrAppend(&text, "id: ", id, "\ndata: part ", id, "\n\n");
    }
    return text;
}

std::string chunk(const std::string& text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n");
}

void begin_answer(const arrival& request)
{
    request.from->write(
        absl::StrCat("HTTP/1.1 200 OK\r\nDandelionstep-Server-Signature: s.1\r\n",
                     "Dandelionstep-Attempt-Id: ", request.head.header("Dandelionstep-Attempt-Id"),
                     "\r\nContent-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n\r\n"));
}

void write_events(const arrival& request, int first, int last)
{
    request.from->write(chunk(events(first, last)));
}

void end_answer(const arrival& request)
{
    request.from->write("0\r\n\r\n");
}

void answer_from(int first, const arrival& request)
{
    begin_answer(request);
    write_events(request, first, last_event);
    end_answer(request);
}

bool is_whole(const std::vector<raw_answer>& answers)
{
    return answers.size() == 1 && answers.front().whole && answers.front().status == 200 &&
           answers.front().body == events(1, last_event);
}

// Fills the queue of connections that wait to be accepted: until the listener accepts, new ones get no
// answer.
class full_queue {
public:
    explicit full_queue(const endpoint& of)
    {
        // More than the listener's backlog.
        constexpr int waiting = 100;
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(of.port);
        inet_pton(AF_INET, of.address.c_str(), &to.sin_addr);
        for (int i = 0; i < waiting; ++i) {
            const int waits = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const int made = connect(waits, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
            REQUIRE((made == 0 || errno == EINPROGRESS));
            this->sockets.push_back(waits);
        }
    }
    ~full_queue()
    {
        for (const int waits : this->sockets) {
            close(waits);
        }
    }
    full_queue(const full_queue&) = delete;
    full_queue& operator=(const full_queue&) = delete;
    full_queue(full_queue&&) = delete;
    full_queue& operator=(full_queue&&) = delete;

private:
    std::vector<int> sockets;
};

// Engines whose streams a test answers itself.
class silent_engines {
public:
    explicit silent_engines(std::size_t count_in) : cluster(count_in), count(count_in)
    {
        this->cluster.handle = [this](const arrival& request) {
            if (absl::StartsWith(request.head.target, "/ask/")) {
                this->streams.push_back(request);
                if (this->on_stream) {
                    this->on_stream(request);
                }
            } else if (this->dead.contains(request.target)) {
                request.from->reset();
            } else if (!this->silent.contains(request.target)) {
                this->calls.push_back(request);
                // Each request goes over a connection of its own.
                request.from->write(signed_answer(200, this->report, "Connection: close\r\n"));
                if (this->on_call) {
                    this->on_call(request);
                }
            }
        };
    }

    bool become_ready(const std::vector<registration>& entries, const std::function<void(json&)>& change = {})
    {
        const bool is_ready = this->cluster.become_ready([&change](json& config) {
            config["Services"][0]["Engine"]["Kinds"][0]["Megabytes"] = 60'000.0;
            if (change) {
                change(config);
            }
        });
        for (std::size_t i = 0; i < entries.size(); ++i) {
            this->cluster.enter(i, entries[i]);
        }
        return is_ready && this->cluster.await([&] {
            return this->cluster.daemons().gauge_of(0, "targets") ==
                   static_cast<std::int64_t>(this->count + entries.size());
        });
    }

    std::shared_ptr<raw_connection> ask(const std::string& attempt, const std::string& body = "question")
    {
        std::shared_ptr<raw_connection> caller = this->cluster.connect();
        caller->write(request_bytes("POST", "/ask/x", attempt,
                                    "Dandelionstep-Token-Counts: 100,40\r\n"
                                    "Dandelionstep-Deadline-Remaining: 12000\r\n",
                                    body));
        return caller;
    }

    bool await_streams(std::size_t number)
    {
        return this->cluster.await([&] { return this->streams.size() >= number; });
    }

    bool await_end(const raw_connection& caller)
    {
        return this->cluster.await(
            [&caller] { return caller.closed || !scripted_cluster::answers_on(caller).empty(); }, {12'000});
    }

    void run_for(milliseconds time)
    {
        this->cluster.await([] { return false; }, time);
    }

    scripted_cluster cluster;
    std::vector<arrival> streams;
    std::vector<arrival> calls;
    std::string report = "{}";
    //! Engines that answer no calls.
    std::set<std::size_t> silent;
    //! Engines that break each call off.
    std::set<std::size_t> dead;
    std::function<void(const arrival&)> on_stream;
    std::function<void(const arrival&)> on_call;

private:
    std::size_t count;
};

registration engine(std::size_t number, std::int64_t first = 0, std::int64_t end = entry_layers)
{
    return {.id = absl::StrCat("i-x", number),
            .service = "assistant",
            .kind = "small",
            .first_layer = first,
            .end_layer = end};
}

std::vector<registration> whole_engines(std::size_t count)
{
    std::vector<registration> entries;
    for (std::size_t i = 0; i < count; ++i) {
        entries.push_back(engine(i));
    }
    return entries;
}

// Engine 0 holds the first layers alone, and each of the others all that follow.
std::vector<registration> one_first_engine(std::size_t count)
{
    std::vector<registration> entries{engine(0, 0, 4)};
    for (std::size_t i = 1; i < count; ++i) {
        entries.push_back(engine(i, 4, entry_layers));
    }
    return entries;
}

// The engine that has the later layers on the stream's path.
std::size_t later_engine(const silent_engines& engines, const arrival& stream)
{
    const std::string path = stream.head.header("Dandelionstep-Hop-Count");
    std::size_t later = 1;
    while (!absl::StrContains(path, to_string(engines.cluster.address_of(later)) + "=")) {
        ++later;
    }
    return later;
}

// A report that names each of the later engines as the one that stream s1 waits for.
std::string report_of_stalled(const silent_engines& engines, std::size_t count)
{
    std::string stalled;
    for (std::size_t i = 1; i < count; ++i) {
        absl::StrAppend(&stalled, i == 1 ? "" : ",", R"({"Identifier":"s1","Address":")",
                        to_string(engines.cluster.address_of(i)), R"("})");
    }
    return absl::StrCat(R"({"Stalled":[)", stalled, "]}");
}

// Two engines die under the question, and a third one gets it next.
void let_two_die(silent_engines& engines)
{
    const auto caller = engines.ask("s1");
    std::vector<event_loop::timer> ends;
    engines.on_stream = [&](const arrival& request) {
        registration next = engine(request.target);
        next.started = 2;
        engines.cluster.enter(request.target, next);
        ends.push_back(engines.cluster.loop.run_after({300}, [from = request.from] { from->reset(); }));
    };
    REQUIRE(engines.await_end(*caller));
    REQUIRE(engines.streams.size() == 2);
    engines.on_stream = nullptr;
    // Engines that failed rest for a while.
    engines.run_for({2'500});
}

// The third of three engines has the question, and two have died under it.
std::shared_ptr<raw_connection> ask_after_two_died(silent_engines& engines)
{
    REQUIRE(engines.become_ready(whole_engines(3)));
    let_two_die(engines);
    std::shared_ptr<raw_connection> caller = engines.ask("s2");
    REQUIRE(engines.await_streams(3));
    return caller;
}

} // namespace

TEST_CASE("a stream that loses its engine while all others are out of reach for a second is not cut")
{
    constexpr std::size_t count = 5;
    silent_engines engines(count);
    REQUIRE(engines.become_ready(whole_engines(count)));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    begin_answer(engines.streams[0]);
    write_events(engines.streams[0], 1, 2);
    REQUIRE(engines.cluster.await([&] { return absl::StrContains(caller->received, "part 2"); }));
    engines.on_stream = [](const arrival& request) { answer_from(3, request); };
    // The daemon finds out only when the queues are full.
    child_process& daemon = engines.cluster.daemons().processes.at("daemon0");
    daemon.signal(SIGSTOP);
    engines.streams[0].from->reset();
    engines.run_for({20});
    {
        std::vector<std::unique_ptr<full_queue>> queues;
        for (std::size_t i = 0; i < count; ++i) {
            queues.push_back(std::make_unique<full_queue>(engines.cluster.address_of(i)));
        }
        daemon.signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::milliseconds(silence.count));
    }
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
    CHECK(engines.streams.size() == 2);
}

TEST_CASE("a stream under which engines died is not cut while it is checked whether a silent one has died")
{
    silent_engines engines(3);
    const auto caller = ask_after_two_died(engines);
    const arrival held = engines.streams[2];
    begin_answer(held);
    engines.silent = {0, 1, 2};
    engines.run_for(silence);
    engines.silent.clear();
    write_events(held, 1, last_event);
    end_answer(held);
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}

TEST_CASE("a stream under which engines died goes on when one that broke off is found alive")
{
    silent_engines engines(3);
    const auto caller = ask_after_two_died(engines);
    engines.on_stream = [](const arrival& request) { answer_from(1, request); };
    engines.streams[2].from->reset();
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
    CHECK(engines.streams.size() == 4);
}

TEST_CASE("a silence of the only engine uses up no attempt, and the engine gets the stream once")
{
    silent_engines engines(1);
    REQUIRE(engines.become_ready(whole_engines(1)));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    begin_answer(engines.streams[0]);
    write_events(engines.streams[0], 1, 1);
    engines.run_for(silence);
    CHECK(engines.streams.size() == 1);
    write_events(engines.streams[0], 2, 2);
    REQUIRE(engines.cluster.await([&] { return absl::StrContains(caller->received, "part 2"); }));
    engines.on_stream = [](const arrival& request) { answer_from(3, request); };
    engines.streams[0].from->reset();
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}

TEST_CASE("a stream takes back an engine that was silent when the one in its place has died")
{
    silent_engines engines(3);
    REQUIRE(engines.become_ready({engine(0, 0, 4), engine(1, 4, 8), engine(2, 4, 8)}));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    const arrival stream = engines.streams[0];
    begin_answer(stream);
    write_events(stream, 1, 1);
    const std::string path = stream.head.header("Dandelionstep-Hop-Count");
    const auto is_in = [&](const std::string& text, std::size_t target) {
        return absl::StrContains(text, to_string(engines.cluster.address_of(target)) + "=");
    };
    const std::size_t later = is_in(path, 1) ? 1 : 2;
    const std::size_t other = 3 - later;
    const auto was_ordered = [&](std::size_t target) {
        return std::ranges::any_of(engines.calls, [&](const arrival& call) {
            return absl::StrContains(call.body, to_string(engines.cluster.address_of(target)) + "=");
        });
    };
    engines.silent = {later};
    REQUIRE(engines.cluster.await([&] { return was_ordered(other); }));
    write_events(stream, 2, 2);
    engines.run_for(enough_for_probes);
    // The first one answers again, and the second one is gone.
    engines.silent = {other};
    engines.report = absl::StrCat(R"({"Stalled":[{"Identifier":"s1","Address":")",
                                  to_string(engines.cluster.address_of(other)), R"("}]})");
    engines.calls.clear();
    write_events(stream, 3, 3);
    engines.cluster.await([&] { return was_ordered(later); });
    CHECK(was_ordered(later));
    CHECK_FALSE(caller->closed);
}

TEST_CASE("a stream that a silent engine has yet to begin is not sent to it again when a later one has died")
{
    silent_engines engines(3);
    REQUIRE(engines.become_ready({engine(0, 0, 4), engine(1, 4, 8), engine(2, 4, 8)}));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    const std::string path = engines.streams[0].head.header("Dandelionstep-Hop-Count");
    const std::string second = to_string(engines.cluster.address_of(1)) + "=";
    engines.silent = {0};
    engines.dead = {absl::StrContains(path, second) ? std::size_t{1} : std::size_t{2}};
    engines.run_for(silence);
    CHECK(engines.streams.size() == 1);
    engines.silent.clear();
    engines.dead.clear();
    answer_from(1, engines.streams[0]);
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}

TEST_CASE(
    "a silent engine that reported after it got the stream does not get it again when a later one has died")
{
    silent_engines engines(3);
    REQUIRE(engines.become_ready(one_first_engine(3)));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    engines.calls.clear();
    REQUIRE(engines.cluster.await([&] {
        return std::ranges::any_of(engines.calls, [](const arrival& call) { return call.target == 0; });
    }));
    engines.silent = {0};
    engines.dead = {later_engine(engines, engines.streams[0])};
    engines.run_for(silence);
    CHECK(engines.streams.size() == 1);
    engines.silent.clear();
    engines.dead.clear();
    answer_from(1, engines.streams[0]);
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}

TEST_CASE("a silent engine does not get its stream again when a change of the path has failed")
{
    constexpr milliseconds until_probes_are_rare{1'000};
    silent_engines engines(3);
    REQUIRE(engines.become_ready(one_first_engine(3)));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    begin_answer(engines.streams[0]);
    write_events(engines.streams[0], 1, 1);
    engines.run_for(until_probes_are_rare);
    engines.report = report_of_stalled(engines, 3);
    engines.on_call = [&](const arrival& call) {
        if (call.target == 0) {
            engines.silent = {0};
        }
    };
    engines.run_for(silence);
    CHECK(engines.silent.contains(0));
    CHECK(engines.streams.size() == 1);
    engines.on_call = nullptr;
    engines.report = "{}";
    engines.silent.clear();
    write_events(engines.streams[0], 2, last_event);
    end_answer(engines.streams[0]);
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}

TEST_CASE("a silent engine does not get its stream again when the path was changed as often as it may be")
{
    constexpr std::size_t count = 7;
    constexpr int most_changes = 4;
    silent_engines engines(count);
    REQUIRE(engines.become_ready(one_first_engine(count)));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    begin_answer(engines.streams[0]);
    write_events(engines.streams[0], 1, 1);
    engines.report = report_of_stalled(engines, count);
    int changes = 0;
    engines.on_call = [&](const arrival& call) {
        const bool is_order = absl::StrContains(call.body, "=");
        changes += is_order ? 1 : 0;
        // The report that follows the last change is the last word of the first engine.
        if (call.target == 0 && !is_order && changes == most_changes) {
            engines.silent = {0};
        }
    };
    REQUIRE(engines.cluster.await([&] { return engines.silent.contains(0); }, {6'000}));
    engines.run_for(silence);
    CHECK(engines.streams.size() == 1);
    engines.on_call = nullptr;
    engines.report = "{}";
    engines.silent.clear();
    write_events(engines.streams[0], 2, last_event);
    end_answer(engines.streams[0]);
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}

TEST_CASE(
    "a stream that an engine has yet to begin is sent to it again, along another path, while it answers")
{
    silent_engines engines(3);
    REQUIRE(engines.become_ready(one_first_engine(3)));
    const auto caller = engines.ask("s1");
    REQUIRE(engines.await_streams(1));
    const std::size_t later = later_engine(engines, engines.streams[0]);
    engines.dead = {later};
    REQUIRE(engines.await_streams(2));
    CHECK(engines.streams[1].target == 0);
    CHECK(later_engine(engines, engines.streams[1]) == 3 - later);
    answer_from(1, engines.streams[1]);
    REQUIRE(engines.await_end(*caller));
    CHECK(is_whole(scripted_cluster::answers_on(*caller)));
}
