#include "entry/peers/peer_follower.hpp"

#include "adapters/log.hpp"
#include "target/load_reports.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int status_ok = 200;
constexpr milliseconds pause_after_failure{3'000};
// Changes come in a moment; between two questions there is at least this time.
constexpr milliseconds ask_pause{40};
constexpr milliseconds tell_delay{5};

// Shares of the drain time, in percent. What a reader knows is up to 35 old; a follower's wait, the time
// until it finds its reader silent, and the way to the next one in line all have to fit in the rest.
constexpr std::int64_t oldest_knowledge = 60;
constexpr std::int64_t usual_wait = 25;
constexpr std::int64_t usual_silence = 12;
constexpr std::int64_t repeated_silence = 5;
constexpr std::int64_t line_wait = 6;
constexpr std::int64_t line_silence = 6;
constexpr std::int64_t round_pause = 10;
// A daemon on a small vm needs that to answer, whatever the drain time is.
constexpr milliseconds least_silence{100};
// Readers that a starting daemon asks may be starting as well.
constexpr milliseconds search_silence{300};
// A vm that has no power yet takes no connection.
constexpr milliseconds search_connect{60};

} // namespace

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
            this->decide(after_no_answer(this->searching, this->draw(), event_loop::now()));
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
    const bool tries =
        this->is_following() && should_try_store(this->trials, this->context.siblings, this->draw());
    const double ms = static_cast<double>(this->share_of_drain(round_pause).count) * (0.5 + this->draw());
    this->after({static_cast<std::int64_t>(ms)}, tries ? &peer_follower::try_store : &peer_follower::step);
}

void peer_follower::try_store()
{
    this->look_at_rows([this](bool could_read) {
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
        const peer_question told = this->exchange.question({{0}, false, {}, true});
        send_call(this->context, other.at, peer_call(told), search_silence,
                  [other](const http_answer& answered) {
                      if (answered.status == 0) {
                          log_event("announcement_lost", {{"to", other.vm.value}});
                      }
                  });
    }
}

// Several suspects of one crash are told together.
void peer_follower::tell_soon()
{
    this->tell_timer = this->context.loop.run_after(tell_delay, [this] { this->tell_reader(); });
}

// What the next question would tell comes too late when an open one may wait for long.
void peer_follower::tell_reader()
{
    const std::optional<peer> reader = this->followed();
    if (!reader || !this->is_busy) {
        return;
    }
    question_wish wish;
    wish.same_reader = true;
    wish.only_tells = true;
    const peer_question told = this->exchange.question(wish);
    const std::int64_t began_in = this->turn;
    send_call(this->context, reader->at, peer_call(told),
              std::max(least_silence, this->share_of_drain(usual_silence)),
              [this, told, began_in, reader](const http_answer& answered) {
                  if (answered.status == status_ok && began_in == this->turn) {
                      this->exchange.note_told(told);
                  } else if (answered.status != status_ok) {
                      log_event("suspects_untold", {{"to", reader->vm.value}, {"status", answered.status}});
                  }
              });
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
    if (this->source == knowledge_source::search && !this->searching.is_urgent) {
        this->ask({next, ask_kind::line, {0}, search_silence});
        return;
    }
    const milliseconds wait = this->share_of_drain(line_wait);
    this->ask(
        {next, ask_kind::line, wait, wait + std::max(least_silence, this->share_of_drain(line_silence))});
}

void peer_follower::ask(const asking& asked)
{
    this->is_busy = true;
    const std::int64_t began_in = this->turn;
    const time_point asked_at = event_loop::now();
    const bool same_reader = asked.kind == ask_kind::usual || asked.kind == ask_kind::repeat;
    const vm_id left_reader = asked.kind == ask_kind::line ? this->left : vm_id();
    const peer_question told = this->exchange.question({asked.wait, same_reader, left_reader, false});
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
    this->exchange.note_told(told);
    if (told.uses && answer->uses) {
        answer->uses = subtract(*answer->uses, *told.uses);
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
        add_referral(this->succession, *referral.better);
    }
    if (referral.is_starting) {
        note_reader_starting(this->searching, event_loop::now());
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
    this->exchange.take(answer, asked_at, is_fresh);
    if (is_fresh || this->source == knowledge_source::search) {
        this->follow(asked, answer);
    }
    if (is_fresh) {
        this->left = {};
        this->trials = {};
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
        add_referral(this->succession, *answer.better);
    }
    this->step();
}

} // namespace dandelionstep
