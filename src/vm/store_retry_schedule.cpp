#include "vm/store_retry_schedule.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr std::int64_t first_round_tries = 2;
// Bound on the daemons that try the store in the same round, however long it accepts none of them.
constexpr std::int64_t max_tries_per_round = 8;
constexpr std::int64_t tries_per_later_round = 2;

struct place_in_cycle {
    //! The round in which the daemon tries.
    std::int64_t round = 0;
    //! Number of rounds in the cycle.
    std::int64_t rounds = 0;
};

// The number of daemons that try doubles after each round in which the store accepted none, up to the bound.
place_in_cycle place_in_first_cycle(std::int64_t siblings, std::int64_t position)
{
    place_in_cycle place;
    std::int64_t begin = 0;
    for (std::int64_t tries = first_round_tries; begin < siblings;
         tries = std::min(tries * 2, max_tries_per_round)) {
        place.round += position >= begin + tries ? 1 : 0;
        begin += tries;
        ++place.rounds;
    }
    return place;
}

place_in_cycle place_in_later_cycle(std::int64_t siblings, std::int64_t position)
{
    return {position / tries_per_later_round, (siblings + tries_per_later_round - 1) / tries_per_later_round};
}

} // namespace

bool should_try_store(store_retry_schedule& schedule, std::int64_t siblings, double draw)
{
    siblings = std::max<std::int64_t>(1, siblings);
    if (!schedule.has_position) {
        schedule.position = std::min(draw, 1.0);
        schedule.has_position = true;
    }
    const auto position =
        std::min(static_cast<std::int64_t>(schedule.position * static_cast<double>(siblings)), siblings - 1);
    const place_in_cycle place = schedule.is_first_cycle ? place_in_first_cycle(siblings, position)
                                                         : place_in_later_cycle(siblings, position);
    const bool tries = schedule.round == place.round;
    ++schedule.round;
    if (schedule.round >= place.rounds) {
        schedule = {.is_first_cycle = false};
    }
    return tries;
}

} // namespace dandelionstep
