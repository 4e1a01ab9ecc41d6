#include "tool/call_any.hpp"

#include <iostream>

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;

int exit_for(const absl::Status& status)
{
    if (absl::IsUnavailable(status)) {
        return exit_unreachable;
    }
    return absl::IsDeadlineExceeded(status) ? exit_unknown : exit_bad_usage;
}

int exit_for(const operator_answer& answer)
{
    if (answer.status == ok_status) {
        return exit_ok;
    }
    return answer.outcome == "unknown" ? exit_unknown : exit_refused;
}

void print_error(const operator_answer& answer)
{
    const json error = answer.body.is_object() ? answer.body.value("error", json::object()) : json::object();
    std::cerr << string_or(error, "code", "error") << ": " << string_or(error, "message", "no reason given")
              << "\n";
}

} // namespace

absl::StatusOr<operator_answer> call_any(const tool_options& options, const std::string& method,
                                         const std::string& path, const std::string& body)
{
    absl::Status last = absl::InvalidArgumentError("no daemon was named; use --daemon");
    for (const std::string& daemon : options.daemons) {
        auto answer = call_daemon(options, daemon, method, path, body);
        if (answer.ok() || !absl::IsUnavailable(answer.status())) {
            return answer;
        }
        last = answer.status();
    }
    return last;
}

int report_call(const absl::StatusOr<operator_answer>& answer)
{
    if (!answer.ok()) {
        std::cerr << answer.status().message() << "\n";
        return exit_for(answer.status());
    }
    const int status = exit_for(*answer);
    if (status != exit_ok) {
        print_error(*answer);
    }
    return status;
}

} // namespace dandelionstep
