#include "replica_standin.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "adapters/http_client.hpp"
#include "adapters/http_server.hpp"
#include "common/hash.hpp"
#include "common/json.hpp"
#include "faults.hpp"
#include "target/parse_endpoint.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

namespace dandelionstep::standins {
namespace {

constexpr int status_ok = 200;
constexpr int status_failed = 500;
constexpr int status_accepted = 202;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr milliseconds peer_timeout{150};
// Tells the next engine of a path that the stream ends the engines that run it.
constexpr const char* crash_header = "Crashes";
constexpr const char* segments_header = "Dandelionstep-Prompt-Prefix";
// The part of a path that an engine is asked to run.
constexpr const char* part_header = "Part";
constexpr milliseconds idle_interval{10};
constexpr milliseconds endless_interval{2};
constexpr std::size_t endless_part_bytes = std::size_t{256} * 1024;

struct path_hop {
    endpoint address;
    std::int64_t begin = 0;
    std::int64_t end = 0;
};

// Parses "IP:PORT=FROM-TO,..."; empty when it is none.
std::vector<path_hop> parse_path(const std::string& text)
{
    std::vector<path_hop> path;
    for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::vector<std::string> sides = absl::StrSplit(part, '=');
        const std::vector<std::string> range =
            sides.size() == 2 ? absl::StrSplit(sides[1], '-') : std::vector<std::string>{};
        path_hop hop;
        const absl::StatusOr<endpoint> address = parse_endpoint(sides[0]);
        if (range.size() != 2 || !address.ok() || !absl::SimpleAtoi(range[0], &hop.begin) ||
            !absl::SimpleAtoi(range[1], &hop.end)) {
            return {};
        }
        hop.address = *address;
        path.push_back(hop);
    }
    return path;
}

// One stream that this replica, the first of its path, answers.
struct running_stream {
    std::string attempt;
    std::string body;
    std::int64_t next = 0;
    std::vector<path_hop> path;
    std::shared_ptr<http_reply> reply;
    event_loop::timer step;
    std::optional<endpoint> stalled_on;
    time_point stalled_at;
    //! Whether a segment of its prompt ends the engine that begins its answer.
    bool is_crashing = false;
    //! Whether the process that it is stalled on has ended: a new one at the address knows nothing of it.
    bool has_lost_part = false;
};

class replica {
public:
    explicit replica(const replica_options& options_in)
        : options(options_in), client(loop),
          server(loop, [this](const received_request& request, const std::shared_ptr<http_reply>& reply) {
              this->receive(request, reply);
          })
    {}

    absl::Status run()
    {
        const auto port = this->server.listen(this->options.listen);
        if (!port.ok()) {
            return port.status();
        }
        if (this->options.registered.port == 0) {
            this->options.registered = {this->options.listen.address, *port};
        }
        std::cout << "port=" << *port << std::endl;
        this->register_self();
        const event_loop::timer beat =
            this->loop.run_every({this->options.heartbeat_ms}, [this] { this->register_self(); });
        const event_loop::timer terminate = this->loop.on_signal(SIGTERM, [this] { this->loop.stop(); });
        this->loop.run();
        return absl::OkStatus();
    }

private:
    [[nodiscard]] json layers_json() const
    {
        return {{"From", this->begin_layer}, {"To", this->end_layer}, {"Version", 1}};
    }

    void register_self()
    {
        ++this->heartbeats;
        json entry = {{"Service", this->options.service},
                      {"Address", to_string(this->options.registered)},
                      {"Zone", this->options.data_centre},
                      {"Version", "v1"},
                      {"Slots", this->options.slots},
                      {"State", this->faults.on("draining") ? "draining" : "ready"},
                      {"ColdRemainingMs", 0},
                      {"Sequence", this->heartbeats},
                      {"born", this->born}};
        if (!this->options.kind.empty()) {
            entry["Kind"] = this->options.kind;
            entry["Layers"] = this->layers_json();
        }
        const json row = {{"Table", "servers"},
                          {"part", ""},
                          {"Key", this->options.id},
                          {"Value", absl::Base64Escape(dump(entry))}};
        http_request request;
        request.method = "POST";
        request.path = "/rows-tx";
        request.headers = {{"Writer", "replica"}};
        request.body = dump(
            {{"ExpectedRevision", json::array()}, {"Puts", json::array({row})}, {"Remove", json::array()}});
        this->client.send(this->options.store, std::move(request), [](const http_result&) {});
    }

    void receive(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.on("says_leaving")) {
            reply->add_header("Server-Leaving", "1");
        }
        if (this->faults.handle(request, reply)) {
            if (request.path == "/faults") {
                this->register_self();
            }
            return;
        }
        const std::string expected = request.header("Dandelionstep-Expected-Instance");
        if (!expected.empty() && expected != this->options.id) {
            echo_id(request, reply);
            reply->add_header("Dandelionstep-Replica-Identifier", this->options.id);
            reply->send(status_misdirected, "");
        } else if (request.path == "/ledger") {
            reply->send(status_ok, dump(this->ledger));
        } else if (request.path == "/alive") {
            this->run_part(request, reply);
        } else if (request.path == "/report") {
            this->report(reply);
        } else if (request.path == "/order") {
            this->take_order(request, reply);
        } else {
            this->serve(request, reply);
        }
    }

    // One event of a stream that another engine answers passes through here, if the layers are here.
    void run_part(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::vector<path_hop> part = parse_path(request.header(part_header));
        const bool is_held = !part.empty() && this->has_layers(part.front());
        if (!is_held) {
            reply->send(status_misdirected, "{}");
            return;
        }
        if (!request.header(crash_header).empty()) {
            this->crash();
        }
        this->passed_at = event_loop::now();
        reply->send(status_ok, "{}");
    }

    // Layers that are given up still serve the streams that pass through them.
    [[nodiscard]] bool has_layers(const path_hop& part) const
    {
        const bool held = this->begin_layer <= part.begin && part.end <= this->end_layer;
        return held || (this->given_up.begin <= part.begin && part.end <= this->given_up.end);
    }

    void report(const std::shared_ptr<http_reply>& reply) const
    {
        json stalled = json::array();
        for (const auto& [attempt, stream] : this->streams) {
            if (stream->stalled_on) {
                stalled.push_back({{"Identifier", attempt}, {"Address", to_string(*stream->stalled_on)}});
            }
        }
        reply->send(status_ok, dump({{"Stage", "both"},
                                     {"Models", json::array()},
                                     {"Layers", this->layers_json()},
                                     {"Busy", this->loading},
                                     {"Sequence", this->orders},
                                     {"WaitingCount", 0},
                                     {"RunningCount", this->streams.size()},
                                     {"CacheUsed", 0},
                                     {"CacheTotal", 1000000},
                                     {"pace", 1.0},
                                     {"Stalled", stalled}}));
    }

    void take_order(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const absl::StatusOr<json> body = parse_json(request.body);
        const std::string operation = body.ok() ? string_or(*body, "Operation", "") : "";
        if (operation == "place") {
            this->place(*body, reply);
        } else if (operation == "repath") {
            this->repath(*body, reply);
        } else {
            reply->send(400, "{}");
        }
    }

    void place(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        if (this->loading || integer_or(body, "ExpectedRevision", this->orders) != this->orders) {
            reply->send(status_conflict, "{}");
            return;
        }
        ++this->orders;
        this->loading = true;
        this->ledger["placed"].push_back(
            json::array({integer_or(body, "From", 0), integer_or(body, "To", 0)}));
        this->given_up = {{}, this->begin_layer, this->end_layer};
        this->begin_layer = 0;
        this->end_layer = 0;
        this->register_self();
        this->load_when_idle(body);
        reply->send(status_accepted, "{}");
    }

    // Layers that are given up wait for the streams that pass through them.
    [[nodiscard]] bool is_passed() const
    {
        const milliseconds between_events{this->options.event_ms * 3};
        return !this->streams.empty() || event_loop::now() - this->passed_at < between_events;
    }

    void load_when_idle(const json& body)
    {
        if (this->is_passed()) {
            this->load_timer =
                this->loop.run_after(idle_interval, [this, body] { this->load_when_idle(body); });
            return;
        }
        this->load_timer = this->loop.run_after({this->options.load_ms}, [this, body] {
            this->loading = false;
            this->given_up = {};
            this->begin_layer = integer_or(body, "From", 0);
            this->end_layer = integer_or(body, "To", 0);
            this->register_self();
        });
    }

    void repath(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        const auto found = this->streams.find(string_or(body, "Identifier", ""));
        if (found == this->streams.end()) {
            reply->send(status_not_found, "{}");
            return;
        }
        const std::vector<path_hop> path = parse_path(string_or(body, "Path", ""));
        if (this->faults.take("refuse_paths") && path.size() > 1) {
            reply->send(status_conflict, dump({{"Address", to_string(path[1].address)}}));
            return;
        }
        this->check_path(path, found->first);
        found->second->path = path;
        found->second->stalled_on.reset();
        found->second->has_lost_part = false;
        this->ledger["repaths"] = integer_or(this->ledger, "repaths", 0) + 1;
        this->next_event(found->second);
        reply->send(status_ok, "{}");
    }

    // Paths must run every layer once and in order, and begin here; anything else is written down.
    void check_path(const std::vector<path_hop>& path, const std::string& attempt)
    {
        std::int64_t covered = 0;
        bool good = !path.empty() && path.front().address == this->options.registered;
        for (const path_hop& hop : path) {
            good = good && hop.begin == covered && hop.end > hop.begin;
            covered = hop.end;
        }
        if (!good || covered != this->options.layers) {
            this->ledger["bad_paths"].push_back(attempt);
        }
    }

    static void refuse(const received_request& request, const std::shared_ptr<http_reply>& reply, int status)
    {
        echo_id(request, reply);
        reply->add_header("Dandelionstep-Not-Executed", "1");
        reply->send(status, "");
    }

    void serve(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::string path_text = request.header("Dandelionstep-Hop-Count");
        const std::vector<path_hop> path = parse_path(path_text);
        this->ledger["arrivals"].push_back(event_loop::wall_now().count);
        if (this->faults.take("rests")) {
            reply->add_header("Retry-After", this->faults.text("rest_s"));
            refuse(request, reply, status_unavailable);
            return;
        }
        if (this->faults.take("refuse")) {
            refuse(request, reply, status_unavailable);
            return;
        }
        if (!path.empty() && (path.front().begin < this->begin_layer || path.front().end > this->end_layer)) {
            refuse(request, reply, status_misdirected);
            return;
        }
        this->note_run(request, path_text);
        if (this->faults.on("fails_all")) {
            this->sign(request, reply);
            reply->send(status_failed, "failed", "text/plain");
            return;
        }
        const bool is_crashing_call = path.empty() && this->is_crashing(request.header(segments_header));
        if (this->is_crashing(request.body) || this->is_crashing(request.path) || is_crashing_call) {
            if (path.size() <= 1 || !this->options.crashes_later_engines) {
                this->crash();
            }
        }
        if (this->faults.take("hang")) {
            this->held.push_back(reply);
            return;
        }
        if (this->faults.take("endless")) {
            this->sign(request, reply);
            this->answer_without_end(reply, path.empty() ? "text/plain" : "text/event-stream");
            return;
        }
        if (!path.empty()) {
            this->check_path(path, request.header("Dandelionstep-Attempt-Id"));
            this->start_stream(request, path, reply);
            return;
        }
        const milliseconds delay{this->faults.number("delay_ms")};
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_after(delay, [this, request, reply, timer] {
            *timer = {};
            this->answer_call(request, reply);
        });
    }

    [[nodiscard]] bool is_crashing(const std::string& text) const
    {
        return !this->options.crashes_on.empty() && text.find(this->options.crashes_on) != std::string::npos;
    }

    [[noreturn]] static void crash()
    {
        constexpr int crash_status = 70;
        std::_Exit(crash_status);
    }

    void note_run(const received_request& request, const std::string& path_text)
    {
        json& run = this->ledger["runs"][request.header("Dandelionstep-Attempt-Id")];
        run["count"] = integer_or(run, "count", 0) + 1;
        run["organisation"] = request.header("Dandelionstep-Tenant");
        run["key_seen"] = !request.header("Dandelionstep-Credential").empty();
        run["body"] = request.body;
        run["target"] = request.path;
        run["path"] = path_text;
        run["at_ms"] = event_loop::wall_now().count;
    }

    static void echo_id(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::string id = request.header("Dandelionstep-Attempt-Id");
        if (!id.empty()) {
            reply->add_header("Dandelionstep-Attempt-Id", id);
        }
    }

    void sign(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        echo_id(request, reply);
        if (!this->faults.take("unsigned")) {
            reply->add_header("Dandelionstep-Server-Signature", absl::StrCat(this->options.id, ".signed"));
        }
    }

    void answer_call(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.take("drop_answers")) {
            reply->drop();
            return;
        }
        this->sign(request, reply);
        const int status = this->faults.take("fail") ? status_failed : status_ok;
        reply->send(status, absl::StrCat("echo:", request.body), "text/plain");
    }

    // Bytes without the end of a body or of an event, for as long as somebody reads.
    void answer_without_end(const std::shared_ptr<http_reply>& reply, const std::string& content_type)
    {
        reply->start_stream(status_ok, content_type);
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_every(endless_interval, [this, reply, timer] {
            if (reply->gone()) {
                this->loop.post([timer] { *timer = {}; });
                return;
            }
            reply->write(std::string(endless_part_bytes, 'x'));
        });
    }

    void start_stream(const received_request& request, const std::vector<path_hop>& path,
                      const std::shared_ptr<http_reply>& reply)
    {
        auto stream = std::make_shared<running_stream>();
        stream->attempt = request.header("Dandelionstep-Attempt-Id");
        stream->body = request.body;
        stream->path = path;
        stream->reply = reply;
        stream->is_crashing = this->is_crashing(request.header(segments_header));
        std::int64_t last = 0;
        if (absl::SimpleAtoi(request.header("Last-Event-Id"), &last)) {
            stream->next = last;
        }
        ++stream->next;
        this->streams[stream->attempt] = stream;
        this->sign(request, reply);
        if (this->options.streams_end_with_connection) {
            reply->end_with_connection();
        }
        reply->start_stream(status_ok, "text/event-stream");
        reply->on_gone([this, watched = std::weak_ptr(stream)] {
            if (const auto gone = watched.lock()) {
                this->end_stream(*gone);
            }
        });
        this->next_event(stream);
    }

    void end_stream(const running_stream& stream)
    {
        const auto found = this->streams.find(stream.attempt);
        if (found != this->streams.end() && found->second.get() == &stream) {
            this->streams.erase(found);
        }
    }

    // Each event needs all engines of the path: the others are asked whether they live.
    void next_event(const std::shared_ptr<running_stream>& stream)
    {
        const std::weak_ptr<running_stream> watched = stream;
        const milliseconds pace{this->faults.number("event_ms", this->options.event_ms)};
        stream->step = this->loop.run_after(pace, [this, watched] {
            const auto self = watched.lock();
            if (self && this->faults.on("holds_events")) {
                this->next_event(self);
            } else if (self && self->has_lost_part) {
                this->stall(self, *self->stalled_on);
            } else if (self) {
                this->ask_hops(self, 1);
            }
        });
    }

    void ask_hops(const std::shared_ptr<running_stream>& stream, std::size_t index)
    {
        if (index >= stream->path.size()) {
            this->write_event(stream);
            return;
        }
        http_request question;
        question.path = "/alive";
        question.timeout = peer_timeout;
        const path_hop& part = stream->path[index];
        const endpoint hop = part.address;
        question.headers = {{part_header, absl::StrCat(to_string(hop), "=", part.begin, "-", part.end)}};
        if (this->is_crashing(stream->body) || (stream->is_crashing && this->options.crashes_later_engines)) {
            question.headers.emplace_back(crash_header, "1");
        }
        this->client.send(hop, std::move(question),
                          [this, watched = std::weak_ptr(stream), index, hop](const http_result& result) {
                              const auto self = watched.lock();
                              if (!self) {
                                  return;
                              }
                              if (result.answered() && result.status == status_ok) {
                                  this->ask_hops(self, index + 1);
                              } else {
                                  self->has_lost_part = result.failure == http_failure::not_connected ||
                                                        result.failure == http_failure::broken;
                                  this->stall(self, hop);
                              }
                          });
    }

    void stall(const std::shared_ptr<running_stream>& stream, const endpoint& on)
    {
        if (!stream->stalled_on) {
            stream->stalled_at = event_loop::now();
        }
        stream->stalled_on = on;
        if (event_loop::now() - stream->stalled_at >= milliseconds{this->options.stall_ms}) {
            const std::shared_ptr<http_reply> reply = stream->reply;
            this->end_stream(*stream);
            reply->drop();
            return;
        }
        this->next_event(stream);
    }

    void write_event(const std::shared_ptr<running_stream>& stream)
    {
        if (stream->is_crashing && !this->options.crashes_later_engines) {
            this->crash();
        }
        stream->stalled_on.reset();
        const std::int64_t count = event_count(stream->body);
        if (stream->next <= count) {
            stream->reply->write(absl::StrCat("id: ", stream->next,
                                              "\ndata: ", event_data(stream->body, stream->next), "\n\n"));
            ++stream->next;
        }
        if (stream->next > count) {
            const std::shared_ptr<http_reply> reply = stream->reply;
            this->end_stream(*stream);
            reply->end_stream();
            return;
        }
        this->next_event(stream);
    }

    replica_options options;
    event_loop loop;
    fault_switches faults;
    http_client client;
    http_server server;
    json ledger = {{"runs", json::object()},
                   {"arrivals", json::array()},
                   {"placed", json::array()},
                   {"bad_paths", json::array()}};
    std::map<std::string, std::shared_ptr<running_stream>> streams;
    std::vector<std::shared_ptr<http_reply>> held;
    std::int64_t begin_layer = 0;
    std::int64_t end_layer = 0;
    std::int64_t orders = 0;
    std::int64_t heartbeats = 0;
    //! Layers that an order made it give up, while streams still pass through them.
    path_hop given_up;
    bool loading = false;
    //! When a stream of another engine last passed through this one.
    time_point passed_at{-1'000'000};
    event_loop::timer load_timer;
    std::int64_t born = event_loop::wall_now().count;
};

} // namespace

std::string event_data(const std::string& body, std::int64_t index)
{
    return absl::StrCat(absl::Hex(hash_of(absl::StrCat(body, "/", index))));
}

std::int64_t event_count(const std::string& body)
{
    constexpr std::uint64_t most_extra = 20;
    return 10 + static_cast<std::int64_t>(hash_of(body) % most_extra);
}

absl::Status run_replica(const replica_options& options)
{
    return replica(options).run();
}

} // namespace dandelionstep::standins
