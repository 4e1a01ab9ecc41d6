#include "vm/successor_list.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace dandelionstep;

namespace {

successor_candidate candidate_of(int number, double capacity)
{
    return {{vm_id(absl::StrCat("vm", number)), {"10.0.0.1", 7'000}}, capacity};
}

std::vector<std::string> names_in(const std::vector<peer>& line)
{
    std::vector<std::string> names;
    names.reserve(line.size());
    for (const peer& one : line) {
        names.push_back(one.vm.value);
    }
    return names;
}

// The simpler rule for comparison: the current followers, sorted by capacity.
std::vector<peer> ranked_anew(std::vector<successor_candidate> candidates)
{
    successor_list fresh;
    update_successors(fresh, std::move(candidates), {0});
    return fresh.line;
}

// How many daemons the followers regard as next in line, taken together, if their reader fails just after all
// of them have come.
template <typename Tell>
std::size_t count_next(std::uint64_t seed, Tell tell)
{
    constexpr int followers = 60;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> capacity(2, 40);
    std::vector<successor_candidate> known;
    std::set<std::string> next;
    for (int i = 0; i < followers; ++i) {
        known.push_back(candidate_of(i, capacity(random)));
        next.insert(tell(known, i).front().vm.value);
    }
    return next.size();
}

constexpr time_point start{10'000};

} // namespace

TEST_CASE("followers that come within milliseconds agree on the next reader")
{
    std::size_t most = 0;
    std::size_t most_by_ranking = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        successor_list successors;
        const auto by_line = [&](const auto& known, int i) {
            update_successors(successors, known, start + milliseconds{i});
            return successors.line;
        };
        most = std::max(most, count_next(seed, by_line));
        const auto by_ranking = [](const auto& known, int) { return ranked_anew(known); };
        most_by_ranking = std::max(most_by_ranking, count_next(seed, by_ranking));
    }
    CHECK(most == 1);
    CHECK(most_by_ranking > 5);
}

TEST_CASE("successors are sorted by capacity some seconds after the first one has come")
{
    successor_list successors;
    update_successors(successors, {candidate_of(1, 5)}, start);
    const std::vector<successor_candidate> all{candidate_of(1, 5), candidate_of(2, 9), candidate_of(3, 7),
                                               candidate_of(4, 1), candidate_of(5, 2)};
    update_successors(successors, all, start + milliseconds{100});
    CHECK(names_in(successors.line) == std::vector<std::string>{"vm1", "vm2", "vm3", "vm5"});
    update_successors(successors, all, start + milliseconds{5'000});
    CHECK(names_in(successors.line) == std::vector<std::string>{"vm2", "vm3", "vm1", "vm5"});
}

TEST_CASE("successors of equal capacity change places when the line is sorted, and followers disagree")
{
    successor_list successors;
    const std::vector<successor_candidate> all{candidate_of(1, 5), candidate_of(2, 5), candidate_of(3, 5),
                                               candidate_of(4, 5), candidate_of(5, 5)};
    update_successors(successors, {candidate_of(3, 5)}, start);
    update_successors(successors, {candidate_of(3, 5), candidate_of(5, 5)}, start);
    update_successors(successors, all, start + milliseconds{100});
    const std::vector<std::string> told = names_in(successors.line);
    CHECK(told == std::vector<std::string>{"vm3", "vm5", "vm1", "vm2"});
    update_successors(successors, all, start + milliseconds{5'000});
    CHECK(names_in(successors.line) == told);
    std::vector<successor_candidate> with_abler = all;
    with_abler.push_back(candidate_of(6, 9));
    update_successors(successors, with_abler, start + milliseconds{10'000});
    CHECK(names_in(successors.line) == std::vector<std::string>{"vm6", "vm3", "vm5", "vm1"});
}

TEST_CASE("a daemon that no longer follows leaves the line, and the others keep their order")
{
    successor_list successors;
    update_successors(successors, {candidate_of(1, 5)}, start);
    update_successors(successors, {candidate_of(1, 5), candidate_of(2, 9), candidate_of(3, 7)}, start);
    update_successors(successors, {candidate_of(2, 9), candidate_of(3, 7), candidate_of(4, 8)}, start);
    CHECK(names_in(successors.line) == std::vector<std::string>{"vm2", "vm3", "vm4"});
    update_successors(successors, {}, start);
    CHECK(successors.line.empty());
}
