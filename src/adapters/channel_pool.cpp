#include "adapters/channel_pool.hpp"

#include "adapters/internal/channel_exchange.hpp"

#include <utility>

namespace dandelionstep {
namespace {

constexpr milliseconds sweep_interval{500};

} // namespace

channel_pool::channel_pool(event_loop& loop, std::shared_ptr<byte_budget> answers)
    : self(std::make_unique<state>(loop, std::move(answers)))
{
    this->self->sweep = loop.run_every(sweep_interval, [this] { this->self->close_expired(); });
}

channel_pool::~channel_pool()
{
    this->self->alive.reset();
}

std::weak_ptr<channel_pool::exchange> channel_pool::send(const endpoint& to, outgoing_bytes bytes,
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
    used->is_cut = false;
    used->confirms_end = options.confirms_end;
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
        state::write_request(*used, std::move(bytes));
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
    this->self->check(to, timeout, std::move(done));
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
