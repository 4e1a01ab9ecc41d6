#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace dandelionstep {

//! How chains are chosen. All but the first are kept to compare with.
enum class chain_policy {
    least_cost,     //!< Least estimated time of the whole answer.
    random,         //!< Any eligible engine for each stage.
    round_robin,    //!< The engines of a stage in turn.
    least_reported, //!< The engine of each stage that last reported the least load.
};

//! The policies by the names that settings use.
inline constexpr std::array chain_policy_names{
    std::pair{std::string_view("least_cost"), chain_policy::least_cost},
    std::pair{std::string_view("random"), chain_policy::random},
    std::pair{std::string_view("round_robin"), chain_policy::round_robin},
    std::pair{std::string_view("least_reported"), chain_policy::least_reported},
};

} // namespace dandelionstep
