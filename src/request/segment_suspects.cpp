#include "request/segment_suspects.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace dandelionstep {
namespace {

// Bounds the size of a message: a report takes some 100 bytes for each crash.
constexpr std::size_t max_reports = 128;

// Parts of the propagation time, in percent: after the first crash the daemon that lost the target tries the
// segment, and a crash that comes later than the other time belongs to that trial.
constexpr std::int64_t first_trial_after = 50;
constexpr std::int64_t round_length = 40;
// The part in which a trial ends, and its end is known; suspects of one crash are tried one after the other,
// so that each crash under a trial has one cause.
constexpr std::int64_t trial_length = 30;
constexpr std::int64_t max_turn = 5;
// Segments that many requests share are often aboard a target that crashes for another reason; one of which
// an answer began is judged more mildly up to this round.
constexpr int rounds_beyond_chance = 3;
// So many crashes in the first round are rarely chance for a segment that was not answered.
constexpr std::size_t many_crashes = 5;
// A segment is refused for longer than this level says only if it was aboard at a third of the crashes.
constexpr int level_of_doubt = 2;
constexpr std::size_t max_other_crashes = 2;

time_point last_crash(const segment_suspect& suspect)
{
    time_point last{0};
    for (const auto& [id, crash] : suspect.crashes) {
        last = std::max(last, crash.at);
    }
    return last;
}

bool is_open(const segment_suspect& suspect, crash_id id)
{
    const auto found = suspect.crashes.find(id);
    return found != suspect.crashes.end() && !found->second.is_cleared;
}

bool was_ever_cleared(const segment_suspect& suspect)
{
    return std::ranges::any_of(suspect.crashes, [](const auto& entry) { return entry.second.is_cleared; });
}

// How much speaks against a suspect: first the crashes at which no other segment of the prompt could be the
// cause, then all that no answer has cleared.
struct segment_evidence {
    std::int64_t alone = 0;
    std::int64_t open = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend auto operator<=>(const segment_evidence&, const segment_evidence&) = default;
};

segment_evidence evidence_of(const segment_suspect& suspect)
{
    segment_evidence evidence;
    for (const auto& [id, crash] : suspect.crashes) {
        evidence.open += crash.is_cleared ? 0 : 1;
        evidence.alone += crash.is_cleared || !crash.is_alone ? 0 : 1;
    }
    return evidence;
}

// Whether an answer to a request with the segment has ever begun.
bool was_answered(const segment_suspects& known, segment_fingerprint segment, const segment_suspect& suspect,
                  time_point now)
{
    return was_ever_cleared(suspect) || was_segment_answered(known, segment, now);
}

// Whether another segment that was aboard at the crash is its cause: one that has crashed a target alone, and
// against which more speaks.
bool is_explained(const segment_suspects& known, const segment_suspect& suspect, crash_id crash,
                  time_point now)
{
    const segment_evidence own = evidence_of(suspect);
    return std::ranges::any_of(known.alone, [&](segment_fingerprint segment) {
        const segment_suspect& strong = known.suspects.at(segment);
        if (!is_open(strong, crash)) {
            return false;
        }
        const segment_evidence other = evidence_of(strong);
        return other.alone > 0 && other > own && !was_answered(known, segment, strong, now);
    });
}

// The crashes that no answer has cleared and no other segment explains, in order of time.
std::vector<segment_crash> open_crashes(const segment_suspects& known, const segment_suspect& suspect,
                                        time_point now)
{
    std::vector<segment_crash> open;
    for (const auto& [id, crash] : suspect.crashes) {
        if (!crash.is_cleared && !is_explained(known, suspect, id, now)) {
            open.push_back(crash);
        }
    }
    std::ranges::sort(open, {}, &segment_crash::at);
    return open;
}

int rounds_of(const std::vector<segment_crash>& crashes, milliseconds length)
{
    int rounds = 0;
    time_point began{0};
    for (const segment_crash& crash : crashes) {
        if (rounds == 0 || crash.at - began >= length) {
            ++rounds;
            began = crash.at;
        }
    }
    return rounds;
}

int level_of_answered(int rounds)
{
    return rounds < rounds_beyond_chance ? rounds - 1 : rounds;
}

// The crash of the suspect, of those that no answer has cleared, at which fewest others were aboard.
const segment_crash_record* least_crowded(const segment_suspects& known, const segment_suspect& suspect)
{
    const segment_crash_record* least = nullptr;
    for (const auto& [id, crash] : suspect.crashes) {
        const segment_crash_record& record = known.crashes.at(id);
        if (!crash.is_cleared && (least == nullptr || record.aboard.size() < least->aboard.size())) {
            least = &record;
        }
    }
    return least;
}

// Whether the other one was aboard at each crash of the suspect that no answer has cleared.
bool is_aboard_all(const segment_suspect& other, const segment_suspect& suspect)
{
    return std::ranges::all_of(suspect.crashes, [&other](const auto& crash) {
        return crash.second.is_cleared || is_open(other, crash.first);
    });
}

// Whether no other segment that was never answered was aboard at each crash of the suspect.
bool is_only_suspect(const segment_suspects& known, segment_fingerprint segment,
                     const segment_suspect& suspect, time_point now)
{
    const segment_crash_record* least = least_crowded(known, suspect);
    return least == nullptr || std::ranges::none_of(least->aboard, [&](segment_fingerprint id) {
               const segment_suspect& other = known.suspects.at(id);
               return id != segment && is_aboard_all(other, suspect) && !was_answered(known, id, other, now);
           });
}

// Where nothing else was aboard at all of the crashes, no trial is needed.
int level_of_unanswered(const segment_suspects& known, segment_fingerprint segment, int rounds,
                        std::size_t crashes, time_point now)
{
    if (rounds > 1) {
        return rounds + 1;
    }
    const bool is_proved = crashes >= many_crashes ||
                           (crashes > 1 && is_only_suspect(known, segment, known.suspects.at(segment), now));
    return is_proved ? level_of_doubt + 1 : std::min(static_cast<int>(crashes), level_of_doubt);
}

// Whether the segment was aboard at a good part of the crashes around its own. Where targets crash one after
// the other for another reason, many segments are aboard at a few crashes each.
bool stands_out(const segment_suspects& known, const segment_suspect& suspect,
                const std::vector<segment_crash>& open)
{
    std::size_t others = 0;
    for (const auto& [id, record] : known.crashes) {
        const bool is_near = std::ranges::any_of(open, [&, at = record.at](const segment_crash& own) {
            const milliseconds apart = std::max(at, own.at) - std::min(at, own.at);
            return apart <= known.limits.propagation_time;
        });
        others += is_near && !suspect.crashes.contains(id) ? 1 : 0;
    }
    return others <= open.size() * max_other_crashes;
}

milliseconds part_of(milliseconds span, std::int64_t percent)
{
    return span * percent / 100;
}

// The time after the last crash for which nothing with the segment is sent. The daemon that lost the target
// tries the segment first; the others wait until they must know what became of that, and do not begin
// together.
milliseconds hold_of(const segment_suspects& known, int level, bool is_own)
{
    const std::vector<milliseconds>& refused_for = known.limits.refused_for;
    const auto index = std::min(static_cast<std::size_t>(std::max(level - 2, 0)), refused_for.size() - 1);
    const milliseconds own =
        level == 1 ? part_of(known.limits.propagation_time, first_trial_after) : refused_for[index];
    const milliseconds stagger{static_cast<std::int64_t>(known.stagger * static_cast<double>(own.count))};
    return is_own ? own : own * 2 + stagger;
}

// Whether one is tried before the other, in an order on which all daemons agree.
bool is_tried_before(const segment_suspects& known, segment_fingerprint a, segment_fingerprint b)
{
    const segment_evidence of_a = evidence_of(known.suspects.at(a));
    const segment_evidence of_b = evidence_of(known.suspects.at(b));
    return of_a != of_b ? of_a > of_b : a < b;
}

// Takes the suspect of the crash among those that are tried first, if it belongs there.
void put_in_order(const segment_suspects& known, const segment_crash_record& record,
                  segment_fingerprint segment)
{
    std::erase(record.first, segment);
    const auto at = std::ranges::find_if(
        record.first, [&](segment_fingerprint other) { return is_tried_before(known, segment, other); });
    record.first.insert(at, segment);
    record.first.resize(std::min(record.first.size(), static_cast<std::size_t>(max_turn)));
}

// The suspects of the crash that are tried first. They are looked for among all that were aboard from time to
// time only, as hundreds of requests may ask at once.
const std::vector<segment_fingerprint>& first_of(const segment_suspects& known, crash_id id, time_point now)
{
    constexpr milliseconds validity{1'000};
    const segment_crash_record& record = known.crashes.at(id);
    if (record.first_as_of && now - *record.first_as_of < validity) {
        return record.first;
    }
    record.first.clear();
    record.first_as_of = now;
    for (const segment_fingerprint segment : record.aboard) {
        const segment_suspect& suspect = known.suspects.at(segment);
        if (is_open(suspect, id) && !was_answered(known, segment, suspect, now)) {
            put_in_order(known, record, segment);
        }
    }
    return record.first;
}

// To be called when an answer cleared the suspect, or it was not aboard any more.
void leave_order(const segment_crash_record& record, segment_fingerprint segment)
{
    if (std::ranges::find(record.first, segment) != record.first.end()) {
        record.first_as_of.reset();
    }
}

void forget_crash(segment_suspects& known, segment_fingerprint segment, crash_id id)
{
    const auto found = known.crashes.find(id);
    found->second.aboard.erase(segment);
    leave_order(found->second, segment);
    if (found->second.aboard.empty()) {
        known.crashes.erase(found);
    }
}

// Cleared crashes go first, then the oldest, so that the result of merging does not depend on the order.
void limit_crashes(segment_suspects& known, segment_fingerprint segment)
{
    segment_suspect& suspect = known.suspects.at(segment);
    while (suspect.crashes.size() > known.limits.max_crashes) {
        const auto least = std::ranges::min_element(suspect.crashes, {}, [](const auto& entry) {
            return std::pair(!entry.second.is_cleared, entry.second.at);
        });
        forget_crash(known, segment, least->first);
        suspect.crashes.erase(least);
    }
}

// What speaks against the suspect has changed, and so has its place among those of all its crashes.
void renew_order(segment_suspects& known, segment_fingerprint segment, time_point now)
{
    const segment_suspect& suspect = known.suspects.at(segment);
    const bool is_answered = was_answered(known, segment, suspect, now);
    for (const auto& [id, crash] : suspect.crashes) {
        const segment_crash_record& record = known.crashes.at(id);
        if (is_answered || crash.is_cleared) {
            leave_order(record, segment);
        } else if (record.first_as_of) {
            put_in_order(known, record, segment);
        }
    }
}

// False when that was known.
bool put_crash(segment_suspects& known, segment_fingerprint segment, crash_id id, const segment_crash& crash,
               time_point now)
{
    segment_suspect& suspect = known.suspects[segment];
    const auto [found, is_new] = suspect.crashes.emplace(id, crash);
    const segment_crash before = found->second;
    found->second.is_own = before.is_own || crash.is_own;
    found->second.is_alone = before.is_alone || crash.is_alone;
    found->second.is_cleared = before.is_cleared || crash.is_cleared;
    if (!is_new && found->second == before) {
        return false;
    }
    const auto record = known.crashes.try_emplace(id, segment_crash_record{crash.at, {}, {}, {}}).first;
    record->second.aboard.insert(segment);
    if (crash.is_alone) {
        known.alone.insert(segment);
    }
    limit_crashes(known, segment);
    renew_order(known, segment, now);
    return true;
}

void forget_suspect(segment_suspects& known, segment_fingerprint segment)
{
    const auto found = known.suspects.find(segment);
    for (const auto& [id, crash] : found->second.crashes) {
        forget_crash(known, segment, id);
    }
    known.alone.erase(segment);
    known.suspects.erase(found);
}

// How much a suspect is worth keeping. Of those that differ in nothing else, chance decides after each crash
// anew, so that no segment is overlooked each time.
using suspect_worth = std::tuple<bool, std::int64_t, bool, std::uint64_t>;

std::uint64_t mix(std::int64_t a, std::int64_t b)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    const std::uint64_t product =
        (static_cast<std::uint64_t>(a) ^ static_cast<std::uint64_t>(b)) * multiplier;
    return (product ^ (product >> 32U)) * multiplier;
}

suspect_worth worth_of(const segment_suspects& known, segment_fingerprint segment, time_point now)
{
    constexpr milliseconds recent{60'000};
    const segment_suspect& suspect = known.suspects.at(segment);
    return {!was_answered(known, segment, suspect, now), evidence_of(suspect).open,
            now - last_crash(suspect) < recent, mix(segment.value, suspect.crashes.rbegin()->first.value)};
}

// Some more than necessary are removed at a time, as finding them takes a look at each.
void limit_suspects(segment_suspects& known, time_point now)
{
    constexpr std::size_t parts_removed = 8;
    const std::size_t most = known.limits.max_suspects;
    if (known.suspects.size() <= most) {
        return;
    }
    std::vector<std::pair<suspect_worth, segment_fingerprint>> all;
    all.reserve(known.suspects.size());
    for (const auto& [segment, suspect] : known.suspects) {
        all.emplace_back(worth_of(known, segment, now), segment);
    }
    const std::size_t removed = all.size() - most + most / parts_removed;
    std::ranges::nth_element(all, all.begin() + static_cast<std::ptrdiff_t>(removed));
    all.resize(removed);
    for (const auto& [worth, segment] : all) {
        forget_suspect(known, segment);
    }
}

void expire_at_times(segment_suspects& known, time_point now)
{
    constexpr milliseconds interval{1'000};
    if (now - known.expired_at >= interval) {
        expire(known, now);
    } else {
        limit_suspects(known, now);
    }
}

// Whether all segments of the prompt that may be the cause of the suspect's crashes were aboard at each of
// them, like the suspect itself. Then an answer clears all of them, and after a crash nothing else explains
// the crashes.
bool stands_for_others(const segment_suspects& known, const segment_suspect& suspect,
                       const std::vector<prompt_segment>& of_request, time_point now)
{
    return std::ranges::all_of(of_request, [&](const prompt_segment& segment) {
        const auto other = known.suspects.find(segment.fingerprint);
        return other == known.suspects.end() || was_answered(known, other->first, other->second, now) ||
               is_aboard_all(other->second, suspect);
    });
}

// The crashes of the suspect, of those that no answer has cleared, that another one may have caused. Where
// the suspect crashed a target alone, one against which less speaks did not.
std::set<crash_id> crashes_caused_by(const segment_suspect& other, const segment_suspect& suspect)
{
    const bool is_as_strong = evidence_of(other) >= evidence_of(suspect);
    std::set<crash_id> caused;
    for (const auto& [id, crash] : suspect.crashes) {
        if (!crash.is_cleared && is_open(other, id) && (is_as_strong || !crash.is_alone)) {
            caused.insert(id);
        }
    }
    return caused;
}

// Whether a request with the segment can tell if the cause is in its prompt: suspects that are not in it may
// have been the causes of all crashes. One cause of all of them is likelier than another for each. Several
// segments that always come together are tried together: each would keep the others from it for ever.
bool would_tell(const segment_suspects& known, segment_fingerprint segment,
                const std::vector<prompt_segment>& of_request, time_point now)
{
    const segment_suspect& suspect = known.suspects.at(segment);
    if (!stands_for_others(known, suspect, of_request, now)) {
        return false;
    }
    std::size_t most_caused = 0;
    std::set<crash_id> all_caused;
    std::set<segment_fingerprint> seen;
    for (const prompt_segment& own : of_request) {
        seen.insert(own.fingerprint);
    }
    for (const auto& [crash, facts] : suspect.crashes) {
        for (const segment_fingerprint id : known.crashes.at(crash).aboard) {
            const segment_suspect& other = known.suspects.at(id);
            if (!seen.insert(id).second || was_answered(known, id, other, now)) {
                continue;
            }
            const std::set<crash_id> caused = crashes_caused_by(other, suspect);
            most_caused = std::max(most_caused, caused.size());
            all_caused.insert(caused.begin(), caused.end());
            if (most_caused > 1 && std::ssize(all_caused) == evidence_of(suspect).open) {
                return true;
            }
        }
    }
    return false;
}

// How many suspects of the same crashes are tried before this one, in an order on which all daemons agree.
// A segment that was answered waits for none: it is popular, and seldom the cause.
std::int64_t turn_of(const segment_suspects& known, segment_fingerprint segment, time_point now)
{
    const segment_suspect& suspect = known.suspects.at(segment);
    if (was_answered(known, segment, suspect, now)) {
        return 0;
    }
    std::set<segment_fingerprint> before;
    for (const auto& [id, crash] : suspect.crashes) {
        if (crash.is_cleared) {
            continue;
        }
        for (const segment_fingerprint other : first_of(known, id, now)) {
            if (is_tried_before(known, other, segment)) {
                before.insert(other);
            }
        }
    }
    return std::min<std::int64_t>(std::ssize(before), max_turn);
}

segment_verdict verdict_at(const segment_suspects& known, segment_fingerprint segment, int level,
                           time_point now)
{
    const segment_crash last = open_crashes(known, known.suspects.at(segment), now).back();
    milliseconds hold = hold_of(known, level, last.is_own);
    if (level == 1) {
        hold = hold + part_of(known.limits.propagation_time, trial_length) * turn_of(known, segment, now);
    }
    const milliseconds remaining = hold - (now - last.at);
    if (remaining <= milliseconds{0}) {
        return {segment_permission::trial, {0}, milliseconds{0} - remaining};
    }
    return {level == 1 ? segment_permission::wait : segment_permission::refused, remaining, {0}};
}

bool is_stricter(const segment_verdict& a, const segment_verdict& b)
{
    return std::tuple(a.permission, a.remaining, b.due_for) >
           std::tuple(b.permission, b.remaining, a.due_for);
}

} // namespace

std::vector<prompt_segment> note_crash(segment_suspects& known, const observed_crash& crash, time_point now)
{
    const auto is_answered = [&](const prompt_segment& segment) {
        return was_segment_answered(known, segment.fingerprint, now);
    };
    const auto unanswered =
        std::ranges::ssize(crash.segments.get()) - std::ranges::count_if(crash.segments, is_answered);
    std::vector<prompt_segment> changed;
    for (const prompt_segment& segment : crash.segments) {
        const bool is_alone = crash.was_trial && unanswered - (is_answered(segment) ? 0 : 1) == 0;
        if (put_crash(known, segment.fingerprint, crash.id, {crash.at, true, is_alone, false}, now)) {
            changed.push_back(segment);
        }
    }
    expire_at_times(known, now);
    return changed;
}

bool note_segment_answered(segment_suspects& known, segment_fingerprint segment, time_point now)
{
    note_answered(known.answered, segment, now);
    const auto found = known.suspects.find(segment);
    if (found == known.suspects.end()) {
        return false;
    }
    bool clears = false;
    for (auto& [id, crash] : found->second.crashes) {
        clears = !std::exchange(crash.is_cleared, true) || clears;
        leave_order(known.crashes.at(id), segment);
    }
    return clears;
}

bool was_segment_answered(const segment_suspects& known, segment_fingerprint segment, time_point now)
{
    return last_answer(known.answered, segment, now).has_value();
}

int suspicion_level(const segment_suspects& known, segment_fingerprint segment, time_point now)
{
    const auto found = known.suspects.find(segment);
    if (found == known.suspects.end()) {
        return 0;
    }
    const std::vector<segment_crash> open = open_crashes(known, found->second, now);
    if (open.empty() || now - open.back().at >= known.limits.lifetime) {
        return 0;
    }
    const int rounds = rounds_of(open, part_of(known.limits.propagation_time, round_length));
    const int level = was_answered(known, segment, found->second, now)
                          ? level_of_answered(rounds)
                          : level_of_unanswered(known, segment, rounds, open.size(), now);
    const bool is_doubtful = level > level_of_doubt && !stands_out(known, found->second, open);
    return is_doubtful ? level_of_doubt : level;
}

segment_verdict verdict_of(const segment_suspects& known, const std::vector<prompt_segment>& segments,
                           time_point now)
{
    segment_verdict strictest;
    if (known.suspects.empty()) {
        return strictest;
    }
    for (const prompt_segment& segment : segments) {
        const int level = suspicion_level(known, segment.fingerprint, now);
        if (level <= 0) {
            continue;
        }
        const bool is_trial_due = level > 1 && would_tell(known, segment.fingerprint, segments, now);
        const segment_verdict one = verdict_at(known, segment.fingerprint, is_trial_due ? 1 : level, now);
        strictest = is_stricter(one, strictest) ? one : strictest;
    }
    return strictest;
}

std::optional<trial_name> exclusive_trial(const segment_suspects& known, segment_fingerprint segment,
                                          time_point now)
{
    const auto found = known.suspects.find(segment);
    if (found == known.suspects.end() || was_answered(known, segment, found->second, now) ||
        suspicion_level(known, segment, now) <= 0) {
        return std::nullopt;
    }
    trial_name trial{segment, 0};
    for (const auto& [id, crash] : found->second.crashes) {
        trial.crashes ^= crash.is_cleared ? 0 : id.value;
    }
    return trial;
}

void share_segment(segment_suspects& known, segment_fingerprint segment)
{
    const auto found = known.suspects.find(segment);
    if (found == known.suspects.end()) {
        return;
    }
    found->second.is_shared = true;
    note_change(known.changes, segment);
}

bool merge(segment_suspects& known, const segment_report& report, time_point now)
{
    const auto before = known.suspects.find(report.segment);
    const auto crashes_before =
        before == known.suspects.end() ? std::map<crash_id, segment_crash>{} : before->second.crashes;
    const std::optional<time_point> answered = last_answer(known.answered, report.segment, now);
    for (const segment_report::crash& crash : report.crashes) {
        if (crash.age >= known.limits.lifetime) {
            continue;
        }
        const time_point at = now - crash.age;
        put_crash(known, report.segment, crash.id,
                  {at, false, crash.is_alone, crash.is_cleared || (answered && *answered > at)}, now);
    }
    const auto after = known.suspects.find(report.segment);
    if (after == known.suspects.end() || after->second.crashes == crashes_before) {
        return false;
    }
    share_segment(known, report.segment);
    expire_at_times(known, now);
    return true;
}

segment_update segment_updates_since(const segment_suspects& known, std::optional<std::int64_t> sequence,
                                     time_point now)
{
    segment_update update;
    update.sequence = known.changes.sequence;
    const auto changed = sequence ? changed_since(known.changes, *sequence) : std::nullopt;
    std::vector<std::pair<time_point, segment_fingerprint>> chosen;
    for (const auto& [segment, suspect] : known.suspects) {
        if (suspect.is_shared && (!changed || changed->contains(segment))) {
            chosen.emplace_back(last_crash(suspect), segment);
        }
    }
    std::ranges::sort(chosen, std::greater<>());
    chosen.resize(std::min(chosen.size(), max_reports));
    for (const auto& [at, segment] : chosen) {
        update.reports.push_back(segment_report_of(known, segment, now));
    }
    return update;
}

segment_report segment_report_of(const segment_suspects& known, segment_fingerprint segment, time_point now)
{
    segment_report report;
    report.segment = segment;
    for (const auto& [id, crash] : known.suspects.at(segment).crashes) {
        report.crashes.push_back({id, now - crash.at, crash.is_alone, crash.is_cleared});
    }
    return report;
}

void expire(segment_suspects& known, time_point now)
{
    known.expired_at = now;
    std::vector<segment_fingerprint> expired;
    for (const auto& [segment, suspect] : known.suspects) {
        const bool is_cleared = evidence_of(suspect).open == 0;
        const milliseconds lifetime = is_cleared ? known.limits.cleared_lifetime : known.limits.lifetime;
        if (now - last_crash(suspect) >= lifetime) {
            expired.push_back(segment);
        }
    }
    for (const segment_fingerprint segment : expired) {
        forget_suspect(known, segment);
    }
    limit_suspects(known, now);
}

} // namespace dandelionstep
