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

//! The source's name in logs.
std::string_view to_string(leaving_source source);

//! For each target, the newest incarnation of it that is known to be leaving.
using leaving_marks = std::map<target_id, incarnation>;

//! More marks than this are not kept; the ones of the newest incarnations stay.
inline constexpr std::size_t max_leaving_marks = 16384;

//! Notes that an incarnation is leaving; true when that was news. Older incarnations change nothing.
bool mark_leaving(leaving_marks& marks, const target_id& target, incarnation leaving);

//! Takes all marks of `other`; true when any was news. Commutative, associative and idempotent.
bool merge(leaving_marks& marks, const leaving_marks& other);

//! Whether the incarnation of the target, or a newer one, is marked.
bool is_marked(const leaving_marks& marks, const target_id& target, incarnation started);

//! Bounds of what one message carries.
struct mark_message_limits {
    //! Marks learned within this time go into every message.
    milliseconds fresh_for{10'000};
    std::size_t max_fresh = 2048;
    //! The other marks take turns, so many in each turn.
    milliseconds turn{500};
    std::size_t marks_per_turn = 64;
};

//! When marks were learned; only fresh ones are remembered.
using mark_times = std::map<target_id, time_point>;

//! The marks for a message sent now: all fresh ones up to the limit, and those whose turn it is. Forgets
//! times that are no longer fresh. The turn follows the clock alone, so that every peer gets every mark.
leaving_marks choose_marks(const leaving_marks& marks, mark_times& learned, const mark_message_limits& limits,
                           time_point now);

//! A target as the platform's list of VMs shows it.
struct listed_target {
    target_id target;
    bool leaving = false;
    //! Absent when the platform does not name it.
    std::optional<incarnation> started;
};

//! When a daemon met the incarnation of a target that it knows now.
struct known_incarnation {
    incarnation started;
    time_point first_seen;
    //! Whether an older incarnation was seen before this one.
    bool replaced_older = false;
};

//! What an entry of the list of VMs says about the incarnation that is known now.
enum class listed_verdict {
    not_leaving,
    //! May concern an older incarnation: avoid the target while the list says so, but mark nothing.
    avoid,
    //! This incarnation is leaving for good.
    leaving,
};

//! Judges an entry of a list that was true at `listed_at`, which lies in the past by the list's lag.
listed_verdict assess_listing(const listed_target& listed, const known_incarnation& known,
                              time_point listed_at);

} // namespace dandelionstep
