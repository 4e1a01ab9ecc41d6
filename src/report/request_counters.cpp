#include "report/request_counters.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep {

std::string to_prometheus(const request_counters& counters)
{
    std::string text = "# TYPE dandelionstep_requests_total counter\n";
    for (const auto& [key, count] : counters.answered) {
        absl::StrAppend(&text, "dandelionstep_requests_total{kind=\"", key.first, "\",outcome=\"",
                        std::string(to_string(key.second)), "\"} ", count, "\n");
    }
    absl::StrAppend(&text, "# TYPE dandelionstep_attempts_failed_total counter\n",
                    "dandelionstep_attempts_failed_total ", counters.attempts_failed, "\n",
                    "# TYPE dandelionstep_answers_dropped_total counter\n",
                    "dandelionstep_answers_dropped_total ", counters.answers_dropped, "\n");
    absl::StrAppend(&text, "# TYPE dandelionstep_first_token_seconds histogram\n");
    for (const auto& [kind, latencies] : counters.latencies) {
        const std::string labels = absl::StrCat("kind=\"", kind, "\"");
        absl::StrAppend(&text, latencies.first.to_prometheus("dandelionstep_first_token_seconds", labels));
    }
    absl::StrAppend(&text, "# TYPE dandelionstep_request_seconds histogram\n");
    for (const auto& [kind, latencies] : counters.latencies) {
        const std::string labels = absl::StrCat("kind=\"", kind, "\"");
        absl::StrAppend(&text, latencies.whole.to_prometheus("dandelionstep_request_seconds", labels));
    }
    return text;
}

} // namespace dandelionstep
