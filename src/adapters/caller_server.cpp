#include "adapters/caller_server.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/certificate.hpp"
#include "adapters/socket_state.hpp"

#include <algorithm>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <iterator>
#include <unordered_map>

#include <evhtp/evhtp.h>

namespace dandelionstep {
namespace {

// The library takes hooks of all kinds as one type and casts them back.
template <class Function>
evhtp_hook as_hook(Function* hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

constexpr int listen_backlog = 1024;
// Bodies between the limit and this multiple of it still get a clear answer; longer ones are cut off.
constexpr std::size_t hard_limit_factor = 8;

timeval to_timeval(milliseconds time)
{
    constexpr std::int64_t ms_per_second = 1000;
    return {.tv_sec = time.count / ms_per_second, .tv_usec = (time.count % ms_per_second) * 1000};
}

std::string method_name(htp_method method)
{
    switch (method) {
    case htp_method_GET:
        return "GET";
    case htp_method_HEAD:
        return "HEAD";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

http_headers copy_pairs(const evhtp_kvs* pairs)
{
    http_headers copied;
    if (pairs == nullptr) {
        return copied;
    }
    for (const evhtp_kv* pair = pairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
        copied.emplace_back(std::string(pair->key, pair->klen), std::string(pair->val, pair->vlen));
    }
    return copied;
}

received_request receive(evhtp_request* raw)
{
    received_request request;
    request.method = method_name(evhtp_request_get_method(raw));
    if (raw->uri != nullptr && raw->uri->path != nullptr && raw->uri->path->full != nullptr) {
        request.path = raw->uri->path->full;
    }
    if (raw->uri != nullptr) {
        request.query = copy_pairs(raw->uri->query);
    }
    request.headers = copy_pairs(raw->headers_in);
    request.body.resize(evbuffer_get_length(raw->buffer_in));
    evbuffer_remove(raw->buffer_in, request.body.data(), request.body.size());
    return request;
}

evbuffer* make_buffer(std::string_view text)
{
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    return buffer;
}

std::size_t unsent_bytes(bufferevent* connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection)) +
           unacknowledged_bytes(bufferevent_getfd(connection));
}

// Not while an answer is on its way, nor between two requests on a kept connection.
bool waits_for_request(const evhtp_connection_t& connection)
{
    if (connection.request == nullptr) {
        return (connection.flags & EVHTP_CONN_FLAG_KEEPALIVE) == 0;
    }
    return (connection.request->flags & EVHTP_REQ_FLAG_FINISHED) == 0;
}

// Whether a caller that sends nothing more has an answer to take. TLS ends both directions at once.
bool has_ready_answer(const evhtp_connection_t& connection)
{
    return connection.request != nullptr && connection.ssl == nullptr &&
           (connection.request->flags & EVHTP_REQ_FLAG_FINISHED) != 0 &&
           evbuffer_get_length(bufferevent_get_output(connection.bev)) > 0;
}

// Whether a part of a request has come; its end hook is set when it is whole.
bool is_arriving(const evhtp_connection_t& connection)
{
    const evhtp_request_t* request = connection.request;
    return request != nullptr && (request->hooks == nullptr || request->hooks->on_request_fini == nullptr);
}

std::string refusal_text(int status, const http_headers& headers, std::string_view body)
{
    std::string text =
        absl::StrCat("HTTP/1.1 ", status, " Refused\r\nConnection: close\r\n",
                     "Content-Type: application/json\r\nContent-Length: ", body.size(), "\r\n");
    for (const auto& [name, value] : headers) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    text += "\r\n";
    text += body;
    return text;
}

// Bytes that stay unread would reset the connection at its end, and the reset may overtake the refusal.
void discard_input(bufferevent* connection, void* /*argument*/)
{
    evbuffer* input = bufferevent_get_input(connection);
    evbuffer_drain(input, evbuffer_get_length(input));
}

} // namespace

void caller_reply::add_header(const std::string& name, const std::string& value)
{
    if (this->raw != nullptr) {
        evhtp_headers_add_header(this->raw->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
}

void caller_reply::send(int status, std::string_view body, const std::string& content_type)
{
    if (this->raw == nullptr) {
        return;
    }
    this->add_header("Content-Type", content_type);
    this->restore_idle_timeout();
    evhtp_request* request = std::exchange(this->raw, nullptr);
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

void caller_reply::start_stream(int status, const std::string& content_type)
{
    if (this->raw != nullptr) {
        this->add_header("Content-Type", content_type);
        this->streaming = true;
        evhtp_send_reply_chunk_start(this->raw, static_cast<evhtp_res>(status));
    }
}

void caller_reply::write(std::string_view part)
{
    if (this->raw != nullptr) {
        evbuffer* buffer = make_buffer(part);
        evhtp_send_reply_chunk(this->raw, buffer);
        evbuffer_free(buffer);
    }
}

void caller_reply::end_stream()
{
    if (this->raw != nullptr) {
        this->restore_idle_timeout();
        evhtp_send_reply_chunk_end(std::exchange(this->raw, nullptr));
    }
}

void caller_reply::abort()
{
    if (this->raw != nullptr) {
        evhtp_request* request = std::exchange(this->raw, nullptr);
        evhtp_connection_free(request->conn);
    }
}

// The library keeps the timeouts with the port; those of its connections are zero, which stands for none.
void caller_reply::restore_idle_timeout()
{
    const evhtp* port = this->raw->conn->htp;
    bufferevent_set_timeouts(this->raw->conn->bev, &port->recv_timeo, &port->send_timeo);
}

struct caller_server::state {
    evhtp* raw = nullptr;
    caller_limits limits;
    handler handle;
    //! With the bytes that their callers had yet to take when a send timeout last came.
    std::unordered_map<evhtp_connection_t*, std::size_t> connections;
    //! What the HTTP library does when a connection ends or times out.
    bufferevent_event_cb library_event = nullptr;

    // Ties one request to its reply until the last byte of the answer has left.
    struct held_reply {
        std::shared_ptr<caller_reply> reply;
    };

    static evhtp_res on_connect(evhtp_connection_t* connection, void* argument)
    {
        auto* server = static_cast<state*>(argument);
        if (std::ssize(server->connections) >= server->limits.max_connections) {
            return EVHTP_RES_ERROR;
        }
        server->connections.emplace(connection, 0);
        server->watch_timeouts(connection->bev);
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, as_hook(on_connection_end),
                                  server);
        return EVHTP_RES_OK;
    }

    void watch_timeouts(bufferevent* connection)
    {
        bufferevent_data_cb on_read = nullptr;
        bufferevent_data_cb on_write = nullptr;
        void* argument = nullptr;
        bufferevent_getcb(connection, &on_read, &on_write, &this->library_event, &argument);
        bufferevent_setcb(connection, on_read, on_write, on_event, argument);
    }

    static void on_event(bufferevent* connection, short what, void* argument)
    {
        auto* library = static_cast<evhtp_connection_t*>(argument);
        auto* server = static_cast<state*>(library->htp->defaults.post_accept_cbarg);
        if (what == (BEV_EVENT_TIMEOUT | BEV_EVENT_READING) && may_read_on(*library)) {
            bufferevent_enable(connection, EV_READ);
            return;
        }
        if (what == (BEV_EVENT_TIMEOUT | BEV_EVENT_WRITING) && server->may_write_on(*library)) {
            bufferevent_enable(connection, EV_WRITE);
            return;
        }
        if (what == (BEV_EVENT_EOF | BEV_EVENT_READING) && has_ready_answer(*library)) {
            // The library ends the connection behind the last byte of an answer that keeps it no longer.
            evhtp_request_disable_flag(library->request, EVHTP_REQ_FLAG_KEEPALIVE);
            return;
        }
        server->library_event(connection, what, argument);
    }

    // After a standstill a timeout may come before the bytes that wait in the system.
    static bool may_read_on(const evhtp_connection_t& connection)
    {
        return !waits_for_request(connection) || has_unread_bytes(bufferevent_getfd(connection.bev));
    }

    // The system asks for more only once a third of its buffer is free; until then the caller may be reading.
    bool may_write_on(evhtp_connection_t& connection)
    {
        const std::size_t unsent = unsent_bytes(connection.bev);
        return unsent != std::exchange(this->connections.at(&connection), unsent);
    }

    static evhtp_res on_connection_end(evhtp_connection_t* connection, void* argument)
    {
        static_cast<state*>(argument)->connections.erase(connection);
        return EVHTP_RES_OK;
    }

    static evhtp_res on_request_end(evhtp_request_t* /*request*/, void* argument)
    {
        const std::unique_ptr<held_reply> held(static_cast<held_reply*>(argument));
        caller_reply& reply = *held->reply;
        const bool unanswered = std::exchange(reply.raw, nullptr) != nullptr;
        if (const std::function<void()> run = std::move(reply.when_gone); unanswered && run) {
            run();
        }
        return EVHTP_RES_OK;
    }

    static void on_request(evhtp_request_t* raw, void* argument)
    {
        auto* server = static_cast<state*>(argument);
        const auto reply = std::make_shared<caller_reply>(raw);
        // The request's end hook owns this reference and releases it.
        auto held = std::unique_ptr<held_reply>(new held_reply{reply});
        evhtp_request_set_hook(raw, evhtp_hook_on_request_fini, as_hook(on_request_end), held.release());
        // A caller that waits for its answer sends nothing, which must not count against it.
        bufferevent_set_timeouts(raw->conn->bev, nullptr, &raw->conn->htp->send_timeo);
        const received_request request = receive(raw);
        if (request.body.size() > server->limits.max_body_bytes) {
            reply->add_header("Outcome", "not_run");
            reply->send(EVHTP_RES_ENTOOLARGE,
                        absl::StrCat(R"({"error":{"code":"body_too_large","message":"the body exceeds )",
                                     server->limits.max_body_bytes, R"( bytes"}})"));
            return;
        }
        server->handle(request, reply);
    }
};

caller_server::caller_server(event_loop& loop, caller_limits limits, handler handle)
    : self(std::make_unique<state>())
{
    this->self->raw = evhtp_new(loop.base(), nullptr);
    this->self->limits = limits;
    this->self->handle = std::move(handle);
    const timeval receive_timeout = to_timeval(limits.receive_timeout);
    const timeval send_timeout = to_timeval(limits.send_timeout);
    evhtp_set_timeouts(this->self->raw, &receive_timeout, &send_timeout);
    evhtp_set_max_body_size(this->self->raw, limits.max_body_bytes * hard_limit_factor);
    evhtp_set_post_accept_cb(this->self->raw, state::on_connect, this->self.get());
    evhtp_set_gencb(this->self->raw, state::on_request, this->self.get());
    evhtp_enable_flag(this->self->raw, EVHTP_FLAG_ENABLE_NODELAY);
}

caller_server::~caller_server()
{
    evhtp_unbind_socket(this->self->raw);
    evhtp_free(this->self->raw);
}

absl::Status caller_server::use_tls(const tls_files& files)
{
    if (absl::Status status = check_certificate(files); !status.ok()) {
        return status;
    }
    if (this->self->raw->ssl_ctx != nullptr) {
        // Connections keep the key that they began with; new ones get the new key.
        return load_certificate(this->self->raw->ssl_ctx, files);
    }
    evhtp_ssl_cfg_t configuration{};
    std::string certificate = files.certificate;
    std::string key = files.key;
    configuration.pemfile = certificate.data();
    configuration.privfile = key.data();
    configuration.ssl_opts = SSL_OP_NO_SSLv2 | SSL_OP_NO_SSLv3 | SSL_OP_NO_TLSv1 | SSL_OP_NO_TLSv1_1;
    configuration.scache_type = evhtp_ssl_scache_type_disabled;
    if (evhtp_ssl_init(this->self->raw, &configuration) != 0) {
        return absl::InvalidArgumentError(
            absl::StrCat("certificate \"", files.certificate, "\" cannot be used"));
    }
    return absl::OkStatus();
}

absl::Status caller_server::listen(const endpoint& at)
{
    if (evhtp_bind_socket(this->self->raw, at.address.c_str(), at.port, listen_backlog) != 0) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", to_string(at), ": ", std::strerror(errno)));
    }
    return absl::OkStatus();
}

int caller_server::unfinished() const
{
    const auto& open = this->self->connections;
    return static_cast<int>(
        std::ranges::count_if(open, [](const auto& one) { return one.first->request != nullptr; }));
}

int caller_server::refuse_arriving(int status, const http_headers& headers, std::string_view body)
{
    const std::string text = refusal_text(status, headers, body);
    int refused = 0;
    for (const auto& [connection, unsent] : this->self->connections) {
        if (is_arriving(*connection)) {
            bufferevent_setcb(connection->bev, discard_input, nullptr, nullptr, nullptr);
            bufferevent_write(connection->bev, text.data(), text.size());
            ++refused;
        }
    }
    return refused;
}

int caller_server::connections() const
{
    return static_cast<int>(this->self->connections.size());
}

} // namespace dandelionstep
