#include "soak/soak_callers.hpp"

#include "absl/strings/str_cat.h"
#include "replica_standin.hpp"
#include "support/kept_caller.hpp"

#include <chrono>
#include <random>

namespace dandelionstep::soak {
namespace {

using namespace dandelionstep::testing;

constexpr std::chrono::milliseconds repeat_pause{150};
// What a caller waits who got no answer, or was refused.
constexpr std::chrono::milliseconds pause_after_failure{20};

http_request request_of(const asked& one)
{
    switch (one.kind) {
    case asked_kind::stream:
        return caller_request(
            "POST", "/ask/x", one.attempt, one.body,
            {{"Dandelionstep-Token-Counts", absl::StrCat("100,", standins::event_count(one.body))}});
    case asked_kind::order:
        return caller_request("POST", "/order/x", one.attempt, one.body);
    case asked_kind::lookup:
        return caller_request("GET", "/look/x", one.attempt);
    }
    return {};
}

} // namespace

soak_callers::soak_callers(entry_cluster& cluster_in, const soak_options& options_in)
    : cluster(cluster_in), options(options_in)
{
    for (int i = 0; i < this->options.callers; ++i) {
        this->threads.emplace_back([this, i] { this->call_until_stopped(i); });
    }
    this->threads.emplace_back([this] { this->repeat_until_stopped(); });
}

soak_callers::~soak_callers()
{
    this->stop();
}

std::vector<asked> soak_callers::stop()
{
    this->stopped = true;
    this->threads.clear();
    return std::move(this->requests);
}

void soak_callers::call_until_stopped(int caller)
{
    std::mt19937_64 draws(this->options.seed * 1'000 + static_cast<std::uint64_t>(caller));
    kept_caller connections;
    for (int i = 0; !this->stopped; ++i) {
        asked one;
        one.attempt = absl::StrCat("c", caller, "-", i);
        one.body = absl::StrCat("body of ", one.attempt);
        one.daemon = draws() % this->options.daemons;
        one.kind = static_cast<asked_kind>(draws() % 3);
        one.answer = connections.ask(this->cluster.callers_of(one.daemon), request_of(one));
        if (one.answer.status != 200) {
            std::this_thread::sleep_for(pause_after_failure);
        }
        const std::lock_guard guard(this->lock);
        this->requests.push_back(std::move(one));
    }
}

// The same body, whichever daemon is asked.
void soak_callers::repeat_until_stopped()
{
    std::mt19937_64 draws(this->options.seed);
    const bool is_stream = draws() % 2 == 0;
    kept_caller connections;
    for (int i = 0; !this->stopped && !this->ending_stopped; ++i) {
        const std::size_t daemon = draws() % this->options.daemons;
        connections.ask(this->cluster.callers_of(daemon),
                        caller_request("POST", is_stream ? "/ask/x" : "/order/x", absl::StrCat("ending-", i),
                                       ending_text));
        std::this_thread::sleep_for(repeat_pause);
    }
}

} // namespace dandelionstep::soak
