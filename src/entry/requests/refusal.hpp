#pragma once

#include "entry/requests/accepted_request.hpp"

#include <optional>
#include <string_view>

namespace dandelionstep {

//! When layers that no engine holds can have been loaded elsewhere; nullopt when each is held.
std::optional<milliseconds> layers_return(const entry_context& context, const entry_service& service);

//! When one of the requests that take the engines' memory ends.
std::optional<milliseconds> room_return(const entry_context& context, const entry_service& service);

//! When the first target of a plain service is used again; nullopt when it has none.
std::optional<milliseconds> target_return(const entry_context& context, const service_id& service);

//! When the first of the service's targets ends its rest, if all of them rest; nullopt otherwise.
std::optional<time_point> all_rest_until(const entry_context& context, const service_id& service);

//! Refuses a request that has run nowhere and tells its caller when to come back. `expected`: when capacity
//! is expected, if anything tells.
void refuse_for_now(entry_context& context, const accepted_request& request, std::string_view reason,
                    std::optional<milliseconds> expected);

//! The same while every target that could take it rests until then.
void refuse_until(entry_context& context, const accepted_request& request, std::string_view reason,
                  time_point ready);

//! Why a request is refused or fails whose prompt has a segment that crashes targets.
inline constexpr std::string_view segments_crash_targets = "segment_crashes_targets";

//! Refuses such a request, which has run nowhere.
void refuse_segments(entry_context& context, const accepted_request& request, milliseconds retry_after);

} // namespace dandelionstep
