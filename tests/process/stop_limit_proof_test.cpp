#include "support/blocking_caller.hpp"
#include "support/cluster.hpp"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::int64_t long_answer = 3000;

std::string log_of(const cluster& running, const std::string& process)
{
    std::ifstream file(running.folder.path(process + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// The value of `key` in the first line that holds the event.
std::string logged(const std::string& log, const std::string& event, const std::string& key)
{
    const std::size_t at = log.find(event);
    const std::size_t from = at == std::string::npos ? at : log.find(key + "=", at);
    if (from == std::string::npos) {
        return "";
    }
    const std::size_t begin = from + key.size() + 1;
    return log.substr(begin, log.find_first_of(" \n", begin) - begin);
}

cluster_plan one_daemon(const std::string& extra_settings)
{
    return {.daemons = {"nashua"},
            .engines = three_stages("nashua"),
            .services = {},
            .extra_settings = extra_settings,
            .service_settings = {}};
}

// A caller whose answer would outlast the stop.
struct waiting_caller {
    http_result result;
    std::thread thread;

    waiting_caller(cluster& running, bool streamed)
        : thread([this, &running, streamed] {
              this->result =
                  running.ask(0, "labels [" + std::to_string(long_answer) + "]", streamed, long_answer);
          })
    {}
};

void await_open_attempt(const cluster& running)
{
    CHECK(eventually([&] { return log_of(running, "daemon0").find("attempt_opened") != std::string::npos; }));
}

void check_named_and_answered(const cluster& running, const waiting_caller& caller)
{
    const std::string log = log_of(running, "daemon0");
    CHECK(logged(log, "request_cut_off", "request") == logged(log, "attempt_opened", "request"));
    CHECK(logged(log, "stopped", "requests_cut_off") == "1");
    CHECK(cluster::answer_text(caller.result).empty());
    CHECK(caller.result.answered());
    CHECK(caller.result.body.find(R"("outcome":"unknown")") != std::string::npos);
    CHECK(caller.result.body.find("[DONE]") == std::string::npos);
}

} // namespace

TEST_CASE("at the limit of a planned stop what is left is answered as unknown and named in the log")
{
    for (const bool streamed : {true, false}) {
        CAPTURE(streamed);
        cluster running(one_daemon("[limits]\ndrain_limit_ms = 1500\n"));
        waiting_caller caller(running, streamed);
        await_open_attempt(running);
        child_process& daemon = running.processes.at("daemon0");
        daemon.signal(SIGTERM);
        CHECK(daemon.wait() == 0);
        caller.thread.join();
        check_named_and_answered(running, caller);
    }
}

TEST_CASE("a second SIGTERM ends the wait, and what is left is answered and named")
{
    cluster running(one_daemon(""));
    waiting_caller caller(running, true);
    await_open_attempt(running);
    child_process& daemon = running.processes.at("daemon0");
    daemon.signal(SIGTERM);
    CHECK(eventually([&] { return log_of(running, "daemon0").find("stopping") != std::string::npos; }));
    CHECK(daemon.running());
    daemon.signal(SIGTERM);
    CHECK(daemon.wait() == 0);
    caller.thread.join();
    check_named_and_answered(running, caller);
}

TEST_CASE(
    "a stopping daemon fails the balancer's check, refuses new requests as not run and finishes its streams")
{
    cluster running(one_daemon(""));
    const std::string prompt = "labels [200]";
    http_result streamed;
    std::thread caller([&] { streamed = running.ask(0, prompt, true, 200); });
    await_open_attempt(running);
    child_process& daemon = running.processes.at("daemon0");
    daemon.signal(SIGTERM);
    CHECK(eventually([&] {
        const http_result check = call(running.callers_of(0), {.method = "GET", .path = "/readyz"});
        return check.status == 503;
    }));
    const http_result refused = running.ask(0, "another");
    CHECK(refused.status == 503);
    CHECK(refused.header("Outcome") == "not_run");
    CHECK(refused.header("Retry-After") == "1");
    CHECK(call(running.callers_of(0), {.method = "GET", .path = "/healthz"}).status == 200);
    CHECK(daemon.wait() == 0);
    caller.join();
    CHECK(cluster::answer_text(streamed) == cluster::expected_answer(prompt, 200));
    CHECK(logged(log_of(running, "daemon0"), "stopped", "requests_cut_off") == "0");
}

TEST_CASE("a daemon that is told to stop as soon as it listens stops in order")
{
    constexpr int rounds = 10;
    cluster running(
        {.daemons = {"nashua"}, .engines = {}, .services = {}, .extra_settings = {}, .service_settings = {}});
    for (int round = 0; round < rounds; ++round) {
        running.processes.at("daemon0").kill();
        running.start_daemon(0);
        child_process& daemon = running.processes.at("daemon0");
        while (!accepts_connections(running.callers_of(0)) && daemon.running()) {
        }
        daemon.signal(SIGTERM);
        CHECK(daemon.wait() == 0);
    }
}

namespace {

// A caller whose request has a part that comes later.
struct late_caller {
    static constexpr std::size_t step_bytes = 4096;
    static constexpr std::string_view rest = R"("left": true})";
    blocking_caller connection;
    std::string received;

    explicit late_caller(const cluster& running) : connection(running.callers_of(0))
    {
        constexpr std::string_view begun = R"({"order": 1, )";
        this->connection.write("POST /v1/services/order-desk/orders HTTP/1.1\r\nHost: x\r\n"
                               "Authorization: Bearer member-secret\r\nContent-Length: " +
                               std::to_string(begun.size() + rest.size()) + "\r\n\r\n" + std::string(begun));
    }

    // Reads until the connection ends.
    std::string read_to_end()
    {
        eventually([this] {
            this->received += this->connection.read(step_bytes);
            return this->connection.has_ended();
        });
        return this->received;
    }
};

void check_refused_as_not_run(const std::string& answer)
{
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Outcome: not_run\r\n") != std::string::npos);
    CHECK(answer.find(R"("code":"stopping")") != std::string::npos);
}

} // namespace

TEST_CASE("a request whose rest comes 2 s after a SIGTERM is answered")
{
    cluster running(one_daemon(""));
    late_caller caller(running);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    child_process& daemon = running.processes.at("daemon0");
    daemon.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    caller.connection.write(late_caller::rest);
    check_refused_as_not_run(caller.read_to_end());
    CHECK(daemon.wait() == 0);
}

TEST_CASE("a request that is still arriving at the limit of a planned stop is answered as not run")
{
    cluster running(one_daemon("[limits]\ndrain_limit_ms = 1500\n"));
    late_caller caller(running);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    child_process& daemon = running.processes.at("daemon0");
    daemon.signal(SIGTERM);
    check_refused_as_not_run(caller.read_to_end());
    CHECK_FALSE(caller.connection.was_reset());
    CHECK(daemon.wait() == 0);
}
