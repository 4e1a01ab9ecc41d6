#include "entry/streams/stream_attempt.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/strip.h"
#include "adapters/http_text.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/requests/expected_answer.hpp"
#include "organisation/request_rank.hpp"
#include "target/remaining_work.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int least_urgent = 9;
// New connections are established within a few milliseconds; one that takes longer goes to a dead engine.
constexpr milliseconds connect_timeout{250};

// What is expected is noted anew once it has changed by one part in so many of the answer.
constexpr std::int64_t booking_steps = 8;

// While load is controlled, an answer of which the caller has a part is expected to go on.
void book_answer(entry_context& context, const accepted_request& request, stream_attempt& attempt,
                 std::int64_t arrived)
{
    const std::int64_t prompt = request.facts.prompt_tokens.value;
    const std::int64_t expected = expected_answer_tokens(context, request);
    attempt.booking = {prompt + expected, 0};
    if (context.controls_load()) {
        const std::int64_t whole =
            revised_answer_tokens(expected, arrived, request.facts.max_answer_tokens.value);
        attempt.expected_tokens = whole;
        attempt.first_expected_tokens = whole;
        attempt.booking = {prompt + whole, whole - arrived};
    }
}

outgoing_bytes bytes_of(entry_context& context, const accepted_request& request, const std::vector<hop>& path,
                        std::optional<std::int64_t> last_event)
{
    forwarding added;
    added.expected = path.front().id;
    added.organisation = request.organisation;
    added.patience = request.deadline - event_loop::now();
    added.last_event = last_event;
    added.path = path;
    added.urgency = context.controls_load() ? engine_urgency(request.priority)
                                            : std::clamp(request.priority, 0, least_urgent);
    const http_head& head = request.caller->head;
    const http_headers headers = context.dialect.forward_headers(head.headers, added);
    return {request_head(head.method, head.target, headers, request.caller->body.size()),
            shared_body(request.caller)};
}

void take_head(entry_context& context, stream_attempt& attempt, const http_head& head)
{
    attempt.head = head;
    attempt.facts = context.dialect.read_response(head.status, head.headers);
    take_notices(context, {attempt.path.front().id, attempt.path.front().started, attempt.is_backoff_trial},
                 attempt.facts);
    const bool is_success = head.status >= first_success && head.status < first_redirect;
    attempt.is_stream = is_success && attempt.facts.is_signed && !attempt.facts.is_encoded;
}

} // namespace

std::int64_t tokens_of(const request_facts& facts)
{
    const std::int64_t most = facts.max_answer_tokens.value;
    return facts.prompt_tokens.value + std::min(most, facts.answer_hint.value_or(most));
}

stream_form form_of(const http_head& head)
{
    const std::string type = head.header("Content-Type");
    const std::string_view name = std::string_view(type).substr(0, type.find(';'));
    return {head.status, absl::AsciiStrToLower(absl::StripAsciiWhitespace(std::string(name)))};
}

bool ends_with_connection(const http_head& head)
{
    return head.header("Content-Length").empty() && head.header("Transfer-Encoding").empty();
}

std::shared_ptr<stream_attempt> begin_attempt(entry_context& context, const accepted_request& request,
                                              stream_sending sending, stream_attempt_callbacks callbacks)
{
    auto attempt = std::make_shared<stream_attempt>(context.answer_bytes);
    attempt->path = std::move(sending.path);
    book_answer(context, request, *attempt, answer_tokens_until(request, sending.last_event));
    occupy_path(context, attempt->path, attempt->booking);
    attempt->is_backoff_trial = note_send(context, attempt->path.front().id);
    exchange_callbacks exchange;
    exchange.may_send = std::move(callbacks.may_send);
    exchange.is_own = [&context, attempt, awaited = awaited_by(request)](const http_head& head,
                                                                         connection_use use) {
        const answer_check check = check_answer(context, awaited, head, use);
        attempt->evidence = check.evidence;
        return check.is_own;
    };
    exchange.on_head = [&context, attempt, on_head = std::move(callbacks.on_head)](const http_head& head) {
        if (!attempt->ended) {
            take_head(context, *attempt, head);
            on_head(attempt);
        }
    };
    exchange.on_body = [attempt, on_body = std::move(callbacks.on_body)](std::string_view part) {
        if (attempt->ended) {
            return true;
        }
        return attempt->is_stream ? on_body(attempt, part) : attempt->body.append(part);
    };
    exchange.on_end = [attempt, on_end = std::move(callbacks.on_end)](exchange_end end, bool reused) {
        if (!attempt->ended) {
            on_end(attempt, end, reused);
        }
    };
    send_options options;
    options.connect_timeout = connect_timeout;
    options.carried_nothing_since = carried_nothing_since(awaited_by(request), sending.first_sent);
    attempt->exchange = context.channels.send(attempt->path.front().address,
                                              bytes_of(context, request, attempt->path, sending.last_event),
                                              options, std::move(exchange));
    return attempt;
}

void change_attempt_path(entry_context& context, stream_attempt& attempt, std::vector<hop> path)
{
    release_path(context, attempt.path, attempt.booking);
    attempt.path = std::move(path);
    occupy_path(context, attempt.path, attempt.booking);
}

void note_arrived(entry_context& context, const accepted_request& request, stream_attempt& attempt,
                  std::int64_t tokens)
{
    if (!attempt.expected_tokens || attempt.ended) {
        return;
    }
    const std::int64_t whole =
        revised_answer_tokens(*attempt.expected_tokens, tokens, request.facts.max_answer_tokens.value);
    const path_booking booking{request.facts.prompt_tokens.value + whole, whole - tokens};
    const std::int64_t change = attempt.booking.remaining_tokens - booking.remaining_tokens;
    if (whole == *attempt.expected_tokens && change * booking_steps < whole) {
        return;
    }
    attempt.expected_tokens = whole;
    rebook_path(context, attempt.path, attempt.booking, booking);
    attempt.booking = booking;
}

void end_attempt(entry_context& context, stream_attempt& attempt)
{
    if (attempt.ended) {
        return;
    }
    attempt.ended = true;
    attempt.trial.reset();
    context.channels.cancel(attempt.exchange);
    release_path(context, attempt.path, attempt.booking);
}

} // namespace dandelionstep
