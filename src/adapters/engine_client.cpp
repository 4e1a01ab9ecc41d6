#include "adapters/engine_client.hpp"

#include "absl/strings/str_cat.h"
#include "common/json.hpp"

#include <memory>

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;
constexpr int unavailable_status = 503;
constexpr std::size_t max_line_bytes = 65536;

json hops_of(const open_attempt& attempt)
{
    json hops = json::array();
    for (std::size_t i = 0; i < attempt.plans.size(); ++i) {
        const hop& stage = attempt.through.hops()[i];
        const hop_plan& plan = attempt.plans[i];
        hops.push_back({{"target", stage.target.value},
                        {"address", to_string(stage.address)},
                        {"begin_layer", stage.layers.begin.value},
                        {"end_layer", stage.layers.end.value},
                        {"prefill_from", plan.prefill_from.value},
                        {"first_wait_ms", plan.first_wait.count},
                        {"wait_ms", plan.next_wait.count}});
    }
    return hops;
}

std::string generate_body(const generation_request& request, const open_attempt& attempt)
{
    const model_variant& variant = attempt.through.variant();
    return dump({{"request", request.id.value},
                 {"attempt", attempt.attempt.value},
                 {"organisation", request.organisation.value},
                 {"model", variant.model.value},
                 {"version", variant.version},
                 {"adapters", variant.adapters},
                 {"prompt", request.prompt},
                 {"given", attempt.delivered},
                 {"max_tokens", request.max_tokens.value},
                 {"hops", hops_of(attempt)}});
}

std::vector<milliseconds> hop_times_of(const json& line)
{
    std::vector<milliseconds> times;
    const auto found = line.find("hop_ms");
    if (found != line.end() && found->is_array()) {
        for (const json& time : *found) {
            times.push_back({time.is_number_integer() ? time.get<std::int64_t>() : 0});
        }
    }
    return times;
}

// Turns the lines of one stream into events; at most one event ends it.
class stream_reader {
public:
    stream_reader(request_id request, const open_attempt& attempt, engine_client::event_callback on_event)
        : request(std::move(request)), attempt(attempt.attempt),
          first_hop(attempt.through.hops().front().target), on_event(std::move(on_event))
    {}

    void take(std::string_view part)
    {
        this->buffer += part;
        std::size_t line_end = 0;
        while (!this->ended && (line_end = this->buffer.find('\n')) != std::string::npos) {
            const std::string line = this->buffer.substr(0, line_end);
            this->buffer.erase(0, line_end + 1);
            this->read_line(line);
        }
        if (this->buffer.size() > max_line_bytes) {
            this->fail(attempt_failure::protocol, this->first_hop);
        }
    }

    void finish(const http_result& result)
    {
        if (this->ended) {
            return;
        }
        if (result.failure == http_failure::not_connected) {
            this->fail(attempt_failure::not_connected, this->first_hop);
        } else if (result.answered() && result.status == unavailable_status) {
            this->fail(attempt_failure::refused, this->first_hop);
        } else if (result.answered() && result.status != ok_status) {
            this->fail(attempt_failure::protocol, this->first_hop);
        } else {
            this->fail(attempt_failure::reset, this->first_hop);
        }
    }

private:
    void read_line(const std::string& line)
    {
        const auto value = parse_json(line);
        const std::string named = value.ok() ? string_or(*value, "request", "") : "";
        const attempt_number numbered{value.ok() ? integer_or(*value, "attempt", 0) : 0};
        if (named.empty() || numbered.value <= 0) {
            this->fail(attempt_failure::protocol, this->first_hop);
            return;
        }
        // A crossed line must not reach this caller, nor end an answer that has nothing to do with it.
        if (named != this->request.value || numbered != this->attempt) {
            this->on_event(mismatched_line_received{});
            return;
        }
        if (value->contains("error")) {
            const std::string culprit = string_or(*value, "target", this->first_hop.value);
            this->fail(parse_attempt_failure(string_or(*value, "error", "")), target_id(culprit));
        } else if (boolean_or(*value, "done", false)) {
            this->ended = true;
            this->on_event(stream_ended{this->attempt, token_count{integer_or(*value, "count", -1)}});
        } else {
            this->on_event(token_received{this->attempt, token_count{integer_or(*value, "index", -1)},
                                          string_or(*value, "token", ""), hop_times_of(*value)});
        }
    }

    void fail(attempt_failure failure, const target_id& culprit)
    {
        if (!this->ended) {
            this->ended = true;
            this->on_event(attempt_failed{this->attempt, failure, culprit});
        }
    }

    request_id request;
    attempt_number attempt;
    target_id first_hop;
    engine_client::event_callback on_event;
    std::string buffer;
    bool ended = false;
};

std::optional<load_report> parse_load(const http_result& result)
{
    const auto body = parse_json(result.body);
    if (!result.answered() || result.status != ok_status || !body.ok()) {
        return std::nullopt;
    }
    load_report report;
    report.started = incarnation{integer_or(*body, "incarnation", 0)};
    report.running = integer_or(*body, "running", 0);
    report.queued = integer_or(*body, "queued", 0);
    report.leaving = boolean_or(*body, "leaving", false);
    return report;
}

} // namespace

http_client::handle engine_client::open(const generation_request& request, const open_attempt& attempt,
                                        milliseconds timeout, event_callback on_event)
{
    http_request message{.method = "POST", .path = "/v1/generate"};
    message.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", request.id.value}};
    message.body = generate_body(request, attempt);
    message.timeout = timeout;
    auto reader = std::make_shared<stream_reader>(request.id, attempt, std::move(on_event));
    return this->http.stream(
        attempt.through.hops().front().address, std::move(message),
        [reader](std::string_view part) { reader->take(part); },
        [this, reader, first = attempt.through.hops().front().target](const http_result& result) {
            if (result.status == unavailable_status && this->on_refusal) {
                this->on_refusal(first, result.body);
            }
            reader->finish(result);
        });
}

void engine_client::cancel(const http_client::handle& stream, const request_id& request,
                           const cancel_attempt& attempt)
{
    constexpr milliseconds cancel_timeout{500};
    this->http.cancel(stream);
    for (const hop& stage : attempt.through.hops()) {
        http_request message{.method = "POST", .path = "/v1/cancel"};
        message.headers = {{"Content-Type", "application/json"}};
        message.body = dump({{"request", request.value},
                             {"attempt", attempt.attempt.value},
                             {"keep_cache", attempt.keep_cache}});
        message.timeout = cancel_timeout;
        this->http.send(stage.address, std::move(message), [](const http_result&) {});
    }
}

void engine_client::read_load(const endpoint& target, milliseconds timeout,
                              std::function<void(const load_answer&)> done)
{
    http_request message{.method = "GET", .path = "/v1/load"};
    message.timeout = timeout;
    this->http.send(target, std::move(message), [done = std::move(done)](const http_result& result) {
        done({parse_load(result), result.failure == http_failure::timed_out});
    });
}

} // namespace dandelionstep
