#include "support/scripted_cluster.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>
#include <string>
#include <string_view>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::string_view attempt_header = "Dandelionstep-Attempt-Id";

// The head of a signed answer to the request; `lines` are whole lines.
std::string signed_head(const arrival& request, std::string_view status_line, std::string_view lines)
{
    return absl::StrCat(std::string(status_line), "\r\n", std::string(attempt_header), ": ",
                        request.head.header(attempt_header), "\r\nDandelionstep-Server-Signature: s.1\r\n",
                        std::string(lines), "\r\n");
}

struct answer_form {
    std::string name;
    std::string lines;
    std::string body;
};

const std::vector<answer_form>& framed_forms()
{
    static const std::vector<answer_form> forms{
        {"length", "Content-Length: 12\r\n", "whole answer"},
        {"chunked", "Transfer-Encoding: chunked\r\n", "6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"}};
    return forms;
}

std::string whole_answer(const arrival& request, const answer_form& form)
{
    return signed_head(request, "HTTP/1.1 200 OK", form.lines) + form.body;
}

enum class end_kind { in_order, reset };

// Answers attempts that begin with "cut" with the answer's first bytes, and ends their connections.
void cut_answers(scripted_cluster& cluster, const answer_form& form, std::size_t size, end_kind end)
{
    cluster.handle = [=](const arrival& request) {
        const std::string answer = whole_answer(request, form);
        if (!request.head.header(attempt_header).starts_with("cut")) {
            request.from->write(answer);
            return;
        }
        request.from->write(std::string_view(answer).substr(0, size));
        if (end == end_kind::in_order) {
            request.from->close();
        } else {
            request.from->reset();
        }
    };
}

// Asks until a target has been reached; the last answer.
raw_answer ask_reached(scripted_cluster& cluster, std::string_view method, std::string_view target,
                       const std::string& attempt)
{
    constexpr int tries = 40;
    constexpr milliseconds pause{100};
    raw_answer answer;
    for (int i = 0; i < tries; ++i) {
        const std::string one = absl::StrCat(attempt, "-", i);
        answer = cluster.ask(request_bytes(method, target, one, "", method == "POST" ? one : ""));
        CHECK(answer.whole);
        if (cluster.arrivals_of(one) > 0) {
            return answer;
        }
        cluster.await([] { return false; }, pause);
    }
    FAIL_CHECK("no target was reached");
    return answer;
}

std::size_t whole_size(const answer_form& form)
{
    constexpr std::size_t id_size = std::string_view("cut-length-100-0").size();
    arrival request;
    request.head.headers = {{std::string(attempt_header), std::string(id_size, 'x')}};
    return whole_answer(request, form).size();
}

} // namespace

TEST_CASE("an answer that is cut in its head or body is never handed on as whole")
{
    constexpr std::size_t step = 9;
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    for (const answer_form& form : framed_forms()) {
        // The id's length differs by a few bytes.
        for (std::size_t size = 0; size + 4 < whole_size(form); size += step) {
            const end_kind end = size % 2 == 0 ? end_kind::in_order : end_kind::reset;
            cut_answers(cluster, form, size, end);
            const std::string attempt = absl::StrCat("cut-", form.name, "-", size);
            CAPTURE(attempt);
            CHECK(ask_reached(cluster, "POST", "/order/x", attempt).status == 502);
            CHECK(ask_reached(cluster, "GET", "/look/x", attempt + "l").status != 200);
            CHECK(ask_reached(cluster, "GET", "/look/x", "good" + attempt).body == "whole answer");
        }
    }
}

// Such an answer ends in order when the process of its target ends.
TEST_CASE("an answer without a length that its target's death cut is never handed on as whole")
{
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    const answer_form unframed{"unframed", "Connection: close\r\n", "whole answer"};
    std::size_t deaths = 0;
    cluster.handle = [&](const arrival& request) {
        const std::string answer = whole_answer(request, unframed);
        if (!request.head.header(attempt_header).starts_with("cut")) {
            request.from->write(answer);
            request.from->close();
            return;
        }
        request.from->write(std::string_view(answer).substr(0, answer.size() - 6));
        if (deaths < 2) {
            ++deaths;
            cluster.end_process(request.target, *request.from);
        } else {
            request.from->write("answer");
            request.from->close();
        }
    };
    CHECK(ask_reached(cluster, "POST", "/order/x", "good").body == "whole answer");
    CHECK(ask_reached(cluster, "POST", "/order/x", "cut-order").status == 502);
    // A lookup may run elsewhere.
    CHECK(ask_reached(cluster, "GET", "/look/x", "cut-look").body == "whole answer");
    CHECK(deaths == 2);
}

TEST_CASE("an answer that is cut behind an interim one is never handed on as whole")
{
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    int number = 0;
    for (const std::string before :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"}) {
        for (const std::string after : {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le"}) {
            cluster.handle = [&](const arrival& request) {
                request.from->write(before + after);
                request.from->close();
            };
            CAPTURE(before);
            CAPTURE(after);
            CHECK(ask_reached(cluster, "POST", "/order/x", absl::StrCat("interim", ++number)).status == 502);
        }
        cluster.handle = [&](const arrival& request) {
            request.from->write(before + whole_answer(request, framed_forms().front()));
        };
        CHECK(ask_reached(cluster, "POST", "/order/x", absl::StrCat("good", number)).body == "whole answer");
    }
}

TEST_CASE("an answer without a true status is none")
{
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    for (const std::string status : {"0", "000", "99", "099", "1000"}) {
        for (const std::string lines : {"", "Content-Length: 3\r\n"}) {
            cluster.handle = [&](const arrival& request) {
                request.from->write(signed_head(request, "HTTP/1.1 " + status + " Odd", lines) + "odd");
                request.from->close();
            };
            CAPTURE(status);
            CAPTURE(lines);
            CHECK(
                ask_reached(cluster, "POST", "/order/x", absl::StrCat("odd", status, lines.size())).status ==
                502);
        }
        cluster.handle = [&](const arrival& request) {
            request.from->write(signed_head(request, "HTTP/1.1 " + status + " Odd", "Content-Length: 3\r\n") +
                                "odd" + whole_answer(request, framed_forms().front()));
        };
        CHECK(ask_reached(cluster, "POST", "/order/x", "behind" + status).body != "oddwhole answer");
    }
}

TEST_CASE("a status below 100 behind an interim head or on a kept connection reaches no caller")
{
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        CAPTURE(before);
        cluster.handle = [&](const arrival& request) {
            request.from->write(whole_answer(request, framed_forms().front()));
        };
        CHECK(ask_reached(cluster, "POST", "/order/x", absl::StrCat("first", before.size())).status == 200);
        cluster.handle = [&](const arrival& request) {
            request.from->write(before + signed_head(request, "HTTP/1.1 000 Odd", "") +
                                whole_answer(request, framed_forms().front()));
        };
        CHECK(ask_reached(cluster, "POST", "/order/x", absl::StrCat("odd", before.size())).status == 502);
        CHECK(ask_reached(cluster, "GET", "/look/x", absl::StrCat("oddl", before.size())).status == 502);
    }
}

TEST_CASE("an answer that has no body by its status is handed on at once, whatever length it tells")
{
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        cluster.handle = [&](const arrival& request) {
            request.from->write(signed_head(request, "HTTP/1.1 " + status, "Content-Length: 12\r\n"));
        };
        const time_point began = event_loop::now();
        const raw_answer answer = ask_reached(cluster, "POST", "/order/x", "none" + status.substr(0, 3));
        CHECK(absl::StrCat(answer.status) == status.substr(0, 3));
        CHECK(answer.body.empty());
        CHECK(event_loop::now() - began < milliseconds{1'000});
    }
}
