#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace dandelionstep {

//! How chains are chosen. Policies other than least_cost are baselines for comparison.
enum class chain_policy {
    least_cost,     //!< The chain with the least estimated time for the whole answer.
    random,         //!< A random eligible engine for each stage.
    round_robin,    //!< The eligible engines of a stage in turn.
    least_reported, //!< For each stage, the engine with the least load in its last report.
};

//! The policies and their names in the settings.
inline constexpr std::array chain_policy_names{
    std::pair{std::string_view("least_cost"), chain_policy::least_cost},
    std::pair{std::string_view("random"), chain_policy::random},
    std::pair{std::string_view("round_robin"), chain_policy::round_robin},
    std::pair{std::string_view("least_reported"), chain_policy::least_reported},
};

} // namespace dandelionstep
