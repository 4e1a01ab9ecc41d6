#include "request/stream_admission.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dandelionstep {
namespace {

// Time constant of the decaying counts: they cover some 10 s.
constexpr double decay_ms = 5'000;
constexpr milliseconds decay_step{100};
// Counts below this are removed.
constexpr double negligible = 1e-3;

// Part of the capacity that is kept for more urgent work when nearly all recent work was more urgent. It has
// to cover what arrives until a changed use is known, about a second, of streams that run for some 4 s.
constexpr double largest_reserve = 0.25;
// Within this distance of the limit a random part of the streams is held, so that daemons that see the same
// use don't all start or stop sending at the same moment.
constexpr double limit_band = 0.05;
// Share of the gap objective that the expected gap may take: single gaps exceed the mean by prefills and by
// requests that begin meanwhile.
constexpr double gap_share = 0.8;

// Part of the room below the limit that is filled per second. Uses are known about a second late, and the
// loop of sends and uses does not overshoot below 1 / e of the room in that time.
constexpr double fill_per_second = 0.5;
// Bounds of the credit, in requests of mean length: neither room that nobody used nor a burst counts for
// long.
constexpr double most_credit = 2;
// The filling of a daemon that has few streams running.
constexpr double least_running = 1;

// A priority or organisation that was sent less often than this part of all is sent first. No kind is to be
// served less than a quarter as often as all.
constexpr double least_sent_part = 0.28;
// Arrivals before that is judged.
constexpr double judged_arrivals = 1;

// Urgent streams are sent after half of their objective only if at least this share of recent work is less
// urgent and can yield; if all work is equally urgent, nothing is won by sending it into full engines.
constexpr double least_yielding_share = 0.1;
// They count as the most urgent if at most this share of recent work is more urgent: a few organisations that
// rank first take little of the room.
constexpr double most_overtaking_share = 0.25;

// They are sent earlier if the first event is expected to take longer than the other half; by this factor
// more than expected, as the engines are full.
constexpr double first_event_margin = 2;

// Callers leave a stream that is silent for the longest of these.
constexpr milliseconds least_patience{2'000};
constexpr std::int64_t patience_in_latencies = 4;
constexpr std::int64_t patience_in_gaps = 8;

// Least rate of sends that is assumed, per millisecond.
constexpr double least_rate = 0.2 / 1'000;
constexpr milliseconds shortest_retry{100};
constexpr milliseconds longest_retry{5'000};

void decay(admission_counts& counts, double factor)
{
    counts.arrived *= factor;
    counts.sent *= factor;
    counts.arrived_cost *= factor;
}

void decay_to(stream_admission& state, time_point now)
{
    const milliseconds passed = now - state.decayed_at;
    if (passed < decay_step) {
        return;
    }
    const double factor = std::exp(-static_cast<double>(passed.count) / decay_ms);
    for (auto& [priority, counts] : state.priorities) {
        decay(counts, factor);
    }
    for (auto& [organisation, counts] : state.organisations) {
        decay(counts, factor);
    }
    const auto is_idle = [](const auto& entry) { return entry.second.arrived < negligible; };
    std::erase_if(state.priorities, is_idle);
    std::erase_if(state.organisations, is_idle);
    state.decayed_at = now;
}

template <typename key>
admission_counts counts_of(const std::map<key, admission_counts>& all, const key& of)
{
    const auto found = all.find(of);
    return found == all.end() ? admission_counts{} : found->second;
}

// Whether much less of this was sent than of all.
bool is_neglected(const stream_admission& state, const admission_counts& counts)
{
    double arrived = 0;
    double sent = 0;
    for (const auto& [priority, each] : state.priorities) {
        arrived += each.arrived;
        sent += each.sent;
    }
    return counts.arrived >= judged_arrivals &&
           counts.sent * arrived < least_sent_part * sent * counts.arrived;
}

bool is_neglected(const stream_admission& state, int priority)
{
    return is_neglected(state, counts_of(state.priorities, priority));
}

struct work_shares {
    double more_urgent = 0;
    double less_urgent = 0;
};

// The shares of recent work that are more and less urgent.
work_shares shares_around(const stream_admission& state, int priority)
{
    work_shares shares;
    double all = 0;
    for (const auto& [each, counts] : state.priorities) {
        all += counts.arrived_cost;
        shares.more_urgent += each < priority ? counts.arrived_cost : 0;
        shares.less_urgent += each > priority ? counts.arrived_cost : 0;
    }
    if (all > 0) {
        shares.more_urgent /= all;
        shares.less_urgent /= all;
    }
    return shares;
}

double limit_for(const stream_admission& state, int priority)
{
    if (is_neglected(state, priority)) {
        return 1;
    }
    return 1 - largest_reserve * shares_around(state, priority).more_urgent;
}

// The path's load without the part by which a large request exceeds others: small ones that go on being sent
// would otherwise keep the room for it from becoming free.
double pressure_on(const admission_path& path, const admission_request& request)
{
    const double longest = gap_share * static_cast<double>(request.gap_objective.count);
    const double gap = longest > 0 ? static_cast<double>(path.event_gap.count) / longest : 0;
    return std::max(path.use - path.excess, gap);
}

bool has_room(const admission_path& path, const admission_request& request, double limit, double draw)
{
    const bool fits = path.excess <= 0 || path.use <= 1;
    return fits && pressure_on(path, request) <= limit - limit_band * draw;
}

// When a stream of the most urgent priority is sent whatever the use, so that it is still in time.
time_point due_time(const stream_admission& state, const admission_request& request)
{
    const work_shares shares = shares_around(state, request.priority);
    const bool is_most_urgent =
        shares.more_urgent <= most_overtaking_share && shares.less_urgent >= least_yielding_share;
    if (!is_most_urgent) {
        return never;
    }
    const double needed = first_event_margin * static_cast<double>(state.first_event.count);
    const milliseconds latest = request.latency_objective - milliseconds{static_cast<std::int64_t>(needed)};
    const time_point due = request.began + std::clamp(latest, milliseconds{0}, request.latency_objective / 2);
    return std::max(due, request.not_due_before);
}

bool must_go(const stream_admission& state, const admission_request& request, time_point now)
{
    return now >= due_time(state, request);
}

bool will_be_late(const stream_admission& state, const admission_request& request, time_point now)
{
    return now + state.first_event - request.began > request.latency_objective;
}

// Streams with a smaller rank are sent first.
using rank = std::tuple<bool, int, bool, bool, double, std::uint64_t>;

rank rank_of(const stream_admission& state, const admission_request& request, time_point now)
{
    const admission_counts own = counts_of(state.organisations, request.organisation);
    return {!is_neglected(state, request.priority),
            request.priority,
            !is_neglected(state, own),
            will_be_late(state, request, now),
            std::max(own.served, state.virtual_time),
            request.id};
}

void add_credit(stream_admission& state, double work)
{
    state.credit = std::clamp(state.credit + work, -most_credit, most_credit);
}

// Fills the room below the limit gradually, and takes credit back above it.
void fill(stream_admission& state, double pressure, double limit, time_point now)
{
    const milliseconds passed = std::min(now - state.credited_at, milliseconds{1'000});
    state.credited_at = now;
    const double room = (limit - pressure) / limit;
    add_credit(state, room * fill_per_second * std::max(state.running, least_running) *
                          static_cast<double>(passed.count) / 1'000);
}

// How a stream stands in the queue of its priority.
struct queue_place {
    double ahead = 0;
    //! Whether any other waits, and whether one goes before it, of whatever priority.
    bool is_first = true;
};

queue_place place_of(const stream_admission& state, const admission_request& request, time_point now)
{
    queue_place place;
    const rank own = rank_of(state, request, now);
    for (const admission_request& other : state.waiting) {
        if (other.id != request.id && rank_of(state, other, now) < own) {
            place.is_first = false;
            place.ahead += other.priority == request.priority ? 1 : 0;
        }
    }
    return place;
}

milliseconds span_of(double ms)
{
    return {static_cast<std::int64_t>(std::min(ms, 1e9))};
}

// Until a stream is sent with so many ahead of it. New ones that can be in time pass one that can't.
milliseconds expected_wait(const stream_admission& state, const admission_request& request,
                           const queue_place& place, time_point now)
{
    const admission_counts counts = counts_of(state.priorities, request.priority);
    double rate = counts.sent / decay_ms;
    if (will_be_late(state, request, now)) {
        rate -= counts.arrived / decay_ms;
    }
    return span_of((place.ahead + 1) / std::max(rate, least_rate));
}

milliseconds retry_after(const stream_admission& state, const admission_request& request,
                         const queue_place& place)
{
    const double rate = counts_of(state.priorities, request.priority).sent / decay_ms;
    return std::clamp(span_of((place.ahead + 1) / std::max(rate, least_rate)), shortest_retry, longest_retry);
}

admission_decision decide_at(const stream_admission& state, const admission_request& request,
                             const queue_place& place, admission_reason reason, time_point now)
{
    const milliseconds wait = place.is_first ? milliseconds{0} : expected_wait(state, request, place, now);
    if (now + wait + state.first_event > request.leaves_at) {
        return {admission_action::refuse, admission_reason::no_capacity_in_time,
                retry_after(state, request, place), 0};
    }
    return {admission_action::wait, reason, {0}, 0};
}

bool is_evicted_before(const admission_request& a, const admission_request& b)
{
    return std::tie(a.priority, a.id) > std::tie(b.priority, b.id);
}

} // namespace

std::string_view name_of(admission_reason reason)
{
    switch (reason) {
    case admission_reason::none:
        return "none";
    case admission_reason::others_wait:
        return "others_wait";
    case admission_reason::no_room:
        return "no_room";
    case admission_reason::spread:
        return "spread";
    case admission_reason::engine_refused:
        return "engine_refused";
    case admission_reason::no_capacity_in_time:
        return "no_capacity_in_time";
    case admission_reason::queue_full:
        return "queue_full";
    case admission_reason::half_objective:
        return "half_objective";
    }
    return "none";
}

time_point leaving_time(time_point began, milliseconds latency_objective, milliseconds gap_objective)
{
    return began + std::max({least_patience, latency_objective * patience_in_latencies,
                             gap_objective * patience_in_gaps});
}

void note_arrival(stream_admission& state, const admission_request& request, time_point now)
{
    decay_to(state, now);
    admission_counts& organisation = state.organisations[request.organisation];
    for (admission_counts* counts : {&state.priorities[request.priority], &organisation}) {
        counts->arrived += 1;
        counts->arrived_cost += request.cost;
    }
}

bool waits_behind_others(const stream_admission& state, const admission_request& request, time_point now)
{
    return std::ranges::any_of(
               state.waiting,
               [&](const admission_request& other) { return other.priority <= request.priority; }) &&
           !must_go(state, request, now);
}

admission_decision decide_wait(const stream_admission& state, const admission_request& request,
                               admission_reason reason, time_point now)
{
    return decide_at(state, request, place_of(state, request, now), reason, now);
}

milliseconds retry_after_for(const stream_admission& state, const admission_request& request, time_point now)
{
    return retry_after(state, request, place_of(state, request, now));
}

admission_decision decide_arrival(stream_admission& state, const admission_request& request,
                                  const admission_path& path, double draw, time_point now)
{
    // Without a path the stream is handled as one that finds none.
    if (!path.exists) {
        return {};
    }
    state.first_event = path.first_event;
    const double limit = limit_for(state, request.priority);
    if (has_room(path, request, limit, draw)) {
        return {admission_action::send, admission_reason::none, {0}, limit};
    }
    if (must_go(state, request, now)) {
        return {admission_action::send, admission_reason::half_objective, {0}, limit};
    }
    admission_decision decision = decide_wait(state, request, admission_reason::no_room, now);
    decision.limit = limit;
    return decision;
}

admission_decision decide_first(stream_admission& state, const admission_request& request,
                                const admission_path& path, double draw, time_point now)
{
    decay_to(state, now);
    if (!path.exists) {
        return {};
    }
    state.first_event = path.first_event;
    const double limit = limit_for(state, request.priority);
    fill(state, pressure_on(path, request), limit, now);
    if (must_go(state, request, now)) {
        return {admission_action::send, admission_reason::half_objective, {0}, limit};
    }
    if (!has_room(path, request, limit, draw)) {
        return {admission_action::wait, admission_reason::no_room, {0}, limit};
    }
    if (state.credit < state.spread) {
        return {admission_action::wait, admission_reason::spread, {0}, limit};
    }
    state.spread = draw;
    return {admission_action::send, admission_reason::none, {0}, limit};
}

std::optional<admission_request> enqueue(stream_admission& state, const admission_request& request,
                                         const admission_bounds& bounds)
{
    state.waiting.push_back(request);
    state.waiting_bytes += request.bytes;
    if (state.waiting.size() <= bounds.requests && state.waiting_bytes <= bounds.bytes) {
        return std::nullopt;
    }
    const auto last = std::ranges::min_element(state.waiting, is_evicted_before);
    return dequeue(state, last->id);
}

std::optional<admission_request> dequeue(stream_admission& state, std::uint64_t id)
{
    const auto found = std::ranges::find(state.waiting, id, &admission_request::id);
    if (found == state.waiting.end()) {
        return std::nullopt;
    }
    const admission_request removed = *found;
    state.waiting.erase(found);
    state.waiting_bytes -= removed.bytes;
    return removed;
}

const admission_request* first_waiting(const stream_admission& state, time_point now)
{
    const admission_request* first = nullptr;
    rank best;
    for (const admission_request& each : state.waiting) {
        rank own = rank_of(state, each, now);
        if (must_go(state, each, now)) {
            std::get<int>(own) = INT32_MIN;
            std::get<0>(own) = false;
        }
        if (first == nullptr || own < best) {
            first = &each;
            best = own;
        }
    }
    return first;
}

std::vector<admission_refusal> overdue(const stream_admission& state, time_point now)
{
    std::vector<std::pair<rank, const admission_request*>> order;
    order.reserve(state.waiting.size());
    for (const admission_request& each : state.waiting) {
        order.emplace_back(rank_of(state, each, now), &each);
    }
    std::ranges::sort(order);
    std::map<int, double> ahead;
    std::vector<admission_refusal> refused;
    for (const auto& [own, each] : order) {
        const queue_place place{ahead[each->priority], own == order.front().first};
        const admission_decision decision =
            decide_at(state, *each, place, admission_reason::others_wait, now);
        if (decision.action == admission_action::refuse) {
            refused.push_back({each->id, decision});
        } else {
            ahead[each->priority] += 1;
        }
    }
    return refused;
}

time_point next_due(const stream_admission& state)
{
    time_point next = never;
    for (const admission_request& each : state.waiting) {
        next = std::min(next, due_time(state, each));
    }
    return next;
}

void note_sent(stream_admission& state, const admission_request& request, time_point now)
{
    decay_to(state, now);
    admission_counts& organisation = state.organisations[request.organisation];
    state.priorities[request.priority].sent += 1;
    organisation.sent += 1;
    const double begins = std::max(organisation.served, state.virtual_time);
    organisation.served = begins + request.cost;
    if (!state.waiting.empty()) {
        state.virtual_time = begins;
    }
    state.running += request.cost;
    add_credit(state, -request.cost);
}

void note_ended(stream_admission& state, const admission_request& request)
{
    state.running = std::max(0.0, state.running - request.cost);
    add_credit(state, request.cost);
}

// The engine is full, so that the place that the stream leaves goes to nobody.
void note_refused(stream_admission& state, const admission_request& request)
{
    state.running = std::max(0.0, state.running - request.cost);
    state.priorities[request.priority].sent -= 1;
    state.organisations[request.organisation].sent -= 1;
}

} // namespace dandelionstep
