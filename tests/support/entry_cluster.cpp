#include "support/entry_cluster.hpp"
#include "common/json.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "replica_standin.hpp"
#include "support/cluster.hpp"
#include "support/kept_caller.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace dandelionstep::testing {

http_result post_json(const endpoint& to, const std::string& path, const json& body, http_headers headers)
{
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers = std::move(headers);
    request.body = dump(body);
    return call(to, std::move(request));
}

namespace {

constexpr milliseconds ask_timeout{15'000};
// The HTTP client names the address as the host.
constexpr const char* host = "127.0.0.1";

http_result get(const endpoint& to, const std::string& path)
{
    http_request request;
    request.path = path;
    request.timeout = {1'000};
    return call(to, std::move(request));
}

// Where the daemons serve their metrics.
constexpr std::uint16_t metrics_port = 9464;

// An address of its own for each daemon, whatever other tests run at the same time.
std::string own_address(std::size_t daemon)
{
    constexpr int first_net = 16;
    constexpr int nets = 200;
    const int process = getpid();
    return absl::StrCat("127.", first_net + process / nets % nets, ".", 1 + process % nets, ".", daemon + 1);
}

std::size_t store_addresses(const entry_plan& plan)
{
    return plan.own_store_addresses ? plan.daemons.size() : 1;
}

std::vector<std::string> store_arguments(const entry_plan& plan)
{
    std::vector<std::string> arguments{"row-store", "--addresses", std::to_string(store_addresses(plan))};
    if (!plan.store_tells_era) {
        arguments.emplace_back("--without-era");
    }
    return arguments;
}

std::string daemon_name(std::size_t index)
{
    return absl::StrCat("daemon", index);
}

json route_json(const std::string& prefix, const std::string& kind, const std::string& service, int attempts)
{
    return {{"Name", absl::StrCat("route", prefix)},
            {"Host", host},
            {"Prefix", prefix},
            {"Kind", kind},
            {"TimeoutMs", kind == "streaming" ? 20'000 : 2'000},
            {"TargetLatencyMs", kind == "streaming" ? 500 : 100},
            {"Priority", 1},
            {"Service", service},
            {"MaxAttempts", attempts},
            {"Public", false},
            {"Resumable", kind == "streaming"}};
}

} // namespace

entry_plan usual_entry_plan()
{
    entry_plan plan;
    plan.replicas = {
        {"i-e1", "assistant", "small"}, {"i-e2", "assistant", "small"}, {"i-e3", "assistant", "small"},
        {"i-e4", "assistant", "small"}, {"i-e5", "assistant", "small"}, {"i-e6", "assistant", "small"},
        {"i-e7", "assistant", "small"}, {"i-e8", "assistant", "small"}, {"i-o1", "orders", ""},
        {"i-o2", "orders", ""},         {"i-o3", "orders", ""}};
    return plan;
}

entry_cluster::entry_cluster(entry_plan plan_in) : plan(std::move(plan_in))
{
    this->processes.emplace(std::piecewise_construct, std::forward_as_tuple("store"),
                            std::forward_as_tuple("dandelionstep-standin", store_arguments(this->plan),
                                                  this->folder.path("store.log")));
    this->read_port("store");
    for (const replica_plan& replica : this->plan.replicas) {
        this->start_replica(replica.id);
    }
    for (std::size_t i = 0; i < this->plan.daemons.size(); ++i) {
        this->daemons.push_back({{"127.0.0.1", free_port()}, {"127.0.0.1", free_port()}, free_port()});
        this->start_daemon(i);
    }
}

void entry_cluster::read_port(const std::string& name)
{
    const std::string line = this->processes.at(name).read_line();
    constexpr std::string_view prefix = "port=";
    if (!line.starts_with(prefix)) {
        throw std::runtime_error(absl::StrCat(name, " did not start: ", line));
    }
    this->addresses[name] = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(line.substr(prefix.size())))};
    if (this->plan.on_address) {
        this->plan.on_address(name, this->addresses[name]);
    }
}

void entry_cluster::start_replica(const std::string& id)
{
    const auto replica = std::ranges::find(this->plan.replicas, id, &replica_plan::id);
    const auto known = this->addresses.find(id);
    const std::string port = known == this->addresses.end() ? "0" : std::to_string(known->second.port);
    std::vector<std::string> arguments{"--port",
                                       port,
                                       "replica",
                                       "--id",
                                       id,
                                       "--service",
                                       replica->service,
                                       "--store",
                                       to_string(this->addresses.at("store")),
                                       "--data-centre",
                                       replica->data_centre,
                                       "--layers",
                                       std::to_string(entry_layers),
                                       "--event-ms",
                                       std::to_string(this->plan.event_ms),
                                       "--stall-ms",
                                       std::to_string(this->plan.stall_ms)};
    if (!replica->kind.empty()) {
        arguments.insert(arguments.end(), {"--kind", replica->kind});
    }
    if (!this->plan.crashes_on.empty()) {
        arguments.insert(arguments.end(), {"--crashes-on", this->plan.crashes_on});
    }
    if (this->plan.crashes_later_engines) {
        arguments.emplace_back("--crashes-later-engines");
    }
    if (this->plan.streams_end_with_connection) {
        arguments.emplace_back("--streams-end-with-connection");
    }
    const auto seen = this->plan.replica_seen_at.find(id);
    if (seen != this->plan.replica_seen_at.end()) {
        arguments.insert(arguments.end(), {"--registered", to_string(seen->second)});
    }
    this->processes.erase(id);
    this->processes.emplace(
        std::piecewise_construct, std::forward_as_tuple(id),
        std::forward_as_tuple("dandelionstep-standin", arguments, this->folder.path(id + ".log")));
    this->read_port(id);
}

endpoint entry_cluster::store_of(std::size_t daemon) const
{
    const auto seen = this->plan.store_seen_at.find(daemon_name(daemon));
    if (seen != this->plan.store_seen_at.end()) {
        return seen->second;
    }
    endpoint store = this->addresses.at("store");
    if (this->plan.own_store_addresses) {
        store.address = absl::StrCat("127.0.0.", daemon + 1);
    }
    return store;
}

std::string entry_cluster::settings_text(std::size_t index, bool is_first_start) const
{
    const std::string name = daemon_name(index);
    const endpoint store = this->store_of(index);
    const std::string ports = this->plan.has_peers
                                  ? absl::StrCat("InternalPortRange = [", this->daemons[index].peer_port,
                                                 ", ", this->daemons[index].peer_port, "]\n")
                                  : "";
    return absl::StrCat(
        "NodeName = \"", name, "\"\nZone = \"", this->plan.daemons[index], "\"\nIpAddress = \"",
        own_address(index), "\"\nBootstrap = ", is_first_start ? "true\n" : "false\n", ports,
        "HeartbeatIntervalMs = ", this->plan.heartbeat_ms, "\n", "[ListenAddresses]\nFrontend = \"",
        to_string(this->daemons[index].callers), "\"\nReady = \"", to_string(this->daemons[index].readiness),
        "\"\n[Bounds]\nDrainMs = ", this->plan.drain_ms, "\nConfigurationApplyMs = ", this->plan.config_ms,
        "\nStabilityWindowMs = ", this->plan.stability_ms, "\nGracePeriodS = ", this->plan.grace_s,
        "\nRetryBudgetRatio = 0.2\nRetryBudgetSlack = ", this->plan.retry_slack, "\n[Platform]\nAddress = \"",
        to_string(store), "\"\n[Limits]\nMemoryMb = ", this->plan.memory_mb, "\n");
}

void entry_cluster::start_daemon(std::size_t index)
{
    const std::string name = daemon_name(index);
    const bool is_first_start = !std::exchange(this->daemons[index].was_started, true);
    const std::string settings =
        this->folder.write(name + ".toml", this->settings_text(index, is_first_start));
    std::vector<std::string> options{"--load-control", this->plan.load_control, settings};
    if (this->plan.queues_streams) {
        options.emplace_back("--queue-streams");
    }
    this->processes.erase(name);
    this->processes.emplace(
        std::piecewise_construct, std::forward_as_tuple(name),
        std::forward_as_tuple("dandelionstep-entryd", options, this->folder.path(name + ".log")));
}

json entry_cluster::config_json() const
{
    const json engine = {
        {"Slots", 16},
        {"CacheTokenBytes", 80'000},
        {"Stride", 1},
        {"Models", json::array({{{"Name", "m"}, {"LoadS", 0.1}}})},
        {"step_ms", 1.0},
        {"per_seq_ms", 0.01},
        {"context_per_k", 0.01},
        {"read_per_s", 100'000.0},
        {"usual", {{"prompt", 100}, {"answer", 20}}},
        {"Layers", entry_layers},
        {"LayerMb", 1'000.0},
        {"Kinds",
         json::array({{{"Name", "small"}, {"Megabytes", 6'000.0}, {"pace", 1.0}, {"ReadFactor", 1.0}}})}};
    json asking = route_json("/ask/", "streaming", "assistant", 2);
    asking["TargetGapMs"] = this->plan.gap_objective_ms;
    return {
        {"Version", this->config_version},
        {"Routes", json::array({asking, route_json("/order/", "unsafe", "orders", 1),
                                route_json("/look/", "safe", "orders", 2)})},
        {"Services", json::array({{{"Name", "assistant"}, {"MaxConnections", 1'000}, {"Engine", engine}},
                                  {{"Name", "orders"}, {"MaxConnections", 100}}})},
        {"Limits", {{"MaxHeaderBytes", 16'384}, {"MaxBodyBytes", 100'000}, {"IdleTimeoutMs", 15'000}}},
        {"Tenants", json::array({{{"Name", entry_organisation}, {"ApiKeys", json::array({entry_key})}}})}};
}

void entry_cluster::write_config(const std::function<void(json&)>& change)
{
    // Versions grow in uneven steps.
    this->config_version += 3;
    json config = this->config_json();
    if (change) {
        change(config);
    }
    this->newest_config = dump(config);
    this->repeat_config();
}

void entry_cluster::repeat_config()
{
    this->write_row("operator", "op", "config", this->newest_config);
}

void entry_cluster::write_row(const std::string& writer, const std::string& table, const std::string& key,
                              const std::string& value)
{
    this->write_encoded_row(writer, table, key, absl::Base64Escape(value));
}

void entry_cluster::write_encoded_row(const std::string& writer, const std::string& table,
                                      const std::string& key, const std::string& encoded)
{
    const json row = {{"Table", table}, {"part", ""}, {"Key", key}, {"Value", encoded}};
    const http_result written = post_json(
        this->addresses.at("store"), "/rows-tx",
        {{"ExpectedRevision", json::array()}, {"Puts", json::array({row})}, {"Remove", json::array()}},
        {{"Writer", writer}});
    if (written.status != 200) {
        throw std::runtime_error("the row " + key + " was not written");
    }
}

void entry_cluster::remove_row(const std::string& writer, const std::string& table, const std::string& key)
{
    const json row = {{"Table", table}, {"part", ""}, {"Key", key}};
    const http_result removed = post_json(
        this->addresses.at("store"), "/rows-tx",
        {{"ExpectedRevision", json::array()}, {"Puts", json::array()}, {"Remove", json::array({row})}},
        {{"Writer", writer}});
    if (removed.status != 200) {
        throw std::runtime_error("the row " + key + " was not removed");
    }
}

bool entry_cluster::is_ready(std::size_t index)
{
    return get(this->daemons.at(index).readiness, "/readiness").status == 200;
}

bool entry_cluster::become_ready()
{
    this->write_config();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (!eventually([&] { return this->is_ready(i); })) {
            return false;
        }
    }
    if (!this->await_layers()) {
        return false;
    }
    // Registrations reach the daemons with their next poll.
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (!eventually([&] { return is_whole_stream(this->stream(i, "warm-up", "warm"), "warm"); })) {
            return false;
        }
    }
    return true;
}

json entry_cluster::report(const std::string& id)
{
    return parse_json(get(this->address_of(id), "/report").body).value_or(json::object());
}

bool entry_cluster::holds_first_layer(const std::string& id)
{
    const json layers = this->report(id).value("Layers", json::object());
    return integer_or(layers, "From", -1) == 0 && integer_or(layers, "To", 0) > 0;
}

bool entry_cluster::await_layers()
{
    return eventually(
        [this] {
            std::vector<bool> held(entry_layers, false);
            for (const replica_plan& replica : this->plan.replicas) {
                if (replica.kind.empty() || !this->processes.at(replica.id).running()) {
                    continue;
                }
                const json layers = this->report(replica.id).value("Layers", json::object());
                for (std::int64_t layer = integer_or(layers, "From", 0); layer < integer_or(layers, "To", 0);
                     ++layer) {
                    held[static_cast<std::size_t>(layer)] = true;
                }
            }
            return std::ranges::all_of(held, [](bool one) { return one; });
        },
        {20'000});
}

http_request caller_request(const std::string& method, const std::string& path, const std::string& attempt,
                            const std::string& body, http_headers extra)
{
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.timeout = ask_timeout;
    request.headers = std::move(extra);
    const auto add = [&request](const char* name, const std::string& value) {
        if (find_header(request.headers, name).empty()) {
            request.headers.emplace_back(name, value);
        }
    };
    add("Dandelionstep-Attempt-Id", attempt);
    add("Dandelionstep-Credential", entry_key);
    add("Dandelionstep-Token-Counts", "100,40");
    add("Dandelionstep-Deadline-Remaining", "10000");
    return request;
}

caller_answer entry_cluster::ask(std::size_t daemon, const std::string& method, const std::string& path,
                                 const std::string& attempt, const std::string& body, http_headers extra)
{
    return kept_caller().ask(this->callers_of(daemon),
                             caller_request(method, path, attempt, body, std::move(extra)));
}

caller_answer entry_cluster::stream(std::size_t daemon, const std::string& attempt, const std::string& body)
{
    return this->ask(daemon, "POST", "/ask/x", attempt, body);
}

caller_answer entry_cluster::order(std::size_t daemon, const std::string& attempt, const std::string& body)
{
    return this->ask(daemon, "POST", "/order/x", attempt, body);
}

caller_answer entry_cluster::look_up(std::size_t daemon, const std::string& attempt)
{
    return this->ask(daemon, "GET", "/look/x", attempt);
}

std::vector<std::string> entry_cluster::replica_ids() const
{
    std::vector<std::string> ids;
    for (const replica_plan& replica : this->plan.replicas) {
        ids.push_back(replica.id);
    }
    return ids;
}

json entry_cluster::ledger(const std::string& id)
{
    const absl::StatusOr<json> parsed = parse_json(get(this->address_of(id), "/ledger").body);
    return parsed.ok() ? *parsed : json::object();
}

std::int64_t entry_cluster::runs_of(const std::string& attempt)
{
    std::int64_t total = 0;
    for (const replica_plan& replica : this->plan.replicas) {
        const json runs = this->ledger(replica.id).value("runs", json::object());
        total += runs.contains(attempt) ? integer_or(runs[attempt], "count", 0) : 0;
    }
    return total;
}

void entry_cluster::set_faults(const std::string& name, const json& faults)
{
    post_json(this->address_of(name), "/faults", faults);
}

void entry_cluster::keep_logs(const std::string& in)
{
    std::filesystem::create_directories(in);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->processes.at(daemon_name(i)).signal(SIGKILL);
        std::ofstream(absl::StrCat(in, "/", daemon_name(i), ".log")) << this->output_of(i);
    }
}

std::int64_t entry_cluster::gauge_of(std::size_t daemon, const std::string& name)
{
    const std::string page = get({own_address(daemon), metrics_port}, "/metrics").body;
    const std::string key = absl::StrCat("\ndandelionstep_entry_", name, " ");
    const std::size_t at = page.find(key);
    return at == std::string::npos ? -1 : std::stoll(page.substr(at + key.size()));
}

std::string entry_cluster::settings_of(std::size_t daemon) const
{
    return this->folder.path(daemon_name(daemon) + ".toml");
}

bool entry_cluster::accepts_key(std::size_t daemon, const std::string& key)
{
    return this->ask(daemon, "GET", "/look/x", "k", "", {{"Dandelionstep-Credential", key}}).status == 200;
}

void entry_cluster::write_key(const std::string& key)
{
    this->write_config([&](json& config) {
        config["Tenants"][0]["ApiKeys"] = json::array({entry_key, key});
    });
}

std::int64_t entry_cluster::store_calls()
{
    const absl::StatusOr<json> answer = parse_json(get(this->address_of("store"), "/calls").body);
    return answer.ok() ? integer_or(*answer, "count", -1) : -1;
}

std::string entry_cluster::output_of(std::size_t daemon)
{
    // Reads to the end, so the daemon must have been told to stop.
    return this->processes.at(daemon_name(daemon)).read_rest();
}

bool is_stream_prefix(const std::string& received, const std::string& request_body)
{
    std::string expected;
    for (std::int64_t i = 1; i <= standins::event_count(request_body); ++i) {
        absl::StrAppend(&expected, "id: ", i, "\ndata: ", standins::event_data(request_body, i), "\n\n");
    }
    return expected.starts_with(received);
}

bool is_whole_stream(const caller_answer& answer, const std::string& request_body)
{
    const std::string last = absl::StrCat(
        "data: ", standins::event_data(request_body, standins::event_count(request_body)), "\n\n");
    return answer.whole && answer.status == 200 && is_stream_prefix(answer.body, request_body) &&
           answer.body.ends_with(last);
}

} // namespace dandelionstep::testing
