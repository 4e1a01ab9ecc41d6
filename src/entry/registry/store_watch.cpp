#include "entry/registry/store_watch.hpp"

#include "entry/registry/known_state.hpp"

namespace dandelionstep {

store_watch::store_watch(entry_context& context_in, store_client& store_in)
    : context(context_in), config(context_in, store_in), targets(context_in, store_in),
      suspects(context_in, store_in)
{
    this->suspects.holds_lease = [this] { return this->holds_lease && this->holds_lease(); };
    this->config.on_config = [this] {
        if (this->on_config) {
            this->on_config();
        }
    };
    this->config.on_known = [this] { this->note_readiness(); };
    this->targets.on_known = [this] { this->note_readiness(); };
}

void store_watch::start()
{
    if (!this->is_reading) {
        this->is_reading = true;
        this->config.start();
        this->targets.start();
    }
}

void store_watch::start_for_others()
{
    this->start();
    this->suspects.start();
}

void store_watch::begin_era()
{
    if (this->is_reading) {
        this->config.begin_era();
        this->targets.begin_era();
        this->suspects.begin_era();
    }
}

void store_watch::pause()
{
    this->is_reading = false;
    this->config.pause();
    this->targets.pause();
    this->suspects.pause();
}

// Tells once that requests can be routed.
void store_watch::note_readiness()
{
    if (can_route(this->context) && this->on_first_known) {
        const std::function<void()> notify = std::move(this->on_first_known);
        this->on_first_known = nullptr;
        notify();
    }
}

} // namespace dandelionstep
