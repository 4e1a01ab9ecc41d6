#include "absl/strings/str_cat.h"
#include "dialect.hpp"
#include "entry/context/http_calls.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr milliseconds call_timeout{500};

std::string response(int status, const std::string& headers, const std::string& body)
{
    return absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: ", body.size(), "\r\n", headers, "\r\n",
                        body);
}

} // namespace

TEST_CASE("a refusal of a caller's request that comes once more is not taken for the answer to a call")
{
    event_loop loop;
    entry_context context{loop, platform::users_platform(), {}};
    scripted_server target(loop, [](raw_connection& from) {
        if (from.received.ends_with("\r\n\r\n")) {
            from.received.clear();
            from.write(
                response(503, "Dandelionstep-Attempt-Id: a-1\r\nDandelionstep-Not-Executed: 1\r\n", ""));
            from.write(response(200, "", "report"));
        }
    });
    std::optional<http_answer> answered;
    outgoing_call report;
    report.target = "/report";
    send_call(context, target.address(), report, call_timeout,
              [&](const http_answer& answer) { answered = answer; });
    REQUIRE(run_until(loop, [&] { return answered.has_value(); }));
    CHECK(answered->status == 200);
    CHECK(answered->body == "report");
}

// The answers of the store and of other daemons come this way.
TEST_CASE("a status below 100 is no answer to a call, with any head before it")
{
    for (const std::string status : {"99", "000"}) {
        for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
            CAPTURE(status);
            CAPTURE(before);
            event_loop loop;
            entry_context context{loop, platform::users_platform(), {}};
            std::string bytes = response(200, "", "first");
            scripted_server target(loop, [&](raw_connection& from) {
                if (from.received.ends_with("\r\n\r\n")) {
                    from.received.clear();
                    from.write(bytes);
                }
            });
            const auto call = [&] {
                std::optional<http_answer> answered;
                outgoing_call report;
                report.target = "/report";
                send_call(context, target.address(), report, call_timeout,
                          [&](const http_answer& answer) { answered = answer; });
                REQUIRE(run_until(loop, [&] { return answered.has_value(); }));
                return *answered;
            };
            CHECK(call().status == 200);
            bytes = absl::StrCat(before, "HTTP/1.1 ", status, " Odd\r\n\r\n", response(200, "", "behind"));
            // Over the kept connection, and over a new one.
            for (int i = 0; i < 2; ++i) {
                const http_answer odd = call();
                CHECK(odd.end == exchange_end::broken);
                CHECK(odd.status == 0);
                CHECK(odd.body.empty());
            }
        }
    }
}
