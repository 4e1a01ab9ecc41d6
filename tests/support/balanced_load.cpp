#include "support/balanced_load.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep::testing {
namespace {

constexpr std::chrono::milliseconds health_interval{100};
constexpr std::chrono::milliseconds pause_before_next_daemon{50};
constexpr milliseconds health_timeout{300};
constexpr int max_daemons_tried = 40;
constexpr std::int64_t answer_tokens = 20;

bool was_not_run(const http_result& result)
{
    return result.failure == http_failure::not_connected || result.header("Outcome") == "not_run";
}

} // namespace

balanced_load::balanced_load(cluster& running, std::size_t daemons, int callers)
    : running(running), ready(daemons)
{
    for (std::atomic<bool>& each : this->ready) {
        each = true;
    }
    this->threads.emplace_back([this] { this->watch_health(); });
    for (int caller = 0; caller < callers; ++caller) {
        this->threads.emplace_back([this, caller] { this->run_caller(caller); });
    }
}

balanced_load::~balanced_load()
{
    this->finish();
}

int balanced_load::answered()
{
    const std::lock_guard guard(this->lock);
    return this->counts.answered;
}

load_counts balanced_load::finish()
{
    this->stopping = true;
    for (std::thread& each : this->threads) {
        if (each.joinable()) {
            each.join();
        }
    }
    return this->counts;
}

void balanced_load::watch_health()
{
    while (!this->stopping) {
        for (std::size_t i = 0; i < this->ready.size(); ++i) {
            http_request question{.method = "GET", .path = "/readyz"};
            question.timeout = health_timeout;
            constexpr int ok_status = 200;
            this->ready[i] = call(this->running.callers_of(i), std::move(question)).status == ok_status;
        }
        std::this_thread::sleep_for(health_interval);
    }
}

void balanced_load::run_caller(int caller)
{
    for (int number = 0; !this->stopping; ++number) {
        this->run_request(caller, number);
    }
}

void balanced_load::run_request(int caller, int number)
{
    std::string failure;
    std::size_t daemon = static_cast<std::size_t>(caller) + static_cast<std::size_t>(number);
    for (int tried = 0; tried < max_daemons_tried; ++tried) {
        do {
            daemon = (daemon + 1) % this->ready.size();
        } while (!this->ready[daemon] && !this->stopping);
        if (this->try_daemon(daemon, caller, number, failure)) {
            this->note(failure, tried > 0);
            return;
        }
        std::this_thread::sleep_for(pause_before_next_daemon);
    }
    this->note(absl::StrCat("caller ", caller, " request ", number, ": no daemon ran it"), false);
}

// False when the daemon did not run the request, so that another one may; else `failure` says what was wrong.
bool balanced_load::try_daemon(std::size_t daemon, int caller, int number, std::string& failure)
{
    constexpr int kinds = 4;
    constexpr int ok_status = 200;
    const std::string name = absl::StrCat("caller ", caller, " request ", number);
    const int kind = number % kinds;
    http_result result;
    bool whole = false;
    if (kind == 0) {
        result = this->running.order(daemon, name);
        whole = result.status == ok_status;
    } else if (kind == 1) {
        result = this->running.lookup(daemon, "/stock/lye");
        whole = result.status == ok_status;
    } else {
        const std::string prompt = absl::StrCat(name, " [", answer_tokens, "]");
        result = this->running.ask(daemon, prompt, kind == 2, answer_tokens);
        whole = cluster::answer_text(result) == cluster::expected_answer(prompt, answer_tokens);
    }
    if (!whole && was_not_run(result)) {
        return false;
    }
    if (!whole) {
        failure =
            absl::StrCat(name, " kind ", kind, " at daemon ", daemon, ": transport ",
                         static_cast<int>(result.failure), " status ", result.status, " body ", result.body);
    } else if (kind == 0) {
        const std::lock_guard guard(this->lock);
        this->keys.push_back(name);
    }
    return true;
}

void balanced_load::note(const std::string& failure, bool moved)
{
    const std::lock_guard guard(this->lock);
    if (!failure.empty()) {
        this->counts.failures.push_back(failure);
        return;
    }
    ++this->counts.answered;
    this->counts.moved += moved ? 1 : 0;
}

} // namespace dandelionstep::testing
