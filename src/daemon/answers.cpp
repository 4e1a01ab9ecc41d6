#include "daemon/answers.hpp"

#include "adapters/log.hpp"
#include "common/json.hpp"

namespace dandelionstep {
namespace {

// Retry-After counts whole seconds, so a part of one is rounded up.
std::int64_t retry_after_seconds(milliseconds time)
{
    constexpr std::int64_t ms_per_second = 1000;
    return (time.count + ms_per_second - 1) / ms_per_second;
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
    reply.add_header(outcome_header, std::string(to_string(why.result)));
    if (why.retry_after.count > 0) {
        reply.add_header("Retry-After", std::to_string(retry_after_seconds(why.retry_after)));
    }
    reply.send(http_status(why.code), refusal_body(why));
}

void record_answered(daemon_context& context, std::string_view kind, const request_id& request,
                     const organisation_id& organisation, outcome result, std::string_view code)
{
    ++context.counters.answered[{std::string(kind), result}];
    log_event("request_answered", {{"request", request.value},
                                   {"organisation", organisation.value},
                                   {"kind", kind},
                                   {"outcome", to_string(result)},
                                   {"code", code}});
}

} // namespace dandelionstep
