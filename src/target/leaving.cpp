#include "target/leaving.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace dandelionstep {
namespace {

// Keeping the greatest marks by a total order makes the result of a bounded merge independent of the order of
// merges, as without a bound: a dropped mark stays below the kept ones, whose incarnations only grow.
void drop_smallest(leaving_marks& marks)
{
    const auto smallest = std::ranges::min_element(
        marks, {}, [](const leaving_marks::value_type& mark) { return std::tie(mark.second, mark.first); });
    marks.erase(smallest);
}

} // namespace

std::string_view to_string(leaving_source source)
{
    switch (source) {
    case leaving_source::own_report:
        return "own_report";
    case leaving_source::vm_list:
        return "vm_list";
    case leaving_source::refusal:
        return "refusal";
    case leaving_source::peer:
        return "peer";
    }
    return "unknown";
}

bool mark_leaving(leaving_marks& marks, const target_id& target, incarnation leaving)
{
    const auto [found, inserted] = marks.try_emplace(target, leaving);
    if (!inserted) {
        const bool newer = leaving > found->second;
        found->second = std::max(found->second, leaving);
        return newer;
    }
    if (marks.size() > max_leaving_marks) {
        drop_smallest(marks);
        return marks.contains(target);
    }
    return true;
}

bool merge(leaving_marks& marks, const leaving_marks& other)
{
    bool changed = false;
    for (const auto& [target, leaving] : other) {
        changed = mark_leaving(marks, target, leaving) || changed;
    }
    return changed;
}

leaving_marks choose_marks(const leaving_marks& marks, mark_times& learned, const mark_message_limits& limits,
                           time_point now)
{
    std::erase_if(learned, [&](const auto& entry) { return now - entry.second >= limits.fresh_for; });
    leaving_marks chosen;
    for (const auto& [target, at] : learned) {
        const auto mark = marks.find(target);
        if (mark != marks.end() && chosen.size() < limits.max_fresh) {
            chosen.insert(*mark);
        }
    }
    if (marks.empty()) {
        return chosen;
    }
    const std::size_t turns = (marks.size() + limits.marks_per_turn - 1) / limits.marks_per_turn;
    const std::size_t turn = static_cast<std::size_t>(now.count / limits.turn.count) % turns;
    auto next = std::next(marks.begin(), static_cast<std::ptrdiff_t>(turn * limits.marks_per_turn));
    for (std::size_t i = 0; i < limits.marks_per_turn && next != marks.end(); ++i, ++next) {
        chosen.insert(*next);
    }
    return chosen;
}

bool is_marked(const leaving_marks& marks, const target_id& target, incarnation started)
{
    const auto found = marks.find(target);
    return found != marks.end() && found->second >= started;
}

listed_verdict assess_listing(const listed_target& listed, const known_incarnation& known,
                              time_point listed_at)
{
    if (!listed.leaving) {
        return listed_verdict::not_leaving;
    }
    if (listed.started) {
        return *listed.started >= known.started ? listed_verdict::leaving : listed_verdict::not_leaving;
    }
    if (known.started == incarnation{}) {
        return listed_verdict::avoid;
    }
    if (known.first_seen <= listed_at) {
        return listed_verdict::leaving;
    }
    // The list is older than the first sight of this incarnation, so it may mean the previous one.
    return known.replaced_older ? listed_verdict::not_leaving : listed_verdict::avoid;
}

} // namespace dandelionstep
