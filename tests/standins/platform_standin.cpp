#include "platform_standin.hpp"

#include "adapters/http_server.hpp"
#include "common/json.hpp"
#include "faults.hpp"

#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <optional>

namespace dandelionstep::standins {
namespace {

constexpr std::string_view objects_prefix = "/v1/objects/";
constexpr std::string_view weights_prefix = "/v1/weights/";

struct stored_row {
    std::int64_t version = 0;
    json value;
};

struct table_answer {
    int status = 0;
    std::string body;
};

using rows_by_key = std::map<std::string, stored_row>;

json row_json(const std::string& key, const stored_row& row)
{
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

class platform_standin {
public:
    explicit platform_standin(const platform_options& options)
        : options(options),
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
        std::cout << "port=" << *port << std::endl;
        const event_loop::timer terminate = this->loop.on_signal(SIGTERM, [this] { this->loop.stop(); });
        this->loop.run();
        return absl::OkStatus();
    }

private:
    void receive(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.handle(request, reply) || this->answer_control(request, reply)) {
            return;
        }
        const std::string down = this->faults.text("down");
        if (down == "drop") {
            reply->drop();
            return;
        }
        if (down == "503") {
            reply->send(503, R"({"error":"unavailable"})");
            return;
        }
        const std::int64_t delay = this->faults.number("delay_ms");
        if (delay == 0) {
            this->answer(request, reply);
            return;
        }
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_after({delay}, [this, request, reply, timer] {
            *timer = {};
            this->answer(request, reply);
        });
    }

    // What tests ask of the stand-in itself.
    bool answer_control(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (request.path == "/control/vms") {
            const auto list = parse_json(request.body);
            this->vm_history.push_back({event_loop::now(), list.ok() ? *list : json::array()});
            reply->send(200, "{}");
            return true;
        }
        if (request.path == "/control/stats" || request.path == "/ledger") {
            reply->send(200, dump({{"reads", this->reads},
                                   {"writes", this->writes},
                                   {"version", this->version},
                                   {"held", this->held}}));
            return true;
        }
        return false;
    }

    void answer(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (request.path == "/v1/table/transact") {
            this->hold_or_transact(request, reply);
        } else if (request.path == "/v1/table/get") {
            ++this->reads;
            this->get(request.parameter("key"), reply);
        } else if (request.path == "/v1/table/scan") {
            ++this->reads;
            this->scan(request, reply);
        } else if (request.path == "/v1/objects") {
            this->list_objects(request.parameter("prefix"), reply);
        } else if (request.path.starts_with(objects_prefix)) {
            this->object(request, reply);
        } else if (request.path.starts_with(weights_prefix)) {
            this->weights(request, reply);
        } else if (request.path == "/v1/vms") {
            this->vms(reply);
        } else {
            reply->send(404, R"({"error":"no such operation"})");
        }
    }

    // Holds a transaction whose text matches, before it takes effect or before it is answered.
    void hold_or_transact(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const auto matches = [&](const char* name) {
            const std::string text = this->faults.text(name);
            return !text.empty() && request.body.find(text) != std::string::npos;
        };
        const bool hold_effect = matches("hold_before");
        if ((!hold_effect && !matches("hold_after")) || !this->faults.take("holds")) {
            this->transact(request, reply);
            return;
        }
        ++this->held;
        std::optional<table_answer> answer;
        if (!hold_effect) {
            ++this->writes;
            answer = this->execute(request);
        }
        auto timer = std::make_shared<event_loop::timer>();
        *timer =
            this->loop.run_after({this->faults.number("hold_ms")}, [this, request, reply, answer, timer] {
                *timer = {};
                if (answer) {
                    reply->send(answer->status, answer->body);
                } else {
                    this->transact(request, reply);
                }
            });
    }

    void transact(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        ++this->writes;
        if (this->faults.take("lose_requests")) {
            reply->drop();
            return;
        }
        const table_answer answer = this->execute(request);
        if (answer.status == 200 && this->faults.take("lose_answers")) {
            reply->drop();
            return;
        }
        reply->send(answer.status, answer.body);
    }

    table_answer execute(const received_request& request)
    {
        const auto body = parse_json(request.body);
        if (!body.ok() || !body->contains("conditions") || !body->contains("writes")) {
            return {400, R"({"error":"a transaction has conditions and writes"})"};
        }
        for (const json& condition : (*body)["conditions"]) {
            const std::string key = string_or(condition, "key", "");
            const auto found = this->rows.find(key);
            const std::int64_t current = found == this->rows.end() ? 0 : found->second.version;
            if (current != integer_or(condition, "version", 0)) {
                json conflict{{"error", "conflict"}, {"key", key}};
                if (found != this->rows.end()) {
                    conflict["row"] = row_json(key, found->second);
                }
                return {409, dump(conflict)};
            }
        }
        this->remember_old_rows();
        ++this->version;
        for (const json& write : (*body)["writes"]) {
            const std::string key = string_or(write, "key", "");
            if (boolean_or(write, "delete", false)) {
                this->rows.erase(key);
            } else {
                this->rows[key] = {this->version, write.value("value", json())};
            }
        }
        return {200, dump({{"version", this->version}})};
    }

    // With stale_reads on, reads see the table as it was when the switch was last off.
    void remember_old_rows()
    {
        if (!this->faults.on("stale_reads")) {
            this->old_rows.reset();
        } else if (!this->old_rows) {
            this->old_rows = this->rows;
        }
    }

    [[nodiscard]] const rows_by_key& readable_rows() const
    {
        return this->faults.on("stale_reads") && this->old_rows ? *this->old_rows : this->rows;
    }

    void get(const std::string& key, const std::shared_ptr<http_reply>& reply)
    {
        json list = json::array();
        const auto found = this->readable_rows().find(key);
        if (found != this->readable_rows().end()) {
            list.push_back(row_json(key, found->second));
        }
        reply->send(200, dump({{"rows", list}, {"as_of", this->version}}));
    }

    void scan(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::string prefix = request.parameter("prefix");
        const std::string after = request.parameter("after");
        const std::size_t limit = std::strtoull(request.parameter("limit").c_str(), nullptr, 10);
        json list = json::array();
        const rows_by_key& readable = this->readable_rows();
        for (auto row = readable.lower_bound(std::max(prefix, after)); row != readable.end(); ++row) {
            if (!row->first.starts_with(prefix) || list.size() >= limit) {
                break;
            }
            if (row->first != after) {
                list.push_back(row_json(row->first, row->second));
            }
        }
        reply->send(200, dump({{"rows", list}, {"as_of", this->version}}));
    }

    void object(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::string name = request.path.substr(objects_prefix.size());
        if (request.method == "PUT") {
            ++this->writes;
            this->objects[name] = request.body;
            reply->send(200, "{}");
            return;
        }
        ++this->reads;
        const auto found = this->objects.find(name);
        if (found == this->objects.end()) {
            reply->send(404, R"({"error":"no such object"})");
        } else {
            reply->send(200, found->second, "application/octet-stream");
        }
    }

    void list_objects(const std::string& prefix, const std::shared_ptr<http_reply>& reply)
    {
        ++this->reads;
        json names = json::array();
        for (const auto& [name, body] : this->objects) {
            if (name.starts_with(prefix)) {
                names.push_back(name);
            }
        }
        reply->send(200, dump({{"names", names}}));
    }

    void weights(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::int64_t bytes = std::strtoll(request.parameter("bytes").c_str(), nullptr, 10);
        const time_point now = event_loop::now();
        const std::int64_t refill =
            (now - this->weights_refilled).count * this->options.weight_bytes_per_second / 1000;
        this->weight_budget = std::min(this->weight_budget + refill, this->options.weight_bytes_per_second);
        this->weights_refilled = now;
        if (bytes > this->weight_budget) {
            reply->add_header("Retry-After", "1");
            reply->send(429, R"({"error":"rate limited"})");
            return;
        }
        this->weight_budget -= bytes;
        reply->send(200, dump({{"weights", request.path.substr(weights_prefix.size())}, {"bytes", bytes}}));
    }

    void vms(const std::shared_ptr<http_reply>& reply)
    {
        const time_point visible = event_loop::now() - milliseconds{this->options.vm_list_lag_ms};
        json list = json::array();
        for (const auto& [since, vms] : this->vm_history) {
            if (since <= visible) {
                list = vms;
            }
        }
        reply->send(200, dump({{"vms", list}, {"age_ms", this->options.vm_list_lag_ms}}));
    }

    platform_options options;
    event_loop loop;
    fault_switches faults;
    http_server server;
    rows_by_key rows;
    std::optional<rows_by_key> old_rows;
    std::map<std::string, std::string> objects;
    std::deque<std::pair<time_point, json>> vm_history;
    std::int64_t version = 0;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    //! Transactions that were held.
    std::int64_t held = 0;
    std::int64_t weight_budget = 0;
    time_point weights_refilled;
};

} // namespace

absl::Status run_platform(const platform_options& options)
{
    return platform_standin(options).run();
}

} // namespace dandelionstep::standins
