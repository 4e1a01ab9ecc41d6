#include "target/leaving.hpp"

#include <algorithm>
#include <tuple>

namespace dandelionstep {
namespace {

// Keeping the greatest marks by a total order makes the bounded merge as order-free as the unbounded one: a
// mark that was dropped stays below the kept ones, whose incarnations only grow.
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
    bool news = false;
    for (const auto& [target, leaving] : other) {
        news = mark_leaving(marks, target, leaving) || news;
    }
    return news;
}

bool is_marked(const leaving_marks& marks, const target_id& target, incarnation started)
{
    const auto found = marks.find(target);
    return found != marks.end() && found->second >= started;
}

listed_verdict judge(const listed_target& listed, const incarnation_sighting& known, time_point listed_at)
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
    // The list is older than this incarnation's first sign, so it may speak of the one before.
    return known.replaced_older ? listed_verdict::not_leaving : listed_verdict::avoid;
}

} // namespace dandelionstep
