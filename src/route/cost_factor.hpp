#pragma once

namespace dandelionstep {

//! A factor on an engine's cost for a stream that moves, from a draw uniform in [0, 1). Of engines with such
//! factors each is cheapest with a probability in proportion to its speed. Answers the load of an engine that
//! dies: all its streams move in the same moment, from many daemons that don't see each other's choices, and
//! would all be read again by the one engine that was cheapest before.
double moved_stream_cost_factor(double draw);

//! The same for a new request: engines that cost nearly the same take turns. Answers the load of hundreds of
//! daemons that choose within the second in which they don't see each other's choices.
double new_request_cost_factor(double draw);

} // namespace dandelionstep
