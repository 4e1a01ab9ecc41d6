#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>

namespace dandelionstep {

//! Where a daemon learned that a target is leaving.
enum class leaving_source { own_report, vm_list, refusal, peer };

//! The name of the source in logs.
std::string_view to_string(leaving_source source);

//! For each target, its newest incarnation that is known to be leaving.
using leaving_marks = std::map<target_id, incarnation>;

//! Most marks that are kept: those of the newest incarnations.
inline constexpr std::size_t max_leaving_marks = 16384;

//! Marks an incarnation as leaving. True if that changed `marks`, which an incarnation older than the marked
//! one doesn't.
bool mark_leaving(leaving_marks& marks, const target_id& target, incarnation leaving);

//! Merges all marks of `other`; true if that changed `marks`. Commutative, associative and idempotent.
bool merge(leaving_marks& marks, const leaving_marks& other);

//! Whether this incarnation of the target, or a newer one, is marked as leaving.
bool is_marked(const leaving_marks& marks, const target_id& target, incarnation started);

//! Bounds on the marks that one message carries.
struct mark_message_limits {
    //! Marks learned within this time are fresh and go into every message, up to `max_fresh` of them.
    milliseconds fresh_for{10'000};
    std::size_t max_fresh = 2048;
    //! All marks are also sent in rotation: `marks_per_turn` of them during each turn of this length.
    milliseconds turn{500};
    std::size_t marks_per_turn = 64;
};

//! When marks were learned; kept for fresh marks only.
using mark_times = std::map<target_id, time_point>;

//! The marks for a message that is sent now: fresh ones up to the limit, and those whose turn it is. The turn
//! depends on the clock alone, so that every peer gets every mark. Removes times that are no longer fresh
//! from `learned`.
leaving_marks choose_marks(const leaving_marks& marks, mark_times& learned, const mark_message_limits& limits,
                           time_point now);

//! A target as the platform's list of VMs shows it.
struct listed_target {
    target_id target;
    bool leaving = false;
    //! Absent when the platform does not report the start.
    std::optional<incarnation> started;
};

//! The incarnation of a target that a daemon knows now, and when it was first seen.
struct known_incarnation {
    incarnation started;
    time_point first_seen;
    //! Whether an older incarnation was seen before this one.
    bool replaced_older = false;
};

//! What an entry of the list of VMs says about the known incarnation.
enum class listed_verdict {
    not_leaving,
    //! The entry may mean an older incarnation: the target is avoided while it is listed so, but not marked.
    avoid,
    //! This incarnation is leaving for good.
    leaving,
};

//! Evaluates an entry of a list that was true at `listed_at`, which is in the past by the list's lag.
listed_verdict assess_listing(const listed_target& listed, const known_incarnation& known,
                              time_point listed_at);

} // namespace dandelionstep
