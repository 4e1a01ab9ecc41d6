#include "soak/planned_callers.hpp"

#include "absl/strings/str_cat.h"
#include "replica_standin.hpp"

#include <map>
#include <random>

namespace dandelionstep::soak {
namespace {

using namespace dandelionstep::testing;
using std::chrono::milliseconds;

constexpr milliseconds pause_after_failure{100};

using draws = std::mt19937_64;

// Only the first caller sends the largest bodies, so that there is room for all that wait to be read.
std::string body_for(const asked& one, bool is_first, draws& random)
{
    constexpr std::size_t usual_large = 120'000;
    std::string body = absl::StrCat("body of ", one.attempt, " ");
    if (one.kind != asked_kind::order || random() % 3 != 0) {
        return body;
    }
    body.resize(is_first ? largest_body : usual_large, static_cast<char>('a' + random() % 26));
    return body;
}

std::string head_for(const asked& one)
{
    const char* first = one.kind == asked_kind::stream  ? "POST /ask/x"
                        : one.kind == asked_kind::order ? "POST /order/x"
                                                        : "GET /look/x";
    const std::string length = one.kind == asked_kind::lookup
                                   ? std::string()
                                   : absl::StrCat("Content-Length: ", one.body.size(), "\r\n");
    return absl::StrCat(first, " HTTP/1.1\r\nHost: 127.0.0.1\r\nDandelionstep-Attempt-Id: ", one.attempt,
                        "\r\nDandelionstep-Credential: ", entry_key, "\r\nDandelionstep-Token-Counts: 100,",
                        standins::event_count(one.body), "\r\nDandelionstep-Deadline-Remaining: 15000\r\n",
                        length, "\r\n");
}

// So many parts, and pauses of 1.2 s in all or as long as they may be.
parts parts_of(std::size_t bytes, std::size_t count, milliseconds most_pause)
{
    constexpr milliseconds all_pauses{1'200};
    return {bytes / count + 1, std::min(all_pauses / static_cast<int>(count - 1), most_pause)};
}

raw_request request_for(const asked& one, milliseconds most_pause, draws& random)
{
    raw_request request;
    request.head = head_for(one);
    request.body = one.kind == asked_kind::lookup ? "" : one.body;
    if (one.kind != asked_kind::lookup && random() % 4 == 0) {
        request.sending = parts_of(one.body.size(), 2 + random() % 2, most_pause);
    }
    constexpr std::size_t some = 10'000;
    if (one.body.size() > some && random() % 2 == 0) {
        request.reading = parts_of(one.body.size(), 2 + random() % 6, most_pause);
    }
    return request;
}

} // namespace

planned_callers::planned_callers(entry_cluster& cluster_in, const soak_options& options_in,
                                 const promised_limits& limits_in)
    : cluster(cluster_in), options(options_in), limits(limits_in)
{
    for (int i = 0; i < this->options.callers; ++i) {
        this->threads.emplace_back([this, i] { this->call_until_stopped(i); });
    }
}

planned_callers::~planned_callers()
{
    this->stop();
}

std::vector<planned_asked> planned_callers::stop()
{
    this->stopped = true;
    this->threads.clear();
    return std::move(this->requests);
}

milliseconds planned_callers::most_pause() const
{
    return milliseconds(this->limits.idle_ms * 4 / 5);
}

void planned_callers::call_until_stopped(int caller)
{
    struct kept {
        raw_channel channel;
        milliseconds most_idle{0};
    };
    draws random(this->options.seed * 1'000 + static_cast<std::uint64_t>(caller));
    std::map<std::size_t, kept> channels;
    const auto usual_daemon = static_cast<std::size_t>(caller) % this->options.daemons;
    for (int i = 0; !this->stopped; ++i) {
        planned_asked one;
        one.request.attempt = absl::StrCat("p", caller, "-", i);
        one.request.daemon = random() % 3 == 0 ? random() % this->options.daemons : usual_daemon;
        one.request.kind = static_cast<asked_kind>(random() % 3);
        one.request.body = body_for(one.request, caller == 0, random);
        kept& to = channels[one.request.daemon];
        one.outcome = to.channel.ask(this->cluster.callers_of(one.request.daemon),
                                     request_for(one.request, this->most_pause(), random), to.most_idle);
        to.most_idle = this->most_pause();
        one.request.answer = one.outcome.answer;
        // Some use a connection again at the last moment.
        if (one.outcome.answer.status != 200) {
            std::this_thread::sleep_for(pause_after_failure);
        } else if (random() % 4 == 0) {
            std::this_thread::sleep_for(to.most_idle * (random() % 20) / 20);
        }
        const std::lock_guard guard(this->lock);
        this->requests.push_back(std::move(one));
    }
}

} // namespace dandelionstep::soak
