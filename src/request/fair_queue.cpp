#include "request/fair_queue.hpp"

#include <algorithm>

namespace dandelionstep {

std::optional<request_priority> parse_priority(std::string_view text)
{
    if (text == "interactive") {
        return request_priority::interactive;
    }
    if (text.empty() || text == "normal") {
        return request_priority::normal;
    }
    return text == "batch" ? std::optional(request_priority::batch) : std::nullopt;
}

bool fair_queue::flow::empty() const
{
    return std::ranges::all_of(this->waiting, [](const auto& list) { return list.empty(); });
}

void fair_queue::push(queued_request added)
{
    flow& own = this->flows[added.organisation];
    if (own.empty()) {
        // An organisation that was idle starts at the current virtual time; it does not accumulate credit.
        own.served = std::max(own.served, this->virtual_time);
    }
    own.weight = added.weight;
    own.queued_cost += added.cost;
    this->total_cost += added.cost;
    ++this->count;
    own.waiting[static_cast<std::size_t>(added.priority)].push_back(std::move(added));
}

queued_request fair_queue::take(flow& from, std::deque<queued_request>& list,
                                const std::deque<queued_request>::const_iterator& at)
{
    queued_request taken = *at;
    list.erase(at);
    from.queued_cost -= taken.cost;
    this->total_cost -= taken.cost;
    --this->count;
    return taken;
}

std::optional<queued_request> fair_queue::pop(const std::map<organisation_id, bool>& at_limit)
{
    flow* next = nullptr;
    for (auto& [id, each] : this->flows) {
        const auto held = at_limit.find(id);
        if (!each.empty() && (held == at_limit.end() || !held->second) &&
            (next == nullptr || each.served < next->served)) {
            next = &each;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    auto& list = *std::ranges::find_if(next->waiting, [](const auto& each) { return !each.empty(); });
    queued_request taken = this->take(*next, list, list.begin());
    this->virtual_time = std::max(this->virtual_time, next->served);
    next->served += taken.cost / next->weight;
    return taken;
}

std::optional<queued_request> fair_queue::drop_longest()
{
    flow* longest = nullptr;
    for (auto& [id, each] : this->flows) {
        if (!each.empty() &&
            (longest == nullptr || each.queued_cost / each.weight > longest->queued_cost / longest->weight)) {
            longest = &each;
        }
    }
    if (longest == nullptr) {
        return std::nullopt;
    }
    const auto list = std::find_if(longest->waiting.rbegin(), longest->waiting.rend(),
                                   [](const auto& each) { return !each.empty(); });
    return this->take(*longest, *list, std::prev(list->end()));
}

std::optional<queued_request> fair_queue::remove(const request_id& wanted)
{
    for (auto& [id, each] : this->flows) {
        for (auto& list : each.waiting) {
            const auto found = std::ranges::find(list, wanted, &queued_request::id);
            if (found != list.end()) {
                return this->take(each, list, found);
            }
        }
    }
    return std::nullopt;
}

std::vector<queued_request> fair_queue::remove_late(time_point now, double token_ms)
{
    const auto is_late = [&](const queued_request& waiting) {
        const milliseconds service{static_cast<std::int64_t>(waiting.cost * token_ms)};
        return now > waiting.start_by || now + service > waiting.deadline;
    };
    std::vector<queued_request> late;
    for (auto& [id, each] : this->flows) {
        for (auto& list : each.waiting) {
            for (auto at = list.begin(); at != list.end();) {
                if (!is_late(*at)) {
                    ++at;
                    continue;
                }
                const auto index = at - list.begin();
                late.push_back(this->take(each, list, at));
                at = list.begin() + index;
            }
        }
    }
    return late;
}

// A request waits for its organisation's own queue, which is served at its weighted share. The other queues
// delay it by no more than the work that they hold.
double fair_queue::work_ahead(const organisation_id& organisation, double weight,
                              request_priority priority) const
{
    double own = 0;
    double weights = weight;
    for (const auto& [id, each] : this->flows) {
        if (id == organisation) {
            for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
                for (const queued_request& waiting : each.waiting[i]) {
                    own += waiting.cost;
                }
            }
        } else if (!each.empty()) {
            weights += each.weight;
        }
    }
    return std::min(own * weights / weight, this->total_cost);
}

} // namespace dandelionstep
