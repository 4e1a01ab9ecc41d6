#include "tool/operator_client.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/http_client.hpp"
#include "target/parse_endpoint.hpp"

namespace dandelionstep {

absl::StatusOr<operator_answer> call_daemon(const tool_options& options, const std::string& daemon,
                                            const std::string& method, const std::string& path,
                                            const std::string& body)
{
    constexpr milliseconds call_timeout{10'000};
    auto address = parse_endpoint(daemon);
    if (!address.ok()) {
        return address.status();
    }
    event_loop loop;
    http_client http(loop);
    http_request request{.method = method, .path = path};
    request.headers = {{"Authorization", "Bearer " + options.token}, {"Content-Type", "application/json"}};
    request.body = body;
    request.timeout = call_timeout;
    http_result answer;
    http.send(*address, std::move(request), [&](const http_result& result) {
        answer = result;
        loop.stop();
    });
    loop.run();
    if (answer.failure == http_failure::not_connected) {
        return absl::UnavailableError(absl::StrCat("daemon ", daemon, " cannot be reached"));
    }
    if (!answer.answered()) {
        return absl::DeadlineExceededError(absl::StrCat("daemon ", daemon, " did not answer"));
    }
    auto parsed = parse_json(answer.body);
    return operator_answer{answer.status, answer.header("Outcome"), parsed.ok() ? *std::move(parsed) : json(),
                           answer.body};
}

} // namespace dandelionstep
