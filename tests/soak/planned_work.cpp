#include "soak/planned_work.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "common/json.hpp"
#include "support/cluster.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace dandelionstep::soak {
namespace {

using namespace dandelionstep::testing;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Nothing ends sooner of itself: the longest call, with a silence and parts, stays below seven tenths.
constexpr std::int64_t lower_timeout_ms = 10'000;
constexpr std::int64_t usual_timeout_ms = 12'000;
constexpr std::int64_t lower_idle_ms = 1'000;
// A raised limit is in force by then, if nothing disturbs the daemons.
constexpr milliseconds raise_time{4'000};
// What callers began under the limit before has reached its daemon by then.
constexpr milliseconds arrival_time{200};
constexpr std::int64_t full_weight = 100;

std::string daemon_name(std::size_t index)
{
    return absl::StrCat("daemon", index);
}

bool is_engine(const std::string& id)
{
    return id.starts_with("i-e");
}

} // namespace

entry_plan planned_plan(const soak_options& options)
{
    entry_plan plan = usual_entry_plan();
    plan.daemons.assign(options.daemons, "n");
    plan.event_ms = 30;
    plan.replicas.push_back({"i-s1", "spare", ""});
    plan.replicas.push_back({"i-s2", "spare", ""});
    return plan;
}

planned_work::planned_work(entry_cluster& cluster_in, const soak_options& options_in, soak_result& result_in)
    : cluster(cluster_in), options(options_in), result(result_in), random(options_in.seed)
{
    this->cluster.write_config([this](json& config) { this->fill_config(config); });
}

void planned_work::note(const std::string& action)
{
    const auto since = std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->began);
    this->result.actions.push_back(absl::StrCat(since.count(), " ms: ", action));
}

planned_work::time_point planned_work::silence_end()
{
    return steady_clock::now() + milliseconds(800 + this->below(600));
}

void planned_work::act()
{
    switch (this->below(10)) {
    case 0:
    case 1:
        this->silence_process();
        break;
    case 2:
        this->silence_answers();
        break;
    case 3:
        this->hang_up();
        break;
    case 4:
        this->stop_daemon();
        break;
    default:
        this->change_config();
        break;
    }
}

// One that speaks; nullopt when the one that was drawn is silent already.
std::optional<std::string> planned_work::draw_replica()
{
    const std::vector<std::string> ids = this->cluster.replica_ids();
    const std::string& id = ids[this->below(ids.size())];
    const bool is_silent = this->frozen.contains(id) || this->holding.contains(id);
    return is_silent ? std::nullopt : std::optional(id);
}

void planned_work::silence_process()
{
    if (const std::optional<std::string> id = this->draw_replica()) {
        this->frozen[*id] = this->silence_end();
        this->note(absl::StrCat(*id, " falls silent"));
        this->cluster.processes.at(*id).signal(SIGSTOP);
    }
}

// The process speaks, its answers wait.
void planned_work::silence_answers()
{
    if (const std::optional<std::string> id = this->draw_replica()) {
        this->holding[*id] = this->silence_end();
        this->note(absl::StrCat(*id, " holds its answers"));
        this->cluster.set_faults(*id,
                                 is_engine(*id) ? json{{"holds_events", true}} : json{{"delay_ms", 1'000}});
    }
}

void planned_work::change_config()
{
    switch (this->below(6)) {
    case 0:
        this->timeout_ms = this->timeout_ms == usual_timeout_ms ? lower_timeout_ms : usual_timeout_ms;
        this->header_ms = this->timeout_ms == usual_timeout_ms ? 8'000 : 3'000;
        break;
    case 1:
        this->order_service = this->order_service == "orders" ? "spare" : "orders";
        this->extra_routes = static_cast<std::int64_t>(this->below(3));
        break;
    case 2:
        this->spare_weight = static_cast<std::int64_t>(this->below(full_weight + 1));
        break;
    case 3:
        ++this->extra_keys;
        break;
    case 4:
        this->most_connections = this->most_connections == 100 ? 40 : 100;
        break;
    default:
        this->change_idle_timeout();
        break;
    }
    this->note(absl::StrCat("configuration: timeout ", this->timeout_ms, " header ", this->header_ms,
                            " idle ", this->idle_ms, " connections ", this->most_connections, " orders at ",
                            this->order_service, " spare ", this->spare_weight, " routes ",
                            this->extra_routes, " key ", this->extra_keys));
    this->cluster.write_config([this](json& config) { this->fill_config(config); });
}

// A lower limit is promised before it is written, a higher one once it is in force.
void planned_work::change_idle_timeout()
{
    const bool is_raised = this->idle_ms == lower_idle_ms;
    this->idle_ms = is_raised ? usual_idle_ms : lower_idle_ms;
    if (is_raised) {
        this->raised_at = steady_clock::now();
    } else {
        this->promised.idle_ms = lower_idle_ms;
        std::this_thread::sleep_for(arrival_time);
    }
}

void planned_work::fill_config(json& config) const
{
    constexpr int some_over = 200'000;
    json& routes = config["Routes"];
    for (json& route : routes) {
        route["TimeoutMs"] = this->timeout_ms;
    }
    routes[1]["Service"] = this->order_service;
    if (this->spare_weight > 0) {
        routes[2].erase("Service");
        routes[2]["TrafficSplit"] =
            json::array({{{"Service", "orders"}, {"Weight", full_weight - this->spare_weight}},
                         {{"Service", "spare"}, {"Weight", this->spare_weight}}});
    }
    for (std::int64_t i = 0; i < this->extra_routes; ++i) {
        json extra = routes[1];
        extra["Name"] = absl::StrCat("extra", i);
        extra["Prefix"] = absl::StrCat("/extra", i, "/");
        routes.push_back(extra);
    }
    config["Services"].push_back({{"Name", "spare"}, {"MaxConnections", this->most_connections}});
    config["Services"][1]["MaxConnections"] = this->most_connections;
    config["Limits"]["MaxBodyBytes"] = largest_body + some_over;
    config["Limits"]["HeaderTimeoutMs"] = this->header_ms;
    config["Limits"]["IdleTimeoutMs"] = this->idle_ms;
    config["Tenants"][0]["ApiKeys"] = json::array({entry_key, absl::StrCat("extra-", this->extra_keys)});
}

// Its settings may have changed by then.
void planned_work::hang_up()
{
    const std::size_t daemon = this->below(this->options.daemons);
    const bool has_changed = this->below(2) == 0;
    if (this->is_stopping(daemon)) {
        return;
    }
    this->note(absl::StrCat("SIGHUP ", daemon_name(daemon), has_changed ? ", drain bound changed" : ""));
    if (has_changed) {
        std::stringstream text;
        text << std::ifstream(this->cluster.settings_of(daemon)).rdbuf();
        const std::string changed = absl::StrReplaceAll(
            text.str(), {{"DrainMs = 600\n", "DrainMs = 700\n"}, {"DrainMs = 700\n", "DrainMs = 600\n"}});
        std::ofstream(this->cluster.settings_of(daemon)) << changed;
    }
    this->cluster.processes.at(daemon_name(daemon)).signal(SIGHUP);
}

bool planned_work::is_stopping(std::size_t daemon) const
{
    return std::ranges::any_of(this->windows, [daemon](const stop_window& one) {
        return one.daemon == daemon && one.state != stop_state::over;
    });
}

void planned_work::stop_daemon()
{
    const std::size_t daemon = this->below(this->options.daemons);
    if (this->is_stopping(daemon)) {
        return;
    }
    this->note(absl::StrCat("SIGTERM ", daemon_name(daemon)));
    this->windows.push_back({daemon, steady_clock::now(), {}, stop_state::stopping, {}});
    this->cluster.processes.at(daemon_name(daemon)).signal(SIGTERM);
}

void planned_work::end_stop(stop_window& window)
{
    const std::string name = daemon_name(window.daemon);
    child_process& process = this->cluster.processes.at(name);
    const std::chrono::seconds grace(planned_plan(this->options).grace_s);
    const bool is_late = steady_clock::now() > window.began + grace;
    if (process.running() && !is_late) {
        return;
    }
    if (is_late) {
        this->result.violations.push_back(absl::StrCat(name, " ran on after its grace period"));
        process.signal(SIGKILL);
    }
    window.log = this->cluster.output_of(window.daemon);
    if (is_late) {
        process.kill();
    } else if (const int status = process.wait(); status != 0) {
        this->result.violations.push_back(absl::StrCat(name, " ended a planned stop with status ", status));
    }
    this->cluster.start_daemon(window.daemon);
    window.state = stop_state::starting;
}

// Nothing waits here, so that no silence lasts longer than drawn.
void planned_work::await_start(stop_window& window)
{
    const std::string name = daemon_name(window.daemon);
    if (!this->cluster.processes.at(name).running()) {
        this->result.violations.push_back(absl::StrCat(name, " ended as it started"));
    } else if (!accepts_connections(this->cluster.callers_of(window.daemon))) {
        return;
    }
    window.ended = steady_clock::now();
    window.state = stop_state::over;
    this->note(absl::StrCat(name, " is back"));
}

void planned_work::tend()
{
    const auto now = steady_clock::now();
    if (this->idle_ms == usual_idle_ms && now >= this->raised_at + raise_time) {
        this->promised.idle_ms = usual_idle_ms;
    }
    std::erase_if(this->frozen, [&](const auto& one) {
        if (one.second <= now) {
            this->cluster.processes.at(one.first).signal(SIGCONT);
        }
        return one.second <= now;
    });
    std::erase_if(this->holding, [&](const auto& one) {
        if (one.second <= now) {
            this->cluster.set_faults(one.first, {{"holds_events", false}, {"delay_ms", 0}});
        }
        return one.second <= now;
    });
    for (stop_window& window : this->windows) {
        if (window.state == stop_state::stopping) {
            this->end_stop(window);
        } else if (window.state == stop_state::starting) {
            this->await_start(window);
        }
    }
}

void planned_work::finish()
{
    constexpr milliseconds look_pause{10};
    const auto is_down = [](const stop_window& one) { return one.state != stop_state::over; };
    while (!this->frozen.empty() || !this->holding.empty() || std::ranges::any_of(this->windows, is_down)) {
        this->tend();
        std::this_thread::sleep_for(look_pause);
    }
}

} // namespace dandelionstep::soak
