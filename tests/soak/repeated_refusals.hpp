#pragma once

#include <event2/buffer.h>
#include <string>

namespace dandelionstep::soak {

//! A whole refusal without a body; empty when the bytes are something else.
std::string refusal_in(evbuffer* input);

//! The same refusal without the id of the request that it refused.
std::string without_id(const std::string& refusal);

//! Whether the bytes begin with a request.
bool begins_request(evbuffer* input);

} // namespace dandelionstep::soak
