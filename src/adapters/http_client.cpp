#include "adapters/http_client.hpp"

#include "adapters/channel_pool.hpp"
#include "adapters/log.hpp"
#include "adapters/socket_state.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <list>
#include <unordered_map>

namespace dandelionstep {
namespace {

constexpr std::size_t max_idle_connections_per_endpoint = 64;
constexpr std::int64_t max_answer_bytes = 64LL * 1024 * 1024;
constexpr std::int64_t max_head_bytes = 64LL * 1024;
// libevent's own timeout is only a backstop: it must not fire before an exchange's own timer.
constexpr int connection_timeout_seconds = 600;
constexpr int first_final_status = 200;
constexpr int first_error_status = 300;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
// The system closes the sockets of a process that ends one after the other, the listening one among the last.
constexpr milliseconds end_check_delay{20};
// A process that listens accepts within some milliseconds.
constexpr milliseconds end_check_timeout{250};

evhttp_cmd_type method_of(std::string_view name)
{
    if (name == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (name == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (name == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

std::string take_text(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

// Whether the connection is open and no byte has come that belongs to no request, read or not.
bool is_clean(evhttp_connection* connection)
{
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
           is_open_and_silent(bufferevent_getfd(stream));
}

bool has_no_body(int status)
{
    return status == status_no_content || status == status_not_modified;
}

// Whether the end of the connection alone ended the response.
bool ended_with_connection(evhttp_request* raw)
{
    const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
    return !has_no_body(evhttp_request_get_response_code(raw)) &&
           evhttp_find_header(headers, "Content-Length") == nullptr &&
           evhttp_find_header(headers, "Transfer-Encoding") == nullptr;
}

} // namespace

std::string http_result::header(std::string_view name) const
{
    return find_header(this->headers, name);
}

// One kept connection; destroyed only from the loop's queue, as libevent still uses it after its callbacks.
struct http_connection {
    evhttp_connection* raw;
    std::shared_ptr<byte_budget> budget;
    http_client::exchange* running = nullptr;
    bool bytes_sent = false;
    //! Bytes that were read and that the library has yet to take, such as those of a chunk that is not whole.
    std::size_t waiting = 0;

    http_connection(evhttp_connection* raw_in, std::shared_ptr<byte_budget> budget_in)
        : raw(raw_in), budget(std::move(budget_in))
    {
        evbuffer_add_cb(bufferevent_get_output(this->stream()), on_output, this);
        evbuffer_add_cb(bufferevent_get_input(this->stream()), on_input, this);
    }
    ~http_connection()
    {
        evbuffer_remove_cb(bufferevent_get_output(this->stream()), on_output, this);
        evbuffer_remove_cb(bufferevent_get_input(this->stream()), on_input, this);
        evhttp_connection_free(this->raw);
        this->budget->held -= this->waiting;
    }
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    http_connection(http_connection&&) = delete;
    http_connection& operator=(http_connection&&) = delete;

    [[nodiscard]] bufferevent* stream() const { return evhttp_connection_get_bufferevent(this->raw); }

    // The kernel took bytes out of the buffer: from here on the target may have seen the request.
    static void on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument)
    {
        if (info->n_deleted > 0) {
            static_cast<http_connection*>(argument)->bytes_sent = true;
        }
    }

    static void on_input(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
};

class http_client::exchange {
public:
    pool* owner = nullptr;
    endpoint to;
    std::unique_ptr<http_connection> connection;
    evhttp_request* raw = nullptr;
    event_loop::timer deadline;
    //! Until it is asked whether the end of the connection was the target's own.
    event_loop::timer end_timer;
    part_callback part;
    done_callback done;
    http_result result;
    gathered_text body;
    bool cancelled = false;

    explicit exchange(const std::shared_ptr<byte_budget>& bodies) : body(bodies) {}
};

struct http_client::pool {
    event_loop& loop;
    std::shared_ptr<byte_budget> bodies;
    //! Makes the connections that tell whether a target still listens.
    channel_pool checks;
    std::map<endpoint, std::vector<std::unique_ptr<http_connection>>> idle;
    std::unordered_map<const exchange*, std::shared_ptr<exchange>> running;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    pool(event_loop& loop_in, std::shared_ptr<byte_budget> bodies_in)
        : loop(loop_in), bodies(std::move(bodies_in)), checks(loop_in)
    {}

    std::unique_ptr<http_connection> connect(const endpoint& to)
    {
        evhttp_connection* raw = evhttp_connection_base_bufferevent_new(this->loop.base(), nullptr, nullptr,
                                                                        to.address.c_str(), to.port);
        evhttp_connection_set_timeout(raw, connection_timeout_seconds);
        evhttp_connection_set_retries(raw, 0);
        evhttp_connection_set_max_body_size(raw, max_answer_bytes);
        evhttp_connection_set_max_headers_size(raw, max_head_bytes);
        return std::make_unique<http_connection>(raw, this->bodies);
    }

    std::unique_ptr<http_connection> take(const endpoint& to, bool new_connection)
    {
        std::unique_ptr<http_connection> connection = new_connection ? nullptr : this->take_kept(to);
        if (!connection) {
            connection = this->connect(to);
        }
        connection->bytes_sent = false;
        return connection;
    }

    // What came behind an answer would be read as the answer to the next request.
    std::unique_ptr<http_connection> take_kept(const endpoint& to)
    {
        std::vector<std::unique_ptr<http_connection>>& kept = this->idle[to];
        while (!kept.empty()) {
            std::unique_ptr<http_connection> connection = std::move(kept.back());
            kept.pop_back();
            if (is_clean(connection->raw)) {
                return connection;
            }
            this->discard(std::move(connection));
        }
        return nullptr;
    }

    void discard(std::unique_ptr<http_connection> connection)
    {
        if (connection) {
            connection->running = nullptr;
            std::shared_ptr<http_connection> doomed = std::move(connection);
            this->loop.post([doomed] {});
        }
    }

    void give_back(exchange& finished)
    {
        std::vector<std::unique_ptr<http_connection>>& kept = this->idle[finished.to];
        const bool reusable = finished.result.answered() && finished.result.header("Connection") != "close" &&
                              kept.size() < max_idle_connections_per_endpoint;
        if (reusable) {
            kept.push_back(std::move(finished.connection));
        } else {
            this->discard(std::move(finished.connection));
        }
    }

    // Reports from the loop's queue, so that no caller is re-entered and libevent is out of its callback.
    void finish(exchange& ended, http_failure failure)
    {
        const auto found = this->running.find(&ended);
        if (found == this->running.end()) {
            return;
        }
        std::shared_ptr<exchange> kept = std::move(found->second);
        this->running.erase(found);
        kept->raw = nullptr;
        kept->deadline = {};
        kept->end_timer = {};
        kept->result.failure = failure;
        kept->result.bytes_sent = kept->connection && kept->connection->bytes_sent;
        if (kept->connection) {
            kept->connection->running = nullptr;
        }
        this->loop.post([this, kept, watch = std::weak_ptr(this->alive)] {
            if (watch.expired()) {
                return;
            }
            this->give_back(*kept);
            const done_callback done = std::move(kept->done);
            if (done) {
                kept->result.body = kept->body.take();
                done(kept->result);
            }
        });
    }

    void abort(exchange& ended)
    {
        if (ended.raw != nullptr) {
            evhttp_cancel_request(std::exchange(ended.raw, nullptr));
        }
    }

    static void on_chunk(evhttp_request* raw, void* argument)
    {
        auto* self = static_cast<exchange*>(argument);
        if (self->cancelled) {
            return;
        }
        const std::string text = take_text(evhttp_request_get_input_buffer(raw));
        const int status = evhttp_request_get_response_code(raw);
        if (status < first_final_status) {
            return;
        }
        if (self->part && status < first_error_status) {
            self->part(text);
        } else if (!self->body.append(text)) {
            self->owner->give_up_overlong(*self);
        }
    }

    // From the loop's queue, as libevent is inside the request's callback.
    void give_up_overlong(exchange& overlong)
    {
        log_overlong(overlong);
        overlong.cancelled = true;
        this->loop.post([this, kept = this->running.at(&overlong), watch = std::weak_ptr(this->alive)] {
            if (!watch.expired()) {
                this->abort(*kept);
                this->finish(*kept, http_failure::broken);
            }
        });
    }

    static void log_overlong(const exchange& overlong)
    {
        log_event("response_overlong", {{"from", to_string(overlong.to)},
                                        {"bytes", static_cast<std::int64_t>(overlong.body.size())}});
    }

    static void on_error(evhttp_request_error error, void* argument)
    {
        if (error == EVREQ_HTTP_DATA_TOO_LONG) {
            log_overlong(*static_cast<const exchange*>(argument));
        } else if (error == EVREQ_HTTP_INVALID_HEADER) {
            log_event("response_head_unusable",
                      {{"from", to_string(static_cast<const exchange*>(argument)->to)}});
        }
    }

    static void on_complete(evhttp_request* raw, void* argument)
    {
        auto* self = static_cast<exchange*>(argument);
        if (self->cancelled) {
            // libevent frees the request after this callback.
            self->raw = nullptr;
            return;
        }
        if (raw == nullptr || evhttp_request_get_response_code(raw) == 0) {
            const bool sent = self->connection->bytes_sent;
            self->owner->finish(*self, sent ? http_failure::broken : http_failure::not_connected);
            return;
        }
        // The library passes over 100 alone, so that the final answer behind another one
        // would be the next request's.
        if (evhttp_request_get_response_code(raw) < first_final_status) {
            log_event("response_not_final",
                      {{"from", to_string(self->to)}, {"status", evhttp_request_get_response_code(raw)}});
            self->owner->finish(*self, http_failure::broken);
            return;
        }
        self->result.status = evhttp_request_get_response_code(raw);
        const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
        for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
            self->result.headers.emplace_back(header->key, header->value);
        }
        const bool is_whole = self->body.append(take_text(evhttp_request_get_input_buffer(raw)));
        if (!is_whole) {
            log_overlong(*self);
        }
        if (is_whole && ended_with_connection(raw)) {
            self->raw = nullptr;
            self->owner->confirm_end(*self);
            return;
        }
        self->owner->finish(*self, is_whole ? http_failure::none : http_failure::broken);
    }

    // The system closes the connections of a process that ends in order as well, so the response is whole
    // only if its target still listens.
    void confirm_end(exchange& ended)
    {
        const auto found = this->running.find(&ended);
        if (found == this->running.end()) {
            return;
        }
        const auto confirm = [this, watched = std::weak_ptr(found->second),
                              watch = std::weak_ptr(this->alive)](connect_result result) {
            const std::shared_ptr<exchange> kept = watched.lock();
            if (kept && !watch.expired()) {
                this->checks.forget(kept->to);
                const bool is_own_end = result == connect_result::reached;
                this->finish(*kept, is_own_end ? http_failure::none : http_failure::broken);
            }
        };
        ended.end_timer = this->loop.run_after(end_check_delay, [this, confirm, to = ended.to] {
            this->checks.check(to, end_check_timeout, confirm);
        });
    }

    std::shared_ptr<exchange> start(const endpoint& to, http_request& request, part_callback part,
                                    done_callback done)
    {
        auto self = std::make_shared<exchange>(this->bodies);
        self->owner = this;
        self->to = to;
        self->part = std::move(part);
        self->done = std::move(done);
        self->connection = this->take(to, request.new_connection);
        self->connection->running = self.get();
        self->raw = evhttp_request_new(on_complete, self.get());
        evhttp_request_set_error_cb(self->raw, on_error);
        evhttp_request_set_chunked_cb(self->raw, on_chunk);
        evkeyvalq* headers = evhttp_request_get_output_headers(self->raw);
        evhttp_add_header(headers, "Host", to.address.c_str());
        for (const auto& [key, value] : request.headers) {
            evhttp_add_header(headers, key.c_str(), value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(self->raw), request.body.data(), request.body.size());
        this->running.emplace(self.get(), self);
        exchange* watched = self.get();
        self->deadline = this->loop.run_after(request.timeout, [this, watched] {
            const auto found = this->running.find(watched);
            if (found != this->running.end()) {
                const std::shared_ptr<exchange> kept = found->second;
                this->abort(*kept);
                this->finish(*kept, http_failure::timed_out);
            }
        });
        if (evhttp_make_request(self->connection->raw, self->raw, method_of(request.method),
                                request.path.c_str()) != 0) {
            // libevent has already freed the request.
            self->raw = nullptr;
            this->finish(*self, http_failure::not_connected);
        }
        return self;
    }
};

// The library hands over whole chunks alone, and one may be as long as an answer.
void http_connection::on_input(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument)
{
    auto* self = static_cast<http_connection*>(argument);
    const std::size_t before = std::exchange(self->waiting, self->waiting + info->n_added - info->n_deleted);
    self->budget->held = self->budget->held - before + self->waiting;
    http_client::exchange* running = self->running;
    if (info->n_added > 0 && running != nullptr && !running->cancelled &&
        !may_grow(*self->budget, running->body.size() + self->waiting, 0)) {
        running->owner->give_up_overlong(*running);
    }
}

http_client::http_client(event_loop& loop, std::shared_ptr<byte_budget> bodies)
    : connections(std::make_unique<pool>(loop, std::move(bodies)))
{}

http_client::~http_client()
{
    this->connections->alive.reset();
    for (auto& [key, running] : this->connections->running) {
        this->connections->abort(*running);
    }
}

http_client::handle http_client::send(const endpoint& to, http_request request, done_callback done)
{
    return this->connections->start(to, request, nullptr, std::move(done));
}

http_client::handle http_client::stream(const endpoint& to, http_request request, part_callback part,
                                        done_callback done)
{
    return this->connections->start(to, request, std::move(part), std::move(done));
}

void http_client::cancel(const handle& running)
{
    const std::shared_ptr<exchange> self = running.lock();
    if (!self || this->connections->running.erase(self.get()) == 0) {
        return;
    }
    self->cancelled = true;
    self->deadline = {};
    self->end_timer = {};
    // The caller may be inside this exchange's callback, so both end from the queue.
    this->connections->loop.post(
        [self, pool = this->connections.get(), watch = std::weak_ptr(this->connections->alive)] {
            if (!watch.expired()) {
                pool->abort(*self);
                pool->discard(std::move(self->connection));
            }
        });
}

} // namespace dandelionstep
