#include "adapters/internal/channel_exchange.hpp"

#include "adapters/socket_state.hpp"

#include <iterator>

namespace dandelionstep {
namespace {

constexpr std::size_t max_idle_per_target = 64;
// A connection is given up so long before the target would close it.
constexpr milliseconds idle_margin{400};

} // namespace

// Those that have been idle for too long are dropped on the way.
std::shared_ptr<channel_pool::exchange> channel_pool::state::take_idle(const endpoint& to,
                                                                       const send_options& options)
{
    const auto found = this->idle.find(to);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const time_point now = event_loop::now();
    std::vector<std::shared_ptr<exchange>>& kept = found->second;
    for (auto at = kept.end(); at != kept.begin();) {
        --at;
        if (options.carried_nothing_since && (*at)->has_carried_since(*options.carried_nothing_since)) {
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

bool channel_pool::state::keep_idle(const std::shared_ptr<exchange>& kept, milliseconds idle_timeout)
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

void channel_pool::state::drop_idle(exchange& self)
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

void channel_pool::state::close_expired()
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

} // namespace dandelionstep
