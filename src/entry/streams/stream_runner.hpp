#pragma once

#include "entry/requests/accepted_request.hpp"
#include "entry/requests/request_tools.hpp"
#include "entry/streams/stream_gate.hpp"

namespace dandelionstep {

//! Carries a streaming request along a path of engines and its events back as they come. When an engine of
//! the path dies, the path is changed behind the first engine, or the stream is resumed on another path after
//! the last event that was passed on. With load control, a new stream is sent when the gate lets it through.
void run_stream(entry_context& context, request_tools& tools, stream_gate& gate, accepted_request request);

} // namespace dandelionstep
