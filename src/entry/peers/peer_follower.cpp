#include "entry/peers/peer_follower.hpp"

#include "adapters/log.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Until all followers of a reader have told it theirs, and it has told the sum.
constexpr milliseconds telling_time{2'500};
// Share of the drain time, in percent, after which a reader looks again whether it knows what is new.
constexpr std::int64_t check_interval = 8;
// How long callers of a starting daemon wait for a reader's answer before it reads the store itself: what a
// refusal would cost one of them is more than the two calls.
constexpr milliseconds hurry_after{40};

} // namespace

peer_follower::peer_follower(entry_context& context_in, store_watch& watch_in, vm_rows& rows_in)
    : context(context_in), watch(watch_in), rows(rows_in), exchange(context_in), started_at(event_loop::now())
{
    this->exchange.on_config = [&watch_in] {
        if (watch_in.on_config) {
            watch_in.on_config();
        }
    };
    this->exchange.on_targets = [&watch_in] { watch_in.note_readiness(); };
    context_in.on_urgent = [this] { this->tell_soon(); };
}

milliseconds peer_follower::share_of_drain(std::int64_t percent) const
{
    return this->context.settings.drain_time * percent / 100;
}

bool peer_follower::knows_enough() const
{
    const bool lost = this->is_reader() && this->contact && this->contact() == store_contact::lost;
    return !lost && is_current(this->context.settings, present_age(this->context, event_loop::now()));
}

std::optional<peer> peer_follower::followed() const
{
    if (!this->is_following() || this->succession.line.empty()) {
        return std::nullopt;
    }
    return this->succession.line.front();
}

// Goes on later, unless the source of knowledge changes before.
void peer_follower::after(milliseconds pause, void (peer_follower::*next)())
{
    this->is_busy = true;
    this->timer = this->context.loop.run_after(pause, [this, next] {
        this->is_busy = false;
        (this->*next)();
    });
}

void peer_follower::start()
{
    if (this->context.settings.peers.port == 0) {
        this->read_store("alone");
        return;
    }
    if (this->context.settings.is_first_start) {
        const double waits = election_delay_factor(this->context.settings.capacity);
        this->after(first_look_pause(waits, this->draw()), &peer_follower::look);
        return;
    }
    this->look();
}

void peer_follower::hurry()
{
    if (this->source != knowledge_source::search || can_route(this->context)) {
        return;
    }
    const milliseconds left_to_wait =
        std::max(milliseconds{0}, this->started_at + hurry_after - event_loop::now());
    this->hurry_timer = this->context.loop.run_after(left_to_wait, [this] {
        if (this->source == knowledge_source::search) {
            this->watch.start();
        }
    });
}

void peer_follower::search(std::string_view reason, bool is_urgent)
{
    ++this->turn;
    this->source = knowledge_source::search;
    this->searching = {};
    this->searching.is_urgent = is_urgent;
    this->exchange.forget_reader();
    log_event("searches_reader", {{"left", this->left.value},
                                  {"reason", reason},
                                  {"targets_age_ms", event_loop::now() - this->context.targets_as_of}});
    this->look();
}

void peer_follower::look_at_rows(std::function<void(bool could_read)> done)
{
    this->is_busy = true;
    this->rows.look([this, began_in = this->turn, done = std::move(done)](bool could_read) {
        if (began_in == this->turn) {
            this->is_busy = false;
            done(could_read);
        }
    });
}

void peer_follower::look()
{
    this->look_at_rows([this](bool could_read) {
        if (!could_read) {
            this->after(failed_look_pause(++this->failed_looks, this->draw()), &peer_follower::look);
            return;
        }
        this->failed_looks = 0;
        const std::vector<peer> readers = this->rows.readers({});
        this->succession = {readers, 0, false};
        this->decide(after_look(this->searching, {!readers.empty(), this->rows.has_earlier_row()},
                                election_delay_factor(this->context.settings.capacity), this->draw(),
                                event_loop::now()));
    });
}

void peer_follower::decide(const search_decision& decision)
{
    switch (decision.step) {
    case search_step::ask:
        this->after(decision.pause, &peer_follower::step);
        return;
    case search_step::look:
        this->after(decision.pause, &peer_follower::look);
        return;
    case search_step::read:
        this->read_store("no_reader");
        return;
    }
}

void peer_follower::read_store(std::string_view reason)
{
    ++this->turn;
    this->is_busy = false;
    this->timer = {};
    this->hurry_timer = {};
    this->source = knowledge_source::store;
    this->trials = {};
    this->read_began = event_loop::now();
    this->exchange.forget_reader();
    log_event("reads_store", {{"left", this->left.value},
                              {"reason", reason},
                              {"targets_age_ms", event_loop::now() - this->context.targets_as_of},
                              {"targets_position", this->context.position.targets}});
    this->watch.start_for_others();
    this->rows.keep();
    this->check_timer = this->context.loop.run_every(this->share_of_drain(check_interval),
                                                     [this] { this->check_knowledge(); });
}

void peer_follower::follow(const asking& asked, const peer_answer& answer)
{
    const std::optional<peer> before = this->followed();
    if (!before || before->vm != asked.reader.vm) {
        log_event("follows", {{"reader", asked.reader.vm.value},
                              {"left", this->left.value},
                              {"targets_age_ms", answer.targets_age},
                              {"config_age_ms", answer.config_age}});
    }
    if (!before || before->vm != asked.reader.vm) {
        this->context.others_partial_until = event_loop::now() + telling_time;
    }
    if (this->source != knowledge_source::reader) {
        ++this->turn;
        this->source = knowledge_source::reader;
        this->check_timer = {};
        this->hurry_timer = {};
        this->watch.pause();
        this->rows.pause();
    }
    set_successors(this->succession, asked.reader, answer.successors);
    this->reader_age = {answer.targets_age, answer.config_age};
}

void peer_follower::take_over(const vm_id& left_by_other)
{
    if (this->source != knowledge_source::reader) {
        return;
    }
    this->left = left_by_other;
    this->read_store("asked");
}

// A reader that does not reach the store learns from another one, if that does.
void peer_follower::check_knowledge()
{
    if (!this->knows_enough()) {
        if (!this->is_busy && can_route(this->context)) {
            this->left = this->context.settings.vm;
            this->step();
        }
        return;
    }
    this->left = {};
    if (this->announce_due) {
        this->announce();
    }
    const std::vector<peer> next = this->successors ? this->successors() : std::vector<peer>();
    if (!next.empty() && !this->is_busy) {
        this->succession = {next, 0, false};
    }
}

} // namespace dandelionstep
