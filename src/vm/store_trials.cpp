#include "vm/store_trials.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr std::int64_t first_tries = 2;
// However long nobody is let in, no more of them knock at the store together.
constexpr std::int64_t most_tries = 8;
constexpr std::int64_t later_tries = 2;

struct place_in_cycle {
    //! The round in which the daemon tries.
    std::int64_t round = 0;
    std::int64_t rounds = 0;
};

// Twice as many try after each round that found nobody, up to the bound.
place_in_cycle place_in_first_cycle(std::int64_t siblings, std::int64_t position)
{
    place_in_cycle place;
    std::int64_t begin = 0;
    for (std::int64_t tries = first_tries; begin < siblings; tries = std::min(tries * 2, most_tries)) {
        place.round += position >= begin + tries ? 1 : 0;
        begin += tries;
        ++place.rounds;
    }
    return place;
}

place_in_cycle place_in_later_cycle(std::int64_t siblings, std::int64_t position)
{
    return {position / later_tries, (siblings + later_tries - 1) / later_tries};
}

} // namespace

bool tries_store(store_trials& trials, std::int64_t siblings, double draw)
{
    siblings = std::max<std::int64_t>(1, siblings);
    if (!trials.is_drawn) {
        trials.position = std::min(draw, 1.0);
        trials.is_drawn = true;
    }
    const auto position =
        std::min(static_cast<std::int64_t>(trials.position * static_cast<double>(siblings)), siblings - 1);
    const place_in_cycle place = trials.is_first_cycle ? place_in_first_cycle(siblings, position)
                                                       : place_in_later_cycle(siblings, position);
    const bool tries = trials.round == place.round;
    ++trials.round;
    if (trials.round >= place.rounds) {
        trials = {.is_first_cycle = false};
    }
    return tries;
}

} // namespace dandelionstep
