#pragma once

namespace dandelionstep {

//! Random factor on an engine's cost when a stream is moved; `draw` is uniform in [0, 1). It makes each
//! engine the cheapest one with a probability in proportion to its speed. When an engine dies, many daemons
//! move its streams at the same moment without seeing each other's choices; without this factor, they would
//! all repeat the prefill on the one engine that was cheapest before.
double moved_stream_cost_factor(double draw);

//! Smaller random factor for a new request, which spreads requests over engines of nearly the same cost. It
//! takes about a second until daemons see each other's choices, and hundreds of them choose in that time.
double new_request_cost_factor(double draw);

} // namespace dandelionstep
