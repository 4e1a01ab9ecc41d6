#pragma once

#include <optional>

namespace dandelionstep {

//! The rank of a request under load control, 0 first: by the priority of its organisation, and among those of
//! equal priority by that of its route. Requests whose organisation has no priority rank by the route alone.
int request_rank(std::optional<int> organisation_priority, int route_priority);

//! The urgency that an engine is told for a rank: 0 to 9, 0 is the most urgent.
int engine_urgency(int rank);

} // namespace dandelionstep
