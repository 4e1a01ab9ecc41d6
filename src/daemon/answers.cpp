#include "daemon/answers.hpp"

#include "adapters/log.hpp"
#include "common/hash.hpp"
#include "common/json.hpp"

namespace dandelionstep {
namespace {

// Retry-After counts whole seconds, so a part of one is rounded up.
std::int64_t retry_after_seconds(milliseconds time)
{
    constexpr std::int64_t ms_per_second = 1000;
    return (time.count + ms_per_second - 1) / ms_per_second;
}

template <class Reply>
void send_refusal_by(Reply& reply, const refusal& why)
{
    reply.add_header(outcome_header, std::string(to_string(why.result)));
    if (why.retry_after.count > 0) {
        reply.add_header("Retry-After", std::to_string(retry_after_seconds(why.retry_after)));
    }
    reply.send(http_status(why.code), refusal_body(why));
}

// Takes a refusal for all requests that are still arriving.
struct arriving_reply {
    caller_server& callers;
    http_headers headers;
    int refused = 0;

    void add_header(const std::string& name, const std::string& value)
    {
        this->headers.emplace_back(name, value);
    }
    void send(int status, const std::string& body)
    {
        this->refused = this->callers.refuse_arriving(status, this->headers, body);
    }
};

bool kept_level(const declarations& declared, const finished_request& finished)
{
    if (finished.kind == "generation") {
        const auto found = declared.models.find(model_id(finished.service));
        return is_good_generation(found == declared.models.end() ? service_level{} : found->second.level,
                                  finished.timing);
    }
    const auto found = declared.services.find(service_id(finished.service));
    return is_good_call(found == declared.services.end() ? service_level{} : found->second.level,
                        finished.timing);
}

} // namespace

std::string refusal_body(const refusal& why)
{
    json error{{"code", std::string(to_string(why.code))},
               {"message", why.message},
               {"outcome", std::string(to_string(why.result))}};
    if (why.retry_after.count > 0) {
        error["retry_after_ms"] = why.retry_after.count;
    }
    return dump({{"error", error}});
}

void send_refusal(caller_reply& reply, const refusal& why)
{
    send_refusal_by(reply, why);
}

void send_refusal(http_reply& reply, const refusal& why)
{
    send_refusal_by(reply, why);
}

int refuse_arriving(caller_server& callers, const refusal& why)
{
    arriving_reply reply{.callers = callers, .headers = {}};
    send_refusal_by(reply, why);
    return reply.refused;
}

std::optional<std::string> bearer_token_hash(const received_request& request)
{
    constexpr std::string_view prefix = "Bearer ";
    const std::string header = request.header("Authorization");
    if (!header.starts_with(prefix)) {
        return std::nullopt;
    }
    return sha256_hex(std::string_view(header).substr(prefix.size()));
}

void record_finished(daemon_context& context, const finished_request& finished)
{
    ++context.counters.answered[{std::string(finished.kind), finished.result}];
    const bool completed = finished.result == outcome::completed;
    if (completed) {
        request_latencies& latencies = context.counters.latencies[std::string(finished.kind)];
        latencies.first.add(finished.timing.first);
        latencies.whole.add(finished.timing.whole);
    }
    if (!finished.refused || !is_callers_fault(*finished.refused)) {
        const bool good =
            completed && !finished.refused && kept_level(context.configuration.declared, finished);
        record_event(context.burn, {finished.service, finished.organisation}, good, event_loop::wall_now());
    }
    log_event("request_answered", {{"request", finished.request.value},
                                   {"organisation", finished.organisation.value},
                                   {"kind", finished.kind},
                                   {"service", finished.service},
                                   {"outcome", to_string(finished.result)},
                                   {"code", finished.refused ? to_string(*finished.refused) : "ok"},
                                   {"first_ms", finished.timing.first.count},
                                   {"whole_ms", finished.timing.whole.count},
                                   {"tokens", finished.timing.tokens}});
}

} // namespace dandelionstep
