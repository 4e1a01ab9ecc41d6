#include "entry/context/http_calls.hpp"

#include "adapters/http_text.hpp"

namespace dandelionstep {
namespace {

struct running_call {
    std::weak_ptr<channel_pool::exchange> exchange;
    event_loop::timer timeout;
    http_answer answer;
    gathered_text body;
    bool is_done = false;
    http_answer_callback done;

    explicit running_call(const std::shared_ptr<byte_budget>& budget) : body(budget) {}
};

void finish(running_call& call, exchange_end end)
{
    if (call.is_done) {
        return;
    }
    call.is_done = true;
    call.timeout = {};
    call.answer.end = end;
    call.answer.body = call.body.take();
    if (end != exchange_end::complete) {
        call.answer.status = 0;
    }
    const http_answer_callback done = std::move(call.done);
    done(call.answer);
}

} // namespace

void send_call(entry_context& context, const endpoint& to, const outgoing_call& call, const call_times& times,
               http_answer_callback done)
{
    auto running = std::make_shared<running_call>(context.answer_bytes);
    running->done = std::move(done);
    http_headers headers = call.headers;
    headers.insert(headers.begin(), {"Host", to_string(to)});
    const auto give_up = [&context, running] {
        context.channels.cancel(running->exchange);
        finish(*running, exchange_end::broken);
    };
    const milliseconds rest = times.whole - times.head;
    exchange_callbacks callbacks;
    // Calls bear no attempt's id; callers' requests, which do, go over the same connections.
    callbacks.is_own = [&context](const http_head& head, connection_use) {
        const bool is_own = context.dialect.read_response(head.status, head.headers).attempt_id.empty();
        context.metrics.answers_skipped["other_id"] += is_own ? 0 : 1;
        return is_own;
    };
    callbacks.on_head = [&context, running, give_up, rest](const http_head& head) {
        context.heard_at = event_loop::now();
        running->answer.status = head.status;
        running->answer.headers = head.headers;
        if (rest > milliseconds{0}) {
            running->timeout = context.loop.run_after(rest, give_up);
        }
    };
    callbacks.on_body = [running](std::string_view part) { return running->body.append(part); };
    callbacks.on_end = [running](exchange_end end, bool /*reused*/) { finish(*running, end); };
    running->timeout = context.loop.run_after(times.head, give_up);
    send_options options;
    options.connect_timeout = times.connect.value_or(times.head);
    // These answers are JSON, of which a part can't be read, and some must come within 40 ms.
    options.confirms_end = false;
    running->exchange = context.channels.send(to, request_text(call.method, call.target, headers, call.body),
                                              options, std::move(callbacks));
}

void send_call(entry_context& context, const endpoint& to, const outgoing_call& call, milliseconds timeout,
               http_answer_callback done)
{
    send_call(context, to, call, call_times{timeout, timeout}, std::move(done));
}

} // namespace dandelionstep
