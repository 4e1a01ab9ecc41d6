#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "common/strong.hpp"
#include "request/recent_answers.hpp"
#include "request/request_fingerprint.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionstep {

//! Identifies a crash: the incarnation of a target that died while it ran a request.
using crash_id = strong_count<struct crash_unit>;

//! The progress of a request when its target died. A request that crashes its targets crashes each of them at
//! the same place.
struct crash_place {
    //! The number of tokens or events that were already delivered to the caller.
    token_count delivered;
    //! The first layer of the target that died.
    layer_index layer;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend constexpr auto operator<=>(crash_place, crash_place) = default;
};

//! The fingerprint of a prompt to a model; equal on every daemon.
request_fingerprint fingerprint_of(const model_id& model, std::string_view prompt);
//! The fingerprint of an HTTP request: `target` is its path and query.
request_fingerprint fingerprint_of(const organisation_id& organisation, std::string_view target,
                                   std::string_view body);
//! The id of the crash of the target's incarnation that began at `started`; equal on every daemon.
crash_id crash_id_of(const target_id& target, incarnation started);

//! Limits of the table of suspects.
struct suspect_limits {
    //! A request is blocked when this many targets crashed at the same place while it was in flight on them,
    //! unless another request was in flight on all of them too.
    std::size_t block_at = 3;
    //! The same for a request that was recently answered completely. When many targets die at once, for
    //! another reason, a harmless request may be in flight on all of them, and no target is left to answer it
    //! and so clear it.
    std::size_t block_answered_at = 5;
    //! The time in which a crash becomes known to every daemon; until then it blocks no request (but see
    //! always_block_at).
    milliseconds propagation_time{100};
    //! At this many crashes, at any place, a request is blocked at once, unless another request was in flight
    //! on all of the same targets and on more that crashed.
    std::size_t always_block_at = 6;
    std::size_t max_crashes = 16;
    //! A suspect expires this long after its last crash.
    milliseconds lifetime{600'000};
    std::size_t max_suspects = 4096;
};

//! A request that was in flight on targets that crashed.
struct suspect {
    //! The crashes (called takedowns on the wire), each with the progress of the request; at most
    //! max_crashes.
    std::map<crash_id, crash_place> takedowns;
    time_point last;
    //! Whether it was answered completely, which proves that it did not cause the crashes.
    bool finished = false;
};

//! The suspects that one daemon knows.
struct suspect_table {
    suspect_limits limits;
    std::map<request_fingerprint, suspect> suspects;
    //! Requests that were answered completely.
    recent_answers<request_fingerprint> answered;
};

//! A suspect as one daemon reports it to another.
struct suspect_report {
    request_fingerprint fingerprint;
    std::vector<std::pair<crash_id, crash_place>> takedowns;
    //! The time since its last crash.
    milliseconds age;
    bool finished = false;
};

enum class suspect_status {
    clear,
    suspected, //!< Runs alone on its targets, if possible.
    blocked,   //!< Is not run until the suspicion expires.
};

//! Notes that an incarnation of a target crashed while the request was in flight on it.
void note_crash(suspect_table& table, request_fingerprint request, crash_id crash, crash_place place,
                time_point now);
//! Notes that a request was answered completely; true if that clears a suspect.
bool note_finished(suspect_table& table, request_fingerprint request, time_point now);

//! How the request is to be treated; `unconfirmed` is the number of its crashes that are not confirmed yet.
suspect_status suspect_status_of(const suspect_table& table, request_fingerprint request,
                                 std::size_t unconfirmed, time_point now);
//! How long the request must not be sent to any target; zero when it may be sent now. A request with enough
//! crashes at one place to be blocked, including `unconfirmed` ones, is held until everything that could
//! clear it is known.
milliseconds held_for(const suspect_table& table, request_fingerprint request, std::size_t unconfirmed,
                      time_point now);
//! The time until the suspicion against the request expires; zero when it is not a suspect.
milliseconds expires_in(const suspect_table& table, request_fingerprint request, time_point now);

//! How long a request whose target just crashed must wait before it is resumed: zero, unless another target
//! crashed at the same place before. Then both crashes must first become known to every daemon, so that it
//! can be decided which request to block.
milliseconds resume_delay(const suspect_table& table, request_fingerprint request, crash_place place,
                          time_point now);

//! The reports for another daemon, the most recent suspects first.
std::vector<suspect_report> reports_of(const suspect_table& table, std::size_t max_reports, time_point now);
//! Merges what another daemon reported; true if that changed the table. A report without crashes means that a
//! known suspect was answered. The order of reports and repetitions do not matter.
bool merge(suspect_table& table, const std::vector<suspect_report>& reports, time_point now);
//! Removes expired suspects, and the least suspicious ones above max_suspects.
void expire(suspect_table& table, time_point now);

//! The sets of targets to avoid for a request, in order of preference. A suspect runs on idle targets if
//! there are any, and no request joins a running suspect on its target while there is another one.
std::vector<std::set<target_id>> targets_to_avoid(suspect_status status, const std::set<target_id>& excluded,
                                                  const std::set<target_id>& busy,
                                                  const std::set<target_id>& running_suspects);

} // namespace dandelionstep
