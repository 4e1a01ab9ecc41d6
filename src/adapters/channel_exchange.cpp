#include "adapters/internal/channel_exchange.hpp"

#include "absl/strings/numbers.h"
#include "adapters/socket_options.hpp"
#include "adapters/socket_state.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace dandelionstep {
namespace {

// The system closes the sockets of a process that ends one after the other, the listening one among the last.
// On a busy machine 2 of some 100 such ends were taken for the target's own when this was checked at once.
constexpr milliseconds end_check_delay{20};
// A process that listens accepts within some milliseconds.
constexpr milliseconds end_check_timeout{250};

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

// How many bytes the system took at once.
std::size_t send_now(evutil_socket_t socket, std::string_view head, std::string_view body)
{
    // The system does not change what is sent.
    const auto part_of = [](std::string_view text) {
        return iovec{const_cast<char*>(text.data()),
                     text.size()}; // NOLINT(cppcoreguidelines-pro-type-const-cast)
    };
    std::array<iovec, 2> parts{part_of(head), part_of(body)};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t sent = ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

// Writes the rest of a body without a copy; the connection shares it until it has left.
void write_shared(bufferevent* raw, std::shared_ptr<const std::string> body, std::size_t from)
{
    const auto release = [](const void* /*data*/, std::size_t /*size*/, void* kept) {
        delete static_cast<std::shared_ptr<const std::string>*>(kept);
    };
    const std::string_view rest = std::string_view(*body).substr(from);
    auto* kept = new std::shared_ptr<const std::string>(std::move(body));
    if (evbuffer_add_reference(bufferevent_get_output(raw), rest.data(), rest.size(), release, kept) != 0) {
        delete kept;
    }
}

} // namespace

void channel_pool::state::on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument)
{
    if (info->n_deleted > 0) {
        static_cast<exchange*>(argument)->bytes_sent = true;
    }
}

void channel_pool::state::on_read(bufferevent* /*raw*/, void* argument)
{
    auto* self = static_cast<exchange*>(argument);
    self->owner->read(*self);
}

void channel_pool::state::on_event(bufferevent* /*raw*/, short what, void* argument)
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

std::shared_ptr<channel_pool::exchange> channel_pool::state::connect(const endpoint& to)
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

bool channel_pool::state::start_connecting(exchange& made)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(made.to.port);
    inet_pton(AF_INET, made.to.address.c_str(), &address.sin_addr);
    bufferevent_enable(made.raw, EV_READ | EV_WRITE);
    return bufferevent_socket_connect(made.raw, reinterpret_cast<const sockaddr*>(&address),
                                      sizeof(address)) == 0;
}

bool channel_pool::state::hold_head(exchange& self) const
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

void channel_pool::state::release_head(exchange& self) const
{
    if (this->answers) {
        this->answers->held -= std::exchange(self.head_bytes, 0);
    }
}

// Past the buffer, which is written only in the loop's next turn. What the system doesn't take now
// follows through it, as do errors.
void channel_pool::state::write_request(exchange& self, outgoing_bytes bytes)
{
    const std::string_view body = bytes.body ? std::string_view(*bytes.body) : std::string_view();
    const std::size_t sent = send_now(bufferevent_getfd(self.raw), bytes.head, body);
    self.bytes_sent = self.bytes_sent || sent > 0;
    if (sent < bytes.head.size()) {
        bufferevent_write(self.raw, bytes.head.data() + sent, bytes.head.size() - sent);
    }
    const std::size_t sent_of_body = sent - std::min(sent, bytes.head.size());
    if (sent_of_body < body.size()) {
        write_shared(self.raw, std::move(bytes.body), sent_of_body);
    }
}

void channel_pool::state::send_waiting(exchange& self)
{
    outgoing_bytes bytes = std::exchange(self.waiting, {});
    if (!self.callbacks.may_send || self.callbacks.may_send()) {
        write_request(self, std::move(bytes));
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
void channel_pool::state::drop_unsent(const exchange& self)
{
    const evutil_socket_t socket = bufferevent_getfd(self.raw);
    if (evbuffer_get_length(bufferevent_get_output(self.raw)) > 0 || unacknowledged_bytes(socket) > 0) {
        reset_when_closed(socket);
    }
}

// libevent may still be inside the connection's callbacks.
void channel_pool::state::discard(std::shared_ptr<exchange> doomed)
{
    this->release_head(*doomed);
    doomed->active = false;
    doomed->end_timer = {};
    bufferevent_disable(doomed->raw, EV_READ | EV_WRITE);
    bufferevent_setcb(doomed->raw, nullptr, nullptr, nullptr, nullptr);
    this->loop.post([doomed = std::move(doomed)] {});
}

std::shared_ptr<channel_pool::exchange> channel_pool::state::remove(exchange& ended)
{
    const auto found = this->running.find(&ended);
    if (found == this->running.end()) {
        return nullptr;
    }
    std::shared_ptr<exchange> kept = std::move(found->second);
    this->running.erase(found);
    return kept;
}

void channel_pool::state::finish(const std::shared_ptr<exchange>& ended, exchange_end how)
{
    ended->active = false;
    ended->connect_timer = {};
    ended->end_timer = {};
    this->release_head(*ended);
    const auto on_end = std::move(ended->callbacks.on_end);
    ended->callbacks = {};
    if (on_end) {
        on_end(how, ended->was_used && !ended->is_overlong && !ended->is_cut);
    }
}

void channel_pool::state::read(exchange& self)
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

void channel_pool::state::note_overlong(const exchange& self)
{
    ++this->counts.overlong_responses;
    if (this->on_overlong) {
        this->on_overlong(self.to, self.response_bytes);
    }
}

void channel_pool::state::end_check(exchange& self, connect_result result)
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

void channel_pool::state::complete(exchange& self)
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

void channel_pool::state::fail(exchange& self)
{
    const std::shared_ptr<exchange> kept = this->remove(self);
    if (kept) {
        const exchange_end how = self.bytes_sent ? exchange_end::broken : exchange_end::not_sent;
        this->discard(kept);
        this->finish(kept, how);
    }
}

void channel_pool::state::closed(exchange& self, bool in_order)
{
    if (!self.active) {
        this->drop_idle(self);
        return;
    }
    // Only a response without a length is ended by the end of its connection.
    if (in_order && self.reader.end_of_input() && !self.skipping && self.active) {
        if (self.confirms_end) {
            this->confirm_end(self);
        } else {
            this->end_confirmed(self, true);
        }
        return;
    }
    this->fail(self);
}

// The system closes the connections of a process that ends in order as well, so the response is whole only if
// its target still listens. Nothing else tells the two apart.
void channel_pool::state::confirm_end(exchange& self)
{
    const auto found = this->running.find(&self);
    if (found == this->running.end()) {
        return;
    }
    bufferevent_disable(self.raw, EV_READ | EV_WRITE);
    const auto confirm = [this, watched = std::weak_ptr(found->second),
                          alive = std::weak_ptr(this->alive)](connect_result result) {
        const std::shared_ptr<exchange> kept = watched.lock();
        if (kept && !alive.expired() && kept->active) {
            this->end_confirmed(*kept, result == connect_result::reached);
        }
    };
    self.end_timer = this->loop.run_after(
        end_check_delay, [this, confirm, to = self.to] { this->check(to, end_check_timeout, confirm); });
}

void channel_pool::state::end_confirmed(exchange& self, bool is_own_end)
{
    if (is_own_end) {
        if (const std::shared_ptr<exchange> kept = this->remove(self)) {
            this->discard(kept);
            this->finish(kept, exchange_end::complete);
        }
        return;
    }
    ++this->counts.unconfirmed_ends;
    self.is_cut = true;
    this->fail(self);
}

void channel_pool::state::check(const endpoint& to, milliseconds timeout,
                                std::function<void(connect_result)> done)
{
    const std::shared_ptr<exchange> made = this->connect(to);
    made->checked = std::move(done);
    made->active = true;
    this->running.emplace(made.get(), made);
    const auto end_later = [this, watched = std::weak_ptr(made),
                            alive = std::weak_ptr(this->alive)](connect_result result) {
        const std::shared_ptr<exchange> kept = watched.lock();
        if (kept && !alive.expired() && kept->checked) {
            this->end_check(*kept, result);
        }
    };
    if (this->start_connecting(*made)) {
        made->connect_timer =
            this->loop.run_after(timeout, [end_later] { end_later(connect_result::silent); });
    } else {
        this->loop.post([end_later] { end_later(connect_result::refused); });
    }
}

} // namespace dandelionstep
