#include "engine_standin.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/http_client.hpp"
#include "adapters/http_server.hpp"
#include "common/json.hpp"
#include "engine_batch.hpp"
#include "fake_model.hpp"
#include "faults.hpp"

#include <csignal>
#include <iostream>
#include <map>
#include <unistd.h>

namespace dandelionstep::standins {
namespace {

constexpr milliseconds hop_timeout{300};
constexpr std::size_t max_ledger_entries = 500'000;

// One token's way through this engine's layers and the hops after it.
struct step_work {
    std::string request;
    std::int64_t attempt = 0;
    std::int64_t index = 0;
    std::int64_t next_layer = 0;
    std::uint64_t activation = 0;
    //! Tokens whose KV must be rebuilt first; 0 for an ordinary step.
    std::int64_t prefill_tokens = 0;
    json hops = json::array();
};

struct step_result {
    bool ok = false;
    std::string token;
    //! When not ok: the target at fault and why.
    std::string culprit;
    std::string reason;
};

using step_callback = std::function<void(const step_result&)>;

json step_json(const step_work& work)
{
    return {{"request", work.request},
            {"attempt", work.attempt},
            {"index", work.index},
            {"next_layer", work.next_layer},
            {"activation", work.activation},
            {"prefill_tokens", work.prefill_tokens},
            {"hops", work.hops}};
}

step_work parse_step(const json& body)
{
    step_work work;
    work.request = string_or(body, "request", "");
    work.attempt = integer_or(body, "attempt", 0);
    work.index = integer_or(body, "index", 0);
    work.next_layer = integer_or(body, "next_layer", 0);
    work.activation = body.value("activation", std::uint64_t{0});
    work.prefill_tokens = integer_or(body, "prefill_tokens", 0);
    work.hops = body.value("hops", json::array());
    return work;
}

// An answer that this engine, as the first hop, streams to its caller.
struct generation {
    std::string request;
    std::int64_t attempt = 0;
    std::string prompt;
    std::vector<std::string> tokens;
    std::int64_t length = 0;
    json hops;
    bool needs_prefill = true;
    bool cancelled = false;
    std::shared_ptr<http_reply> reply;
};

class engine_standin {
public:
    explicit engine_standin(const engine_options& options)
        : options(options), http(loop), batch(loop, {options.step_ms}, options.max_batch),
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
        if (this->faults.handle(request, reply)) {
            this->batch.set_slow_factor(this->faults.number("slow_factor", 1));
            return;
        }
        if (request.path == "/ledger") {
            reply->send(
                200, dump({{"steps", this->ledger}, {"orders", this->orders}, {"cancelled", this->cancels}}));
            return;
        }
        if (request.path == "/v1/load") {
            this->report_load(reply);
            return;
        }
        const auto body = parse_json(request.body.empty() ? "{}" : request.body);
        if (!body.ok()) {
            reply->send(400, R"({"error":"bad_request"})");
        } else if (request.path == "/v1/generate") {
            this->generate(*body, reply);
        } else if (request.path == "/v1/step") {
            this->answer_step(*body, reply);
        } else if (request.path == "/v1/cancel") {
            this->cancel(*body, reply);
        } else if (request.path == "/v1/orders") {
            this->take_order(*body, reply);
        } else if (request.path == "/v1/kv/export") {
            this->export_kv(*body, reply);
        } else if (request.path == "/v1/kv/import") {
            this->import_kv(*body, reply);
        } else if (request.path == "/v1/cache-events") {
            this->report_cache(request, reply);
        } else {
            reply->send(404, R"({"error":"no such operation"})");
        }
    }

    void report_load(const std::shared_ptr<http_reply>& reply)
    {
        reply->send(200, dump({{"incarnation", this->incarnation},
                               {"running", this->batch.running()},
                               {"queued", 0},
                               {"leaving", this->faults.on("leaving")},
                               {"fence", this->fence},
                               {"generation", this->order_generation}}));
    }

    void generate(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        const bool leaving = this->faults.on("leaving") || this->faults.take("refuse_leaving");
        if (leaving || this->faults.take("refuse")) {
            reply->send(
                503, dump({{"error", "refused"}, {"leaving", leaving}, {"incarnation", this->incarnation}}));
            return;
        }
        if (string_or(body, "model", "") != this->options.model ||
            string_or(body, "version", "") != this->options.version) {
            reply->send(409, R"({"error":"another model is loaded"})");
            return;
        }
        auto work = std::make_shared<generation>();
        work->request = string_or(body, "request", "");
        work->attempt = integer_or(body, "attempt", 0);
        work->prompt = string_or(body, "prompt", "");
        work->tokens = body.value("given", std::vector<std::string>{});
        work->length = answer_length(work->prompt, integer_or(body, "max_tokens", 0));
        work->hops = body.value("hops", json::array());
        if (!work->hops.empty()) {
            work->hops.erase(work->hops.begin());
        }
        work->reply = reply;
        const std::string deadly = this->faults.text("die_on_text");
        if (!deadly.empty() && work->prompt.find(deadly) != std::string::npos) {
            _exit(1);
        }
        this->remember_prefix(work->prompt);
        this->generations[work->request] = work;
        reply->on_gone([this, watch = std::weak_ptr(work)] {
            if (const auto gone = watch.lock()) {
                this->forget(gone->request, gone->attempt);
            }
        });
        reply->start_stream(200, "application/x-ndjson");
        this->next_token(work);
    }

    void next_token(const std::shared_ptr<generation>& work)
    {
        if (work->cancelled) {
            return;
        }
        if (static_cast<std::int64_t>(work->tokens.size()) >= work->length) {
            this->finish(work);
            return;
        }
        step_work step;
        step.request = work->request;
        step.attempt = work->attempt;
        step.index = static_cast<std::int64_t>(work->tokens.size());
        step.activation =
            first_activation(this->options.model, this->options.version, work->prompt, work->tokens);
        step.hops = work->hops;
        if (work->needs_prefill) {
            constexpr std::int64_t bytes_per_token = 4;
            step.prefill_tokens =
                static_cast<std::int64_t>(work->prompt.size()) / bytes_per_token + step.index + 1;
            work->needs_prefill = false;
        }
        this->run_step(step, [this, work, index = step.index](const step_result& result) {
            this->take_token(work, index, result);
        });
    }

    void take_token(const std::shared_ptr<generation>& work, std::int64_t index, const step_result& result)
    {
        if (work->cancelled) {
            return;
        }
        if (!result.ok) {
            work->reply->write(dump({{"request", work->request},
                                     {"attempt", work->attempt},
                                     {"error", result.reason},
                                     {"target", result.culprit}}) +
                               "\n");
            work->reply->end_stream();
            this->forget(work->request, work->attempt);
            return;
        }
        if (this->faults.take("drop_streams")) {
            work->reply->drop();
            this->forget(work->request, work->attempt);
            return;
        }
        work->tokens.push_back(result.token);
        const std::string request = this->faults.take("cross_answers") ? "another-request" : work->request;
        json line{
            {"request", request}, {"attempt", work->attempt}, {"index", index}, {"token", result.token}};
        work->reply->write(dump(line) + "\n");
        if (this->faults.take("double_tokens")) {
            work->reply->write(dump(line) + "\n");
        }
        this->next_token(work);
    }

    void finish(const std::shared_ptr<generation>& work)
    {
        work->reply->write(dump({{"request", work->request},
                                 {"attempt", work->attempt},
                                 {"done", true},
                                 {"count", work->length}}) +
                           "\n");
        work->reply->end_stream();
        this->forget(work->request, work->attempt);
    }

    // Runs this engine's layers for one token, then hands the activation to the next hop.
    void run_step(const step_work& work, const step_callback& done)
    {
        if (work.next_layer != this->options.begin_layer) {
            done({false, "", this->options.name, "layer_mismatch"});
            return;
        }
        std::int64_t& cached = this->kv[work.request];
        if (work.prefill_tokens == 0 && cached != work.index) {
            done({false, "", this->options.name, "kv_missing"});
            return;
        }
        const std::int64_t batches = 1 + work.prefill_tokens / this->options.prefill_tokens_per_step;
        this->batch.submit(batches, [this, work, done] {
            if (this->faults.number("die_at_step") > 0 && this->faults.take("die_at_step") &&
                this->faults.number("die_at_step") == 0) {
                _exit(1);
            }
            this->kv[work.request] = work.index + 1;
            this->record_step(work);
            step_work next = work;
            next.activation = run_layers(work.activation, this->options.begin_layer, this->options.end_layer);
            next.next_layer = this->options.end_layer;
            this->hand_on(next, done);
        });
    }

    void hand_on(step_work next, const step_callback& done)
    {
        if (next.hops.empty()) {
            done({true, sample_token(next.activation), "", ""});
            return;
        }
        const json hop = next.hops.front();
        next.hops.erase(next.hops.begin());
        const std::string hop_name = string_or(hop, "target", "");
        const auto address = parse_endpoint(string_or(hop, "address", ""));
        if (!address.ok()) {
            done({false, "", hop_name, "bad_hop"});
            return;
        }
        http_request request{.method = "POST", .path = "/v1/step"};
        request.body = dump(step_json(next));
        request.timeout = hop_timeout;
        this->http.send(*address, std::move(request), [hop_name, done](const http_result& result) {
            const auto body = parse_json(result.body);
            if (!result.answered() || !body.ok()) {
                done({false, "", hop_name, "hop_failed"});
            } else if (result.status != 200) {
                done({false, "", string_or(*body, "target", hop_name),
                      string_or(*body, "error", "hop_failed")});
            } else {
                done({true, string_or(*body, "token", ""), "", ""});
            }
        });
    }

    void answer_step(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        this->run_step(parse_step(body), [this, reply](const step_result& result) {
            const auto answer = [reply, result] {
                if (result.ok) {
                    reply->send(200, dump({{"token", result.token}}));
                } else {
                    reply->send(502, dump({{"error", result.reason}, {"target", result.culprit}}));
                }
            };
            const std::int64_t late = this->faults.number("late_ms");
            if (late == 0) {
                answer();
                return;
            }
            auto timer = std::make_shared<event_loop::timer>();
            *timer = this->loop.run_after({late}, [answer, timer] {
                *timer = {};
                answer();
            });
        });
    }

    void record_step(const step_work& work)
    {
        if (this->ledger.size() < max_ledger_entries && !this->faults.on("no_ledger")) {
            this->ledger.push_back({{"request", work.request},
                                    {"attempt", work.attempt},
                                    {"index", work.index},
                                    {"begin", this->options.begin_layer},
                                    {"end", this->options.end_layer},
                                    {"prefill", work.prefill_tokens > 0}});
        }
    }

    void cancel(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        ++this->cancels;
        this->forget(string_or(body, "request", ""), integer_or(body, "attempt", 0));
        reply->send(200, "{}");
    }

    void forget(const std::string& request, std::int64_t attempt)
    {
        const auto found = this->generations.find(request);
        if (found != this->generations.end() && found->second->attempt == attempt) {
            found->second->cancelled = true;
            this->generations.erase(found);
        }
        this->kv.erase(request);
    }

    void take_order(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        const std::int64_t order_fence = integer_or(body, "fence", 0);
        if (this->options.checks_fencing && order_fence < this->fence) {
            reply->send(409, dump({{"error", "stale_fence"}, {"fence", this->fence}}));
            return;
        }
        this->fence = order_fence;
        this->order_generation = integer_or(body, "generation", 0);
        this->orders.push_back(body);
        reply->send(200, "{}");
    }

    void export_kv(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        const auto found = this->kv.find(string_or(body, "request", ""));
        if (found == this->kv.end()) {
            reply->send(404, R"({"error":"kv_missing"})");
        } else {
            reply->send(200, dump({{"kv", {{"tokens", found->second}}}}));
        }
    }

    void import_kv(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        const json kv_state = body.value("kv", json::object());
        this->kv[string_or(body, "request", "")] = integer_or(kv_state, "tokens", 0);
        reply->send(200, "{}");
    }

    void remember_prefix(const std::string& prompt)
    {
        constexpr std::size_t prefix_bytes = 64;
        constexpr std::size_t max_events = 1000;
        this->cache_events.push_back({{"sequence", ++this->cache_sequence},
                                      {"event", "cached"},
                                      {"prefix", prompt.substr(0, prefix_bytes)}});
        if (this->cache_events.size() > max_events) {
            this->cache_events.erase(this->cache_events.begin());
        }
    }

    void report_cache(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::int64_t after = std::strtoll(request.parameter("after").c_str(), nullptr, 10);
        json list = json::array();
        for (const json& event : this->cache_events) {
            if (integer_or(event, "sequence", 0) > after) {
                list.push_back(event);
            }
        }
        reply->send(200, dump({{"events", list}}));
    }

    engine_options options;
    event_loop loop;
    http_client http;
    engine_batch batch;
    fault_switches faults;
    http_server server;
    std::map<std::string, std::shared_ptr<generation>> generations;
    std::map<std::string, std::int64_t> kv;
    std::vector<json> ledger;
    std::vector<json> orders;
    std::vector<json> cache_events;
    std::int64_t cache_sequence = 0;
    std::int64_t cancels = 0;
    std::int64_t fence = 0;
    std::int64_t order_generation = 0;
    std::int64_t incarnation = event_loop::wall_now().count;
};

} // namespace

absl::Status run_engine(const engine_options& options)
{
    return engine_standin(options).run();
}

} // namespace dandelionstep::standins
