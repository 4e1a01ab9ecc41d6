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

//! Names one target's incarnation that died while it ran a request.
using crash_id = strong_count<struct crash_unit>;

//! Where a request stood when its target died: a request that crashes its targets does so at the same place
//! again.
struct crash_place {
    token_count delivered;
    //! The first layer of the target that died.
    layer_index layer;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend constexpr auto operator<=>(crash_place, crash_place) = default;
};

//! The fingerprint of a question to a model; equal on every daemon.
request_fingerprint fingerprint_of(const model_id& model, std::string_view prompt);
//! The fingerprint of an HTTP request: `target` is its path and query.
request_fingerprint fingerprint_of(const organisation_id& organisation, std::string_view target,
                                   std::string_view body);
crash_id crash_id_of(const target_id& target, incarnation started);

//! Bounds of the table of suspects.
struct suspect_limits {
    //! A request that was aboard this many targets that died at the same place is refused,
    //! unless another request was aboard all of them too.
    std::size_t block_at = 3;
    //! The same for a request that was answered whole shortly before: targets that all die at once had it
    //! aboard, and nobody is left who could answer it and so clear it.
    std::size_t block_answered_at = 5;
    //! The news of the last death has reached every daemon after this time; before, nobody is refused for it.
    milliseconds propagation_time{100};
    //! At this many deaths, at whatever place, a request is refused at once, unless another one was aboard
    //! more.
    std::size_t always_block_at = 6;
    std::size_t max_crashes = 16;
    //! A suspect is forgotten this long after the last target that it was aboard.
    milliseconds lifetime{600'000};
    std::size_t max_suspects = 4096;
};

//! A request that was in flight on targets that died.
struct suspect {
    //! Where the request stood at each; at most max_crashes.
    std::map<crash_id, crash_place> takedowns;
    time_point last;
    //! It was once answered whole, so it is not what took the targets down.
    bool finished = false;
};

//! What one daemon knows of suspects.
struct suspect_table {
    suspect_limits limits;
    std::map<request_fingerprint, suspect> suspects;
    recent_answers answered;
};

//! A suspect as daemons tell each other of it.
struct suspect_report {
    request_fingerprint fingerprint;
    std::vector<std::pair<crash_id, crash_place>> takedowns;
    //! The time since its last takedown.
    milliseconds age;
    bool finished = false;
};

enum class suspect_status {
    clear,
    suspected, //!< To be run alone.
    blocked,   //!< Not to be run until it lapses.
};

//! Records that a target's incarnation died with the request aboard.
void note_crash(suspect_table& table, request_fingerprint request, crash_id target, crash_place place,
                time_point now);
//! Records that a request was answered whole; true if that clears a suspect.
bool note_finished(suspect_table& table, request_fingerprint request, time_point now);

//! How the request is to be treated; `unconfirmed` counts deaths that are not confirmed yet.
suspect_status suspect_status_of(const suspect_table& table, request_fingerprint request,
                                 std::size_t unconfirmed, time_point now);
//! For how long the request is not to be sent to any target; zero when it may be. One that has ended
//! enough targets at one place to be condemned, counting `unconfirmed` deaths, waits until all that speaks
//! for it is known.
milliseconds held_for(const suspect_table& table, request_fingerprint request, std::size_t unconfirmed,
                      time_point now);
//! The time until the request's suspicion lapses; zero for one that is no suspect.
milliseconds expires_in(const suspect_table& table, request_fingerprint request, time_point now);

//! How long to wait before a request goes on whose target just died: zero, unless another one died at this
//! token before. Then the news of both is to be everywhere first, so that it is known who is to be refused.
milliseconds resume_delay(const suspect_table& table, request_fingerprint request, crash_place place,
                          time_point now);

//! What to tell another daemon: the latest suspects first.
std::vector<suspect_report> reports_of(const suspect_table& table, std::size_t max_reports, time_point now);
//! Takes over what another daemon told; a report without takedowns tells that a known suspect finished. True
//! if there was news. Order and repeats do not matter.
bool merge(suspect_table& table, const std::vector<suspect_report>& reports, time_point now);
//! Forgets what has lapsed, and the least suspicious above the bound.
void expire(suspect_table& table, time_point now);

//! The sets of targets to avoid for a request, in order of preference: a suspect runs where nothing else
//! does, if there is such a place; nobody joins a suspect while there is another target.
std::vector<std::set<target_id>> targets_to_avoid(suspect_status standing,
                                                  const std::set<target_id>& excluded,
                                                  const std::set<target_id>& busy,
                                                  const std::set<target_id>& running_suspects);

} // namespace dandelionstep
