#include "adapters/channel_pool.hpp"

#include "absl/strings/numbers.h"
#include "adapters/socket_options.hpp"
#include "adapters/socket_state.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <map>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelionstep {
namespace {

constexpr std::size_t max_idle_per_target = 64;
// How long a connection is kept when the target doesn't say.
constexpr milliseconds default_idle_timeout{5'000};
// A connection is given up so long before the target would close it.
constexpr milliseconds idle_margin{400};
constexpr milliseconds sweep_interval{500};

// The time for which the target says that it keeps an idle connection.
milliseconds idle_timeout_of(const http_head& head)
{
    constexpr std::string_view key = "timeout=";
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t most_seconds = 86'400;
    const std::string value = head.header("Keep-Alive");
    const std::size_t at = value.find(key);
    if (at == std::string::npos) {
        return default_idle_timeout;
    }
    const std::size_t begin = at + key.size();
    const std::size_t end = value.find_first_not_of("0123456789", begin);
    std::int64_t seconds = 0;
    if (!absl::SimpleAtoi(value.substr(begin, end == std::string::npos ? end : end - begin), &seconds) ||
        seconds > most_seconds) {
        return default_idle_timeout;
    }
    return milliseconds{seconds * ms_per_second};
}

} // namespace

// One connection to a target and the request that is on it, if any.
class channel_pool::exchange {
public:
    state* owner = nullptr;
    endpoint to;
    bufferevent* raw = nullptr;
    http_reader reader;
    exchange_callbacks callbacks;
    //! The request, until the connection is made.
    std::string waiting;
    //! Set while the connection is made for its own sake.
    std::function<void(connect_result)> checked;
    http_head head;
    event_loop::timer connect_timer;
    time_point idle_since;
    milliseconds idle_timeout = default_idle_timeout;
    bool connected = false;
    bool was_used = false;
    connection_use use = connection_use::unused;
    connection_use next_use = connection_use::unused;
    bool bytes_sent = false;
    bool active = false;
    bool skipping = false;
    bool is_overlong = false;
    std::size_t response_bytes = 0;
    //! Bytes of the response's head that are held of the budget.
    std::size_t head_bytes = 0;

    exchange()
        : reader(http_reader::kind::responses, {[this](http_head& read) { this->take_head(read); },
                                                [this](std::string_view part) { this->take_body(part); }})
    {}

    ~exchange()
    {
        if (this->raw != nullptr) {
            bufferevent_free(this->raw);
        }
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    void take_head(http_head& read)
    {
        this->head = std::move(read);
        this->skipping =
            this->active && this->callbacks.is_own && !this->callbacks.is_own(this->head, this->use);
        if (this->active && !this->skipping && this->callbacks.on_head) {
            this->callbacks.on_head(this->head);
        }
    }

    void take_body(std::string_view part)
    {
        if (this->active && !this->skipping && !this->is_overlong && this->callbacks.on_body) {
            this->is_overlong = !this->callbacks.on_body(part);
        }
    }
};

struct channel_pool::state {
    event_loop& loop;
    std::shared_ptr<byte_budget> answers;
    std::unordered_map<exchange*, std::shared_ptr<exchange>> running;
    std::map<endpoint, std::vector<std::shared_ptr<exchange>>> idle;
    channel_counts counts;
    overlong_callback on_overlong;
    event_loop::timer sweep;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(event_loop& loop_in, std::shared_ptr<byte_budget> answers_in)
        : loop(loop_in), answers(std::move(answers_in))
    {}

    static void on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument)
    {
        if (info->n_deleted > 0) {
            static_cast<exchange*>(argument)->bytes_sent = true;
        }
    }

    static void on_read(bufferevent* /*raw*/, void* argument)
    {
        auto* self = static_cast<exchange*>(argument);
        self->owner->read(*self);
    }

    static void on_event(bufferevent* /*raw*/, short what, void* argument)
    {
        auto* self = static_cast<exchange*>(argument);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            self->connected = true;
            self->connect_timer = {};
            set_socket_options(bufferevent_getfd(self->raw));
            if (self->checked) {
                self->owner->end_check(*self, connect_result::reached);
            } else if (self->active) {
                self->owner->send_waiting(*self);
            }
            return;
        }
        if (self->checked) {
            self->owner->end_check(*self, connect_result::refused);
            return;
        }
        self->owner->closed(*self, (what & BEV_EVENT_EOF) != 0);
    }

    std::shared_ptr<exchange> connect(const endpoint& to)
    {
        auto made = std::make_shared<exchange>();
        made->owner = this;
        made->to = to;
        made->raw = bufferevent_socket_new(this->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(made->raw, on_read, nullptr, on_event, made.get());
        evbuffer_add_cb(bufferevent_get_output(made->raw), on_output, made.get());
        ++this->counts.opened;
        return made;
    }

    bool start_connecting(exchange& made)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(made.to.port);
        inet_pton(AF_INET, made.to.address.c_str(), &address.sin_addr);
        bufferevent_enable(made.raw, EV_READ | EV_WRITE);
        return bufferevent_socket_connect(made.raw, reinterpret_cast<const sockaddr*>(&address),
                                          sizeof(address)) == 0;
    }

    // The latest used one; those that have been idle for too long are dropped on the way.
    std::shared_ptr<exchange> take_idle(const endpoint& to, const send_options& options)
    {
        const auto found = this->idle.find(to);
        if (found == this->idle.end()) {
            return nullptr;
        }
        const time_point now = event_loop::now();
        std::vector<std::shared_ptr<exchange>>& kept = found->second;
        for (auto at = kept.end(); at != kept.begin();) {
            --at;
            if (options.carried_nothing_since && carried_since(**at, *options.carried_nothing_since)) {
                continue;
            }
            std::shared_ptr<exchange> taken = std::move(*at);
            at = kept.erase(at);
            const milliseconds quiet = now - taken->idle_since;
            // After a standstill the loop has not read yet what came meanwhile, the end among it.
            if (quiet < taken->idle_timeout - idle_margin && quiet <= options.most_idle &&
                is_open_and_silent(bufferevent_getfd(taken->raw))) {
                return taken;
            }
            this->discard(std::move(taken));
        }
        return nullptr;
    }

    static bool carried_since(const exchange& kept, time_point from)
    {
        return kept.next_use == connection_use::used && kept.idle_since >= from;
    }

    // False when all answers together leave no room for the head.
    bool hold_head(exchange& self) const
    {
        if (!this->answers) {
            return true;
        }
        const std::size_t size = self.reader.head_bytes();
        this->release_head(self);
        if (!may_grow(*this->answers, 0, size)) {
            return false;
        }
        this->answers->held += size;
        self.head_bytes = size;
        return true;
    }

    void release_head(exchange& self) const
    {
        if (this->answers) {
            this->answers->held -= std::exchange(self.head_bytes, 0);
        }
    }

    // Past the buffer, which is written only in the loop's next turn. What the system doesn't take now
    // follows through it, as do errors.
    static void write_request(exchange& self, std::string_view bytes)
    {
        const ssize_t sent =
            ::send(bufferevent_getfd(self.raw), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            self.bytes_sent = true;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        if (!bytes.empty()) {
            bufferevent_write(self.raw, bytes.data(), bytes.size());
        }
    }

    void send_waiting(exchange& self)
    {
        const std::string bytes = std::exchange(self.waiting, {});
        if (!self.callbacks.may_send || self.callbacks.may_send()) {
            write_request(self, bytes);
            return;
        }
        const std::shared_ptr<exchange> kept = this->remove(self);
        if (!kept) {
            return;
        }
        kept->next_use = kept->use;
        if (!this->keep_idle(kept, default_idle_timeout)) {
            this->discard(kept);
        }
        this->finish(kept, exchange_end::withdrawn);
    }

    // The system would deliver them after the end of the connection.
    static void drop_unsent(const exchange& self)
    {
        const evutil_socket_t socket = bufferevent_getfd(self.raw);
        if (evbuffer_get_length(bufferevent_get_output(self.raw)) > 0 || unacknowledged_bytes(socket) > 0) {
            reset_when_closed(socket);
        }
    }

    // libevent may still be inside the connection's callbacks.
    void discard(std::shared_ptr<exchange> doomed)
    {
        this->release_head(*doomed);
        doomed->active = false;
        bufferevent_disable(doomed->raw, EV_READ | EV_WRITE);
        bufferevent_setcb(doomed->raw, nullptr, nullptr, nullptr, nullptr);
        this->loop.post([doomed = std::move(doomed)] {});
    }

    std::shared_ptr<exchange> remove(exchange& ended)
    {
        const auto found = this->running.find(&ended);
        if (found == this->running.end()) {
            return nullptr;
        }
        std::shared_ptr<exchange> kept = std::move(found->second);
        this->running.erase(found);
        return kept;
    }

    void finish(const std::shared_ptr<exchange>& ended, exchange_end how)
    {
        ended->active = false;
        ended->connect_timer = {};
        this->release_head(*ended);
        const auto on_end = std::move(ended->callbacks.on_end);
        ended->callbacks = {};
        if (on_end) {
            on_end(how, ended->was_used && !ended->is_overlong);
        }
    }

    void read(exchange& self)
    {
        evbuffer* input = bufferevent_get_input(self.raw);
        if (!self.active) {
            // Nothing was asked for, so these bytes belong to no request.
            this->drop_idle(self);
            return;
        }
        while (evbuffer_get_length(input) > 0) {
            const std::size_t size = evbuffer_get_length(input);
            const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            const http_reader::result result = self.reader.feed(std::string_view(bytes, size));
            if (!self.active) {
                // A callback cancelled the exchange.
                return;
            }
            evbuffer_drain(input, result.taken);
            self.response_bytes += result.taken;
            self.is_overlong =
                self.is_overlong || result.state == http_reader::progress::overlong || !this->hold_head(self);
            if (self.is_overlong) {
                this->note_overlong(self);
                this->fail(self);
                return;
            }
            if (result.state == http_reader::progress::malformed) {
                this->fail(self);
                return;
            }
            if (result.state == http_reader::progress::complete && !self.skipping) {
                this->complete(self);
                return;
            }
            if (result.state == http_reader::progress::complete) {
                ++this->counts.skipped_responses;
            }
        }
    }

    void note_overlong(const exchange& self)
    {
        ++this->counts.overlong_responses;
        if (this->on_overlong) {
            this->on_overlong(self.to, self.response_bytes);
        }
    }

    // False when the connection's target has enough idle ones.
    bool keep_idle(const std::shared_ptr<exchange>& kept, milliseconds idle_timeout)
    {
        std::vector<std::shared_ptr<exchange>>& others = this->idle[kept->to];
        if (others.size() >= max_idle_per_target) {
            return false;
        }
        kept->idle_since = event_loop::now();
        kept->idle_timeout = idle_timeout;
        others.push_back(kept);
        return true;
    }

    void end_check(exchange& self, connect_result result)
    {
        const std::shared_ptr<exchange> kept = this->remove(self);
        if (!kept) {
            return;
        }
        kept->active = false;
        kept->connect_timer = {};
        const auto checked = std::move(kept->checked);
        kept->checked = nullptr;
        if (result != connect_result::reached || !this->keep_idle(kept, default_idle_timeout)) {
            this->discard(kept);
        }
        checked(result);
    }

    void complete(exchange& self)
    {
        const std::shared_ptr<exchange> kept = this->remove(self);
        const bool drained = evbuffer_get_length(bufferevent_get_output(self.raw)) == 0;
        const bool extra = evbuffer_get_length(bufferevent_get_input(self.raw)) > 0;
        if (self.head.keep_alive && drained && !extra && this->keep_idle(kept, idle_timeout_of(self.head))) {
            this->finish(kept, exchange_end::complete);
        } else {
            this->finish(kept, exchange_end::complete);
            this->discard(kept);
        }
    }

    void fail(exchange& self)
    {
        const std::shared_ptr<exchange> kept = this->remove(self);
        if (kept) {
            const exchange_end how = self.bytes_sent ? exchange_end::broken : exchange_end::not_sent;
            this->discard(kept);
            this->finish(kept, how);
        }
    }

    void drop_idle(exchange& self)
    {
        const auto found = this->idle.find(self.to);
        if (found == this->idle.end()) {
            return;
        }
        for (auto at = found->second.begin(); at != found->second.end(); ++at) {
            if (at->get() == &self) {
                std::shared_ptr<exchange> kept = std::move(*at);
                found->second.erase(at);
                this->discard(std::move(kept));
                return;
            }
        }
    }

    void closed(exchange& self, bool in_order)
    {
        if (!self.active) {
            this->drop_idle(self);
            return;
        }
        // Only a response without a length is ended by the end of its connection.
        if (in_order && self.reader.end_of_input() && !self.skipping && self.active) {
            const std::shared_ptr<exchange> kept = this->remove(self);
            if (kept) {
                this->discard(kept);
                this->finish(kept, exchange_end::complete);
            }
            return;
        }
        this->fail(self);
    }

    void close_expired()
    {
        const time_point now = event_loop::now();
        for (auto entry = this->idle.begin(); entry != this->idle.end();) {
            auto& list = entry->second;
            for (auto at = list.begin(); at != list.end();) {
                if (now - (*at)->idle_since >= (*at)->idle_timeout - idle_margin) {
                    std::shared_ptr<exchange> expired = std::move(*at);
                    at = list.erase(at);
                    this->discard(std::move(expired));
                } else {
                    ++at;
                }
            }
            entry = list.empty() ? this->idle.erase(entry) : std::next(entry);
        }
    }
};

channel_pool::channel_pool(event_loop& loop, std::shared_ptr<byte_budget> answers)
    : self(std::make_unique<state>(loop, std::move(answers)))
{
    this->self->sweep = loop.run_every(sweep_interval, [this] { this->self->close_expired(); });
}

channel_pool::~channel_pool()
{
    this->self->alive.reset();
}

std::weak_ptr<channel_pool::exchange> channel_pool::send(const endpoint& to, std::string bytes,
                                                         const send_options& options,
                                                         exchange_callbacks callbacks)
{
    std::shared_ptr<exchange> used = this->self->take_idle(to, options);
    const bool is_new = used == nullptr;
    if (is_new) {
        used = this->self->connect(to);
    } else {
        ++this->self->counts.reused;
        used->was_used = true;
    }
    used->callbacks = std::move(callbacks);
    used->use = std::exchange(used->next_use, connection_use::used);
    used->active = true;
    used->bytes_sent = false;
    used->skipping = false;
    used->is_overlong = false;
    used->response_bytes = 0;
    this->self->running.emplace(used.get(), used);
    const auto fail_later = [owner = this->self.get(), watched = std::weak_ptr(used),
                             alive = std::weak_ptr(this->self->alive)] {
        const std::shared_ptr<exchange> kept = watched.lock();
        if (kept && !alive.expired() && kept->active) {
            owner->fail(*kept);
        }
    };
    if (!is_new) {
        state::write_request(*used, bytes);
        return used;
    }
    used->waiting = std::move(bytes);
    if (!this->self->start_connecting(*used)) {
        this->self->loop.post(fail_later);
    } else {
        used->connect_timer = this->self->loop.run_after(options.connect_timeout, fail_later);
    }
    return used;
}

void channel_pool::check(const endpoint& to, milliseconds timeout, std::function<void(connect_result)> done)
{
    const std::shared_ptr<exchange> made = this->self->connect(to);
    made->checked = std::move(done);
    made->active = true;
    this->self->running.emplace(made.get(), made);
    const auto end_later = [owner = this->self.get(), watched = std::weak_ptr(made),
                            alive = std::weak_ptr(this->self->alive)](connect_result result) {
        const std::shared_ptr<exchange> kept = watched.lock();
        if (kept && !alive.expired() && kept->checked) {
            owner->end_check(*kept, result);
        }
    };
    if (this->self->start_connecting(*made)) {
        made->connect_timer =
            this->self->loop.run_after(timeout, [end_later] { end_later(connect_result::silent); });
    } else {
        this->self->loop.post([end_later] { end_later(connect_result::refused); });
    }
}

bool channel_pool::was_sent(const std::weak_ptr<exchange>& running)
{
    const std::shared_ptr<exchange> kept = running.lock();
    return kept && kept->active && kept->bytes_sent;
}

void channel_pool::cancel(const std::weak_ptr<exchange>& running)
{
    const std::shared_ptr<exchange> kept = running.lock();
    if (kept && kept->active && this->self->remove(*kept)) {
        kept->connect_timer = {};
        state::drop_unsent(*kept);
        this->self->discard(kept);
        // The callbacks may be running, so they are released from the loop's queue.
        this->self->loop.post([kept] { kept->callbacks = {}; });
    }
}

void channel_pool::forget(const endpoint& to)
{
    const auto found = this->self->idle.find(to);
    if (found == this->self->idle.end()) {
        return;
    }
    for (std::shared_ptr<exchange>& kept : found->second) {
        this->self->discard(std::move(kept));
    }
    this->self->idle.erase(found);
}

void channel_pool::on_overlong(overlong_callback run)
{
    this->self->on_overlong = std::move(run);
}

const channel_counts& channel_pool::counts() const
{
    return this->self->counts;
}

int channel_pool::open_connections() const
{
    std::size_t count = this->self->running.size();
    for (const auto& [to, kept] : this->self->idle) {
        count += kept.size();
    }
    return static_cast<int>(count);
}

} // namespace dandelionstep
