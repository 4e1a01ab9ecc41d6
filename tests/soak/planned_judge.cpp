#include "soak/planned_judge.hpp"

#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "soak/soak_judge.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace dandelionstep::soak {
namespace {

using namespace dandelionstep::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds notice{3};
constexpr milliseconds longest_crossing{500};
// A daemon that was told to stop closes no connection for so long.
constexpr milliseconds earliest_close{2'600};

constexpr std::array<int, 4> refusals{408, 421, 429, 503};
// Every request keeps within all limits of every configuration.
constexpr std::array<int, 4> undue_refusals{400, 408, 413, 431};

bool is_among(const std::array<int, 4>& all, int status)
{
    return std::ranges::find(all, status) != all.end();
}

// A daemon that is to end may close a channel that a request crosses, if the request has not run.
bool crosses(const planned_asked& one, std::int64_t runs, const stop_window& stop)
{
    const caller_answer& answer = one.outcome.answer;
    const bool is_quick =
        !one.outcome.was_sent_whole || answer.ended_at - one.outcome.last_byte_at <= longest_crossing;
    return answer.status == 0 && runs == 0 && is_quick && answer.ended_at >= stop.began + earliest_close &&
           answer.sent_at <= stop.ended;
}

bool is_cut_in_last_sixth(const planned_asked& one, const stop_window& stop, std::int64_t grace_s)
{
    const milliseconds grace = seconds(grace_s);
    const caller_answer& answer = one.outcome.answer;
    return (answer.status == 0 || !answer.whole) && answer.sent_at <= stop.began + notice &&
           answer.ended_at >= stop.began + grace - grace / 6 &&
           answer.ended_at <= stop.began + grace + seconds(1);
}

std::string failure_of(const planned_asked& one)
{
    const caller_answer& answer = one.outcome.answer;
    if (!one.outcome.was_connected) {
        return "found no daemon";
    }
    if (answer.status == 0) {
        return one.outcome.was_sent_whole ? "got neither answer nor refusal" : "was cut as it was sent";
    }
    if (!answer.whole) {
        return "got an answer that was cut";
    }
    if (is_among(undue_refusals, answer.status)) {
        return "was refused though it kept within every limit";
    }
    return answer.status >= 500 && answer.status != 503 ? "failed though nothing was down" : "";
}

std::string times_text(const planned_asked& one, const planned_work& work)
{
    const caller_answer& answer = one.outcome.answer;
    const auto ms = [](auto span) { return std::chrono::duration_cast<milliseconds>(span).count(); };
    std::string text =
        absl::StrCat("sent at ", ms(answer.sent_at - work.start()), " ms, lasted ",
                     ms(answer.ended_at - answer.sent_at), " ms, last byte sent ",
                     one.outcome.was_sent_whole ? ms(one.outcome.last_byte_at - answer.sent_at) : -1,
                     " ms after the first, ", answer.body.size(), " bytes of ", one.request.body.size(),
                     one.outcome.was_reset ? ", reset" : "");
    for (const stop_window& stop : work.stops()) {
        if (stop.daemon == one.request.daemon && answer.ended_at >= stop.began) {
            absl::StrAppend(&text, ", ended ", ms(answer.ended_at - stop.began), " ms after SIGTERM and ",
                            ms(answer.ended_at - stop.ended), " ms after the new start");
        }
    }
    return text;
}

} // namespace

void judge_planned(entry_cluster& cluster, const std::vector<planned_asked>& requests,
                   const planned_work& work, soak_result& into)
{
    const std::vector<stop_window>& stops = work.stops();
    std::vector<asked> plain;
    plain.reserve(requests.size());
    for (const planned_asked& one : requests) {
        plain.push_back(one.request);
    }
    judge_answers(cluster, plain, into);
    const std::map<std::string, std::int64_t> all_runs = runs_by_attempt(cluster);
    const std::int64_t grace_s = usual_entry_plan().grace_s;
    for (const planned_asked& one : requests) {
        const auto found = all_runs.find(one.request.attempt);
        const std::int64_t runs = found == all_runs.end() ? 0 : found->second;
        const std::string failure = failure_of(one);
        const bool is_excused = std::ranges::any_of(stops, [&](const stop_window& stop) {
            return stop.daemon == one.request.daemon &&
                   (crosses(one, runs, stop) || is_cut_in_last_sixth(one, stop, grace_s));
        });
        const std::string told = absl::StrCat(one.request.attempt, " at daemon", one.request.daemon, " (",
                                              static_cast<int>(one.request.kind), ", status ",
                                              one.outcome.answer.status, ", ran ", runs, " times) ");
        if (!failure.empty() && !is_excused) {
            into.violations.push_back(absl::StrCat(told, failure, ": ", times_text(one, work)));
        }
        if (!one.outcome.stray.empty()) {
            into.violations.push_back(
                absl::StrCat(told, "came with bytes that are no answer: ", one.outcome.stray.substr(0, 100)));
        }
        into.refused += is_among(refusals, one.outcome.answer.status) ? 1 : 0;
    }
}

} // namespace dandelionstep::soak
