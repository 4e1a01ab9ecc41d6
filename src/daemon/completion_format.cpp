#include "daemon/completion_format.hpp"

#include "absl/strings/str_cat.h"
#include "common/json.hpp"

namespace dandelionstep {
namespace {

constexpr std::int64_t max_tokens_limit = 8192;

absl::StatusOr<std::string> prompt_of(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return absl::InvalidArgumentError("member \"messages\" must be a list with at least one message");
    }
    std::string prompt;
    for (const json& message : *messages) {
        auto role = string_member(message, "role");
        auto content = string_member(message, "content");
        if (!role.ok() || !content.ok()) {
            return absl::InvalidArgumentError("each message must have the strings \"role\" and \"content\"");
        }
        absl::StrAppend(&prompt, *role, ": ", *content, "\n");
    }
    return prompt;
}

json chunk_of(const generation_request& request, json delta, json finish_reason)
{
    return {{"id", request.id.value},
            {"object", "chat.completion.chunk"},
            {"model", request.model.value},
            {"choices", json::array({{{"index", 0},
                                      {"delta", std::move(delta)},
                                      {"finish_reason", std::move(finish_reason)}}})}};
}

json end_of(const deliver_end& end)
{
    return {{"outcome", std::string(to_string(outcome::completed))},
            {"tokens", end.count.value},
            {"sha256", end.digest}};
}

} // namespace

absl::StatusOr<completion_request> parse_completion(std::string_view body)
{
    auto parsed = parse_json(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    auto model = string_member(*parsed, "model");
    if (!model.ok()) {
        return model.status();
    }
    auto prompt = prompt_of(*parsed);
    if (!prompt.ok()) {
        return prompt.status();
    }
    completion_request request{.model = model_id(*model), .prompt = *std::move(prompt)};
    request.streamed = boolean_or(*parsed, "stream", false);
    if (parsed->contains("max_tokens")) {
        auto max_tokens = integer_member(*parsed, "max_tokens");
        if (!max_tokens.ok() || *max_tokens < 1 || *max_tokens > max_tokens_limit) {
            return absl::InvalidArgumentError(
                absl::StrCat("member \"max_tokens\" must be a whole number from 1 to ", max_tokens_limit));
        }
        request.max_tokens = {*max_tokens};
    }
    return request;
}

std::string token_event(const generation_request& request, const deliver_token& token)
{
    return absl::StrCat("data: ", dump(chunk_of(request, {{"content", token.text}}, nullptr)), "\n\n");
}

std::string end_event(const generation_request& request, const deliver_end& end)
{
    json last = chunk_of(request, json::object(), "stop");
    last["dandelionstep"] = end_of(end);
    return absl::StrCat("data: ", dump(last), "\n\ndata: [DONE]\n\n");
}

std::string whole_answer(const generation_request& request, const std::vector<std::string>& tokens,
                         const deliver_end& end)
{
    std::string text;
    for (const std::string& token : tokens) {
        text += token;
    }
    return dump({{"id", request.id.value},
                 {"object", "chat.completion"},
                 {"model", request.model.value},
                 {"choices", json::array({{{"index", 0},
                                           {"message", {{"role", "assistant"}, {"content", text}}},
                                           {"finish_reason", "stop"}}})},
                 {"usage", {{"completion_tokens", end.count.value}}},
                 {"dandelionstep", end_of(end)}});
}

} // namespace dandelionstep
