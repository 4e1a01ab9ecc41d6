#include "entry/peer_follower.hpp"

#include "adapters/log.hpp"
#include "entry/shared_uses.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int status_ok = 200;
constexpr milliseconds pause_after_failure{3'000};
// Changes come in a moment; between two questions there is at least this time.
constexpr milliseconds ask_pause{40};
// Between two questions that tell what one's own requests take. It grows with the engines, and changes
// slowly.
constexpr milliseconds uses_interval{1'000};
// Until all followers of a reader have told it theirs, and it has told the sum.
constexpr milliseconds telling_time{2'500};

// Shares of the drain time, in percent. What a reader knows is up to 35 old; a follower's wait, the time
// until it finds its reader silent, and the way to the next one in line all have to fit in the rest.
constexpr std::int64_t oldest_knowledge = 60;
constexpr std::int64_t usual_wait = 25;
constexpr std::int64_t usual_silence = 12;
constexpr std::int64_t repeated_silence = 5;
constexpr std::int64_t line_wait = 6;
constexpr std::int64_t line_silence = 6;
constexpr std::int64_t check_interval = 8;
constexpr std::int64_t round_pause = 10;
// A daemon on a small vm needs that to answer, whatever the drain time is.
constexpr milliseconds least_silence{100};
// Readers that a starting daemon asks may be starting as well.
constexpr milliseconds search_silence{300};
// A vm that has no power yet takes no connection.
constexpr milliseconds search_connect{60};
// How long callers of a starting daemon wait for a reader's answer before it reads the store itself: what a
// refusal would cost one of them is more than the two calls.
constexpr milliseconds hurry_after{40};
// Followers of a data centre that try the store after each round in which nobody in line reached it.
constexpr double tries_per_round = 2;

outgoing_call peer_call(const peer_question& question)
{
    outgoing_call call;
    call.method = "POST";
    call.target = "/changes";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = to_text(question);
    return call;
}

} // namespace

peer_follower::peer_follower(entry_context& context_in, store_watch& watch_in, own_rows& rows_in)
    : context(context_in), watch(watch_in), rows(rows_in), started_at(event_loop::now())
{}

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
        const double waits = hesitation(this->context.settings.capacity);
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

void peer_follower::search(std::string_view reason, bool is_hurried)
{
    ++this->turn;
    this->source = knowledge_source::search;
    this->searching = {};
    this->searching.is_hurried = is_hurried;
    this->reader_process = 0;
    log_event("searches_reader", {{"left", this->left.value},
                                  {"reason", reason},
                                  {"targets_age_ms", event_loop::now() - this->context.targets_as_of}});
    this->look();
}

void peer_follower::look()
{
    const std::int64_t began_in = this->turn;
    this->is_busy = true;
    this->rows.look([this, began_in](bool could_read) {
        if (began_in != this->turn) {
            return;
        }
        this->is_busy = false;
        if (!could_read) {
            this->after(failed_look_pause(++this->failed_looks, this->draw()), &peer_follower::look);
            return;
        }
        this->failed_looks = 0;
        const std::vector<peer> readers = this->rows.readers({});
        this->succession = {readers, 0, false};
        this->decide(after_look(this->searching, {!readers.empty(), this->rows.has_earlier_row()},
                                hesitation(this->context.settings.capacity), this->draw(),
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
    this->read_began = event_loop::now();
    this->reader_process = 0;
    log_event("reads_store", {{"left", this->left.value},
                              {"reason", reason},
                              {"targets_age_ms", event_loop::now() - this->context.targets_as_of},
                              {"targets_position", this->context.position.targets}});
    this->watch.start();
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
    set_line(this->succession, asked.reader, answer.successors);
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

void peer_follower::consider_seniors()
{
    if (this->source != knowledge_source::store || this->is_busy || this->context.settings.peers.port == 0 ||
        (this->must_read && this->must_read())) {
        return;
    }
    const time_point now = event_loop::now();
    std::erase_if(this->failed, [now](const auto& one) { return now >= one.second; });
    std::set<vm_id> excluded;
    for (const auto& [vm, until] : this->failed) {
        excluded.insert(vm);
    }
    const std::vector<peer> seniors = this->rows.senior_readers(excluded);
    if (!seniors.empty()) {
        this->ask({seniors.front(),
                   ask_kind::senior,
                   {0},
                   std::max(least_silence, this->share_of_drain(usual_silence))});
    }
}

void peer_follower::step()
{
    switch (next_step(this->succession, this->context.settings.vm, this->is_reader())) {
    case succession_step::ask:
        this->ask_in_line();
        return;
    case succession_step::read:
        this->read_store("next_in_line");
        return;
    case succession_step::pause:
        this->end_round();
        return;
    case succession_step::search:
        if (this->source == knowledge_source::search) {
            this->decide(after_silence(this->searching, this->draw(), event_loop::now()));
        } else {
            this->search("nobody_in_line", true);
        }
        return;
    }
}

// Nobody in line reaches the store. It may be away, or let in only some of the daemons, which are found by
// those few that try.
void peer_follower::end_round()
{
    const double siblings = static_cast<double>(std::max<std::int64_t>(1, this->context.siblings));
    const bool tries = this->is_following() && this->draw() * siblings < tries_per_round;
    const double ms = static_cast<double>(this->share_of_drain(round_pause).count) * (0.5 + this->draw());
    this->after({static_cast<std::int64_t>(ms)}, tries ? &peer_follower::try_store : &peer_follower::step);
}

void peer_follower::try_store()
{
    const std::int64_t began_in = this->turn;
    this->is_busy = true;
    this->rows.look([this, began_in](bool could_read) {
        if (began_in != this->turn) {
            return;
        }
        this->is_busy = false;
        if (!could_read) {
            this->step();
            return;
        }
        this->announce_due = true;
        this->read_store("reaches_store");
    });
}

// Daemons that did not reach the store ask this one next.
void peer_follower::announce()
{
    this->announce_due = false;
    for (const peer& other : this->succession.line) {
        if (other.vm == this->context.settings.vm) {
            continue;
        }
        peer_question told = this->question({});
        told.reads_store = true;
        outgoing_call call = peer_call(told);
        send_call(this->context, other.at, call, {search_silence, search_silence},
                  [other](const http_answer& answered) {
                      if (answered.status == 0) {
                          log_event("announcement_lost", {{"to", other.vm.value}});
                      }
                  });
    }
}

void peer_follower::ask_usual()
{
    // An answer that waits grows older meanwhile.
    const milliseconds spare = this->share_of_drain(oldest_knowledge) - this->reader_age.targets;
    const milliseconds wait = std::clamp(spare, milliseconds{0}, this->share_of_drain(usual_wait));
    const milliseconds silence = std::max(least_silence, this->share_of_drain(usual_silence));
    this->ask({this->succession.line.front(), ask_kind::usual, wait, wait + silence});
}

void peer_follower::ask_in_line()
{
    const peer& next = this->succession.line[this->succession.next];
    if (this->source == knowledge_source::search && !this->searching.is_hurried) {
        this->ask({next, ask_kind::line, {0}, search_silence});
        return;
    }
    const milliseconds wait = this->share_of_drain(line_wait);
    this->ask(
        {next, ask_kind::line, wait, wait + std::max(least_silence, this->share_of_drain(line_silence))});
}

peer_question peer_follower::question(const asking& asked)
{
    const entry_settings& settings = this->context.settings;
    peer_question told;
    told.vm = settings.vm;
    told.at = settings.peers;
    told.capacity = answering_capacity(settings.capacity);
    told.process = this->reader_process;
    told.sequence = this->reader_sequence;
    told.config_version = this->context.config ? this->context.config->version.value : -1;
    told.wait = asked.wait;
    told.takes_packed = true;
    const bool knows_numbers =
        this->reader_process != 0 && (asked.kind == ask_kind::usual || asked.kind == ask_kind::repeat);
    if (!knows_numbers) {
        told.registry_digest = registry_digest(this->context.targets, this->context.doubtful);
    }
    if (asked.kind == ask_kind::line) {
        told.left = this->left;
    }
    const time_point now = event_loop::now();
    if (!knows_numbers || now - this->told_uses_at >= uses_interval) {
        told.uses = own_uses(this->context);
        this->told_uses_at = now;
    }
    return told;
}

void peer_follower::ask(const asking& asked)
{
    this->is_busy = true;
    const std::int64_t began_in = this->turn;
    const time_point asked_at = event_loop::now();
    const peer_question told = this->question(asked);
    // A long answer is still on its way when its head has come.
    call_times times{asked.timeout, asked.timeout + this->context.settings.configuration_time / 4};
    if (this->source == knowledge_source::search) {
        times.connect = search_connect;
    }
    send_call(this->context, asked.reader.at, peer_call(told), times,
              [this, began_in, asked, asked_at, told](const http_answer& answered) {
                  if (began_in == this->turn) {
                      this->is_busy = false;
                      this->take(asked, asked_at, told, answered);
                  }
              });
}

void peer_follower::take(const asking& asked, time_point asked_at, const peer_question& told,
                         const http_answer& answered)
{
    if (answered.status != status_ok) {
        this->take_failure(asked, answered);
        return;
    }
    absl::StatusOr<peer_answer> answer = parse_peer_answer(answered.body);
    if (!answer.ok()) {
        log_event("peer_answer_unreadable",
                  {{"vm", asked.reader.vm.value}, {"reason", std::string(answer.status().message())}});
        this->take_failure(asked, {});
        return;
    }
    if (told.uses && answer->uses) {
        answer->uses = without(*answer->uses, *told.uses);
    }
    this->take_answer(asked, asked_at, *answer);
}

void peer_follower::take_failure(const asking& asked, const http_answer& answered)
{
    const bool was_silent = answered.status == 0 && answered.end == exchange_end::broken;
    if (asked.kind == ask_kind::usual && was_silent) {
        this->ask({asked.reader,
                   ask_kind::repeat,
                   {0},
                   std::max(least_silence, this->share_of_drain(repeated_silence))});
        return;
    }
    if (asked.kind == ask_kind::senior) {
        this->failed[asked.reader.vm] = event_loop::now() + pause_after_failure;
        return;
    }
    if (asked.kind != ask_kind::line) {
        this->left = asked.reader.vm;
        log_event("reader_lost", {{"reader", asked.reader.vm.value},
                                  {"status", answered.status},
                                  {"targets_age_ms", event_loop::now() - this->context.targets_as_of}});
    }
    note_reply(this->succession, reader_reply::unavailable);
    const peer_referral referral = parse_peer_referral(answered.body);
    if (referral.better) {
        refer_to(this->succession, *referral.better);
    }
    if (referral.is_starting) {
        note_starting(this->searching, event_loop::now());
    }
    this->step();
}

void peer_follower::take_answer(const asking& asked, time_point asked_at, const peer_answer& answer)
{
    const bool is_fresh =
        answer.reaches_store && is_current(this->context.settings, {answer.targets_age, answer.config_age});
    if (asked.kind == ask_kind::senior && (!is_fresh || (this->must_read && this->must_read()))) {
        this->failed[asked.reader.vm] = event_loop::now() + pause_after_failure;
        return;
    }
    this->apply(asked_at, answer, is_fresh);
    if (is_fresh || this->source == knowledge_source::search) {
        this->follow(asked, answer);
    }
    if (is_fresh) {
        this->left = {};
        this->after(ask_pause, &peer_follower::ask_usual);
        return;
    }
    if (this->left.value.empty()) {
        this->left = asked.reader.vm;
        log_event("reader_outdated", {{"reader", asked.reader.vm.value},
                                      {"reaches_store", answer.reaches_store ? "yes" : "no"},
                                      {"targets_age_ms", answer.targets_age}});
    }
    note_reply(this->succession, reader_reply::outdated);
    if (answer.better) {
        refer_to(this->succession, *answer.better);
    }
    this->step();
}

void peer_follower::apply(time_point asked_at, const peer_answer& answer, bool is_fresh)
{
    if (!answer.config.empty() && put_config(this->context, answer.config, "peer") && this->watch.on_config) {
        this->watch.on_config();
    }
    this->context.config_as_of = std::max(this->context.config_as_of, asked_at - answer.config_age);
    const time_point targets_as_of = asked_at - answer.targets_age;
    // What a daemon knew long ago does not replace what is known here.
    if (!is_fresh && this->context.targets_known && targets_as_of < this->context.targets_as_of) {
        return;
    }
    this->apply_targets(answer);
    this->context.targets_as_of = targets_as_of;
    this->context.position = answer.position;
    this->context.daemons = std::max<std::int64_t>(1, answer.daemons);
    this->context.siblings = std::max<std::int64_t>(1, answer.siblings);
    if (answer.uses) {
        this->context.others = *answer.uses;
        this->context.others_at = event_loop::now();
    }
}

void peer_follower::apply_targets(const peer_answer& answer)
{
    for (const registered_target& target : answer.registry.targets) {
        put_target(this->context, target);
    }
    for (const target_id& id : gone_by(answer.registry, this->context.targets)) {
        drop_target(this->context, id);
    }
    this->reader_process = answer.process;
    this->reader_sequence = answer.registry.sequence;
    this->context.targets_known = true;
    this->watch.note_readiness();
}

} // namespace dandelionstep
