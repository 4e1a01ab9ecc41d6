#include "vm/membership_table.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace dandelionstep {
namespace {

// Rumours reach everybody with high probability after a few times the logarithm of the group's size.
int tellings_for(std::size_t members)
{
    constexpr int rounds = 3;
    return rounds * static_cast<int>(std::bit_width(members + 1));
}

void refute(membership& state, const member& news)
{
    const bool worse = news.state != member_state::alive && news.started >= state.self.started;
    if (state.self.state != member_state::left && (worse || news.started > state.self.started)) {
        state.self.started = news.started + incarnation{1};
    }
}

void store_member(membership& state, membership_actions& actions, const member& news, time_point now)
{
    known_member& entry = state.others[news.vm];
    const bool state_changed = entry.about.vm != news.vm || entry.about.state != news.state;
    const int tellings = tellings_for(state.others.size());
    entry = {news, now, tellings, tellings};
    if (state_changed) {
        actions.changed.push_back(news);
    }
}

std::uint64_t digest_of(const member& each)
{
    return hash_of(absl::StrCat(each.vm.value, "@", each.started.value));
}

// What was told least often comes first.
std::vector<known_member*> freshest_news(membership& state, bool abroad)
{
    const auto left = [abroad](const known_member& each) {
        return abroad ? each.tellings_abroad : each.tellings;
    };
    std::vector<known_member*> news;
    for (auto& [vm, each] : state.others) {
        if (left(each) > 0) {
            news.push_back(&each);
        }
    }
    std::ranges::stable_sort(news, std::greater<>(), [&](const known_member* each) { return left(*each); });
    news.resize(std::min(news.size(), state.limits.news_per_message));
    return news;
}

} // namespace

bool supersedes(const member& news, const member& known)
{
    return std::tie(news.started, news.state) > std::tie(known.started, known.state);
}

std::uint64_t next_random(membership& state)
{
    state.seed = hash_of(state.self.vm.value, state.seed);
    return state.seed;
}

milliseconds jittered(membership& state, milliseconds interval)
{
    const auto half = static_cast<std::uint64_t>(interval.count / 2);
    return interval * 3 / 4 + milliseconds{static_cast<std::int64_t>(next_random(state) % (half + 1))};
}

void take_member(membership& state, membership_actions& actions, const member& news, time_point now)
{
    if (news.vm == state.self.vm) {
        refute(state, news);
        return;
    }
    // The death of a member that is not known is no news, so that such marks don't circulate for ever.
    const auto found = state.others.find(news.vm);
    const bool is_news = found == state.others.end()
                             ? is_live(news) && state.others.size() < state.limits.max_members
                             : supersedes(news, found->second.about);
    if (is_news) {
        store_member(state, actions, news, now);
        state.heard.try_emplace(news.data_centre, now);
    }
}

void forget_old(membership& state, time_point now)
{
    std::erase_if(state.others, [&](const auto& entry) {
        const known_member& each = entry.second;
        const auto heard = state.heard.find(each.about.data_centre);
        const bool unheard = each.about.data_centre != state.self.data_centre && heard != state.heard.end() &&
                             now - heard->second >= state.limits.unheard_kept;
        return unheard || (!is_live(each.about) && now - each.changed >= state.limits.dead_kept);
    });
}

std::uint64_t table_digest(const membership& state)
{
    std::uint64_t digest = is_live(state.self) ? digest_of(state.self) : 0;
    for (const auto& [vm, each] : state.others) {
        digest += is_live(each.about) ? digest_of(each.about) : 0;
    }
    return digest;
}

std::set<data_centre_id> other_data_centres(const membership& state)
{
    std::set<data_centre_id> all;
    for (const auto& [vm, each] : state.others) {
        if (each.about.data_centre != state.self.data_centre) {
            all.insert(each.about.data_centre);
        }
    }
    return all;
}

member_message make_message(membership& state, const std::optional<vm_id>& receiver, bool everything)
{
    member_message message{.sender = state.self,
                           .members = {},
                           .digest = table_digest(state),
                           .wants_all = false,
                           .probe = {},
                           .confirmed = {}};
    const auto found = receiver ? state.others.find(*receiver) : state.others.end();
    const bool abroad =
        found != state.others.end() && found->second.about.data_centre != state.self.data_centre;
    // A receiver that is not taken for alive must hear so, or it could not refute.
    if (found != state.others.end() && found->second.about.state != member_state::alive) {
        message.members.push_back(found->second.about);
    }
    if (everything) {
        for (const auto& [vm, each] : state.others) {
            message.members.push_back(each.about);
        }
        return message;
    }
    for (known_member* each : freshest_news(state, abroad)) {
        message.members.push_back(each->about);
        --(abroad ? each->tellings_abroad : each->tellings);
    }
    return message;
}

} // namespace dandelionstep
