#pragma once

#include "entry/context/entry_context.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstep {

//! Numbers a change of the target and tells the daemons that follow this one.
void tell_change(entry_context& context, const target_id& target);

//! Takes a target's registration into the daemon's state; a new start of the target forgets what was known of
//! it.
void put_target(entry_context& context, const registered_target& target);

//! Forgets a target that is registered no more.
void drop_target(entry_context& context, const target_id& id);

//! Takes a configuration as the operators wrote it. False when it can't be read or is not newer than the
//! known one; `origin` tells the log where it came from.
bool put_config(entry_context& context, const std::string& text, std::string_view origin);

//! How old a daemon's knowledge is: the store may hold what changed in this time.
struct knowledge_age {
    milliseconds targets{0};
    milliseconds config{0};
};

knowledge_age present_age(const entry_context& context, time_point now);

//! Whether knowledge of that age is new enough for daemons that learn from another one.
bool is_current(const entry_settings& settings, const knowledge_age& age);

//! Whether requests can be routed.
bool can_route(const entry_context& context);

} // namespace dandelionstep
