#pragma once

#include "vm/membership.hpp"

namespace dandelionstep {

//! Probes the next live member of this daemon's data centre.
void probe_next(membership& state, membership_actions& actions, time_point now);
//! Asks other members to probe a member that has not answered, and suspects it if they get no answer either.
void check_probes(membership& state, membership_actions& actions, time_point now);
//! Declares members of this daemon's data centre dead that have not refuted a suspicion in time.
void check_suspects(membership& state, membership_actions& actions, time_point now);

} // namespace dandelionstep
