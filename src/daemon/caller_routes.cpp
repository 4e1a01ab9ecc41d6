#include "daemon/caller_routes.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/random.hpp"
#include "common/hash.hpp"
#include "daemon/answers.hpp"
#include "daemon/completion_format.hpp"

namespace dandelionstep {
namespace {

constexpr std::string_view services_prefix = "/v1/services/";
constexpr milliseconds refusal_retry_after{1000};
constexpr std::size_t max_order_key_bytes = 255;

void refuse(caller_reply& reply, error_code code, std::string message, milliseconds retry_after = {0})
{
    send_refusal(reply, execution_tracker{}.refuse(code, std::move(message), retry_after));
}

void answer_health(caller_reply& reply, bool healthy)
{
    constexpr int ok_status = 200;
    constexpr int unavailable_status = 503;
    reply.send(healthy ? ok_status : unavailable_status, healthy ? "ok\n" : "not ready\n", "text/plain");
}

std::string query_text(const http_headers& query)
{
    std::string text;
    for (const auto& [key, value] : query) {
        absl::StrAppend(&text, text.empty() ? "?" : "&", key, "=", value);
    }
    return text;
}

} // namespace

void caller_routes::handle(const received_request& request, const std::shared_ptr<caller_reply>& reply)
{
    if (request.path == "/healthz") {
        answer_health(*reply, true);
        return;
    }
    if (request.path == "/readyz") {
        answer_health(*reply, this->context.ready());
        return;
    }
    if (request.path == "/metrics") {
        reply->send(200, to_prometheus(this->context.counters), "text/plain; version=0.0.4");
        return;
    }
    if (this->context.stopping) {
        reply->add_header("Connection", "close");
        refuse(*reply, error_code::stopping, "this daemon is stopping", refusal_retry_after);
        return;
    }
    if (!this->context.ready()) {
        refuse(*reply, error_code::not_ready, "no configuration has been received yet", refusal_retry_after);
        return;
    }
    const organisation* sender = this->find_organisation(request);
    if (sender == nullptr) {
        refuse(*reply, error_code::unauthorised, "the bearer token names no organisation");
        return;
    }
    if (this->context.requests_in_flight >= this->context.configured.max_requests) {
        refuse(*reply, error_code::overloaded, "this daemon serves as many requests as it may",
               refusal_retry_after);
        return;
    }
    if (request.path == "/v1/chat/completions") {
        this->handle_completion(request, sender->id, reply);
    } else if (request.path.starts_with(services_prefix)) {
        this->handle_service(request, sender->id, reply);
    } else {
        refuse(*reply, error_code::unknown_route, absl::StrCat("no route for path \"", request.path, "\""));
    }
}

const organisation* caller_routes::find_organisation(const received_request& request) const
{
    const std::optional<std::string> hash = bearer_token_hash(request);
    if (!hash) {
        return nullptr;
    }
    const organisation* found = nullptr;
    // Every organisation is compared, so that time tells nothing about which one matched.
    for (const auto& [id, candidate] : this->context.configuration.declared.organisations) {
        if (equal_in_constant_time(candidate.token_sha256, *hash)) {
            found = &candidate;
        }
    }
    return found;
}

void caller_routes::handle_completion(const received_request& request, const organisation_id& organisation,
                                      const std::shared_ptr<caller_reply>& reply)
{
    if (request.method != "POST") {
        refuse(*reply, error_code::bad_request, "completions are asked for with POST");
        return;
    }
    auto parsed = parse_completion(request.body);
    if (!parsed.ok()) {
        refuse(*reply, error_code::bad_request, std::string(parsed.status().message()));
        return;
    }
    const auto& models = this->context.configuration.declared.models;
    const auto model = models.find(parsed->model);
    if (model == models.end()) {
        refuse(*reply, error_code::unknown_route,
               absl::StrCat("model \"", parsed->model.value, "\" is not declared"));
        return;
    }
    const auto priority = parse_priority(request.header("Priority"));
    if (!priority) {
        refuse(*reply, error_code::bad_request,
               "header \"Priority\" must be \"interactive\", \"normal\" or \"batch\"");
        return;
    }
    generation_request generation;
    generation.id = request_id(random_id());
    generation.organisation = organisation;
    generation.model = parsed->model;
    generation.prompt = parsed->prompt;
    generation.max_tokens = parsed->max_tokens;
    generation.deadline = event_loop::now() + model->second.answer_window;
    reply->add_header("X-Request-Id", generation.id.value);
    this->context.open.add(generation.id, reply);
    this->generations.submit(std::move(generation), parsed->streamed, *priority, reply);
}

void caller_routes::handle_service(const received_request& request, const organisation_id& organisation,
                                   const std::shared_ptr<caller_reply>& reply)
{
    const std::string rest = request.path.substr(services_prefix.size());
    const std::size_t slash = rest.find('/');
    const service_id name(rest.substr(0, slash));
    const auto& services = this->context.configuration.declared.services;
    const auto service = services.find(name);
    if (service == services.end()) {
        refuse(*reply, error_code::unknown_route,
               absl::StrCat("service \"", name.value, "\" is not declared"));
        return;
    }
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    service_call call;
    call.id = request_id(random_id());
    call.organisation = organisation;
    call.service = name;
    call.method = request.method;
    call.path = path + query_text(request.query);
    call.content_type = request.header("Content-Type");
    call.body = request.body;
    call.timeout = service->second.call_timeout;
    call.began = event_loop::now();
    reply->add_header("X-Request-Id", call.id.value);
    this->context.open.add(call.id, reply);
    if (request.method == "GET" || service->second.idempotent_paths.contains(path)) {
        this->lookups.start(std::move(call), reply);
        return;
    }
    if (request.method != "POST") {
        refuse(*reply, error_code::bad_request, "services take GET and POST");
        return;
    }
    call.key = order_key(request.header("Idempotency-Key"));
    if (call.key.value.empty() || call.key.value.size() > max_order_key_bytes) {
        refuse(*reply, error_code::key_required,
               absl::StrCat("an order needs the header Idempotency-Key with 1 to ", max_order_key_bytes,
                            " bytes"));
        return;
    }
    this->orders.start(std::move(call), reply);
}

} // namespace dandelionstep
