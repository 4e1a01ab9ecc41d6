#include "engine_batch.hpp"

#include <vector>

namespace dandelionstep::standins {

void engine_batch::submit(std::int64_t batches, std::function<void()> done)
{
    this->waiting.push_back({batches < 1 ? 1 : batches, std::move(done)});
    this->schedule();
}

void engine_batch::schedule()
{
    if (!this->scheduled && !this->waiting.empty()) {
        this->scheduled = true;
        const time_point now = event_loop::now();
        const milliseconds length = this->step * this->slow_factor;
        // Batches in a row end at fixed times, so that late timers don't add up to a lower rate.
        this->due = now - this->due < length ? this->due + length : now + length;
        const milliseconds wait = this->due > now ? this->due - now : milliseconds{0};
        this->next = this->loop.run_after(wait, [this] { this->run_batch(); });
    }
}

void engine_batch::run_batch()
{
    this->scheduled = false;
    std::vector<std::function<void()>> finished;
    const std::int64_t in_batch = std::min(this->max_batch, this->running());
    for (std::int64_t i = 0; i < in_batch; ++i) {
        job current = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (--current.batches_left > 0) {
            this->waiting.push_back(std::move(current));
        } else {
            finished.push_back(std::move(current.done));
        }
    }
    this->schedule();
    for (const std::function<void()>& done : finished) {
        done();
    }
}

} // namespace dandelionstep::standins
