#include "adapters/http_server.hpp"

#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace dandelionstep {
namespace {

constexpr std::int64_t max_request_bytes = 64LL * 1024 * 1024;
constexpr std::int64_t max_header_bytes = 64LL * 1024;

http_headers copy_pairs(const evkeyvalq* pairs)
{
    http_headers copied;
    for (const evkeyval* pair = pairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
        copied.emplace_back(pair->key, pair->value);
    }
    return copied;
}

std::string method_name(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "GET";
    }
}

received_request receive(evhttp_request* raw)
{
    received_request request;
    request.method = method_name(evhttp_request_get_command(raw));
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
    request.path = evhttp_uri_get_path(uri) == nullptr ? "/" : evhttp_uri_get_path(uri);
    if (const char* query = evhttp_uri_get_query(uri); query != nullptr) {
        evkeyvalq pairs{};
        if (evhttp_parse_query_str(query, &pairs) == 0) {
            request.query = copy_pairs(&pairs);
        }
        evhttp_clear_headers(&pairs);
    }
    request.headers = copy_pairs(evhttp_request_get_input_headers(raw));
    evbuffer* input = evhttp_request_get_input_buffer(raw);
    request.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, request.body.data(), request.body.size());
    return request;
}

} // namespace

http_reply::http_reply(evhttp_request* request) : raw(request)
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), on_connection_closed, this);
}

http_reply::~http_reply()
{
    if (this->raw != nullptr) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(this->raw), nullptr, nullptr);
        evhttp_send_error(this->raw, HTTP_INTERNAL, nullptr);
    }
}

void http_reply::on_connection_closed(evhttp_connection* /*connection*/, void* argument)
{
    auto* self = static_cast<http_reply*>(argument);
    self->raw = nullptr;
    if (const std::function<void()> run = std::move(self->when_gone); run) {
        run();
    }
}

void http_reply::add_header(const std::string& name, const std::string& value)
{
    if (this->raw != nullptr) {
        evhttp_add_header(evhttp_request_get_output_headers(this->raw), name.c_str(), value.c_str());
    }
}

void http_reply::send(int status, const std::string& body, const std::string& content_type)
{
    if (this->raw == nullptr) {
        return;
    }
    this->add_header("Content-Type", content_type);
    evhttp_request* request = std::exchange(this->raw, nullptr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void http_reply::start_stream(int status, const std::string& content_type)
{
    if (this->raw != nullptr) {
        this->add_header("Content-Type", content_type);
        evhttp_send_reply_start(this->raw, status, nullptr);
    }
}

// The library frames answers to older callers so.
void http_reply::end_with_connection()
{
    if (this->raw != nullptr) {
        this->raw->minor = 0;
    }
}

void http_reply::write(std::string_view part)
{
    if (this->raw == nullptr) {
        return;
    }
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, part.data(), part.size());
    evhttp_send_reply_chunk(this->raw, buffer);
    evbuffer_free(buffer);
}

void http_reply::end_stream()
{
    if (this->raw != nullptr) {
        evhttp_request* request = std::exchange(this->raw, nullptr);
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        evhttp_send_reply_end(request);
    }
}

void http_reply::drop()
{
    if (this->raw != nullptr) {
        evhttp_request* request = std::exchange(this->raw, nullptr);
        evhttp_connection* connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        // evhttp frees the connection itself once it reads the end of the shut stream.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
}

struct http_server::state {
    evhttp* raw = nullptr;
    handler handle;

    static void on_request(evhttp_request* request, void* argument)
    {
        auto* server = static_cast<state*>(argument);
        server->handle(receive(request), std::make_shared<http_reply>(request));
    }
};

http_server::http_server(event_loop& loop, handler handle) : self(std::make_unique<state>())
{
    this->self->raw = evhttp_new(loop.base());
    this->self->handle = std::move(handle);
    evhttp_set_allowed_methods(this->self->raw,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_max_body_size(this->self->raw, max_request_bytes);
    evhttp_set_max_headers_size(this->self->raw, max_header_bytes);
    evhttp_set_gencb(this->self->raw, state::on_request, this->self.get());
}

http_server::~http_server()
{
    evhttp_free(this->self->raw);
}

absl::StatusOr<std::uint16_t> http_server::listen(const endpoint& at)
{
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(this->self->raw, at.address.c_str(), at.port);
    if (bound == nullptr) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", to_string(at), ": ", std::strerror(errno)));
    }
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace dandelionstep
