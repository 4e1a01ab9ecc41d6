#pragma once

#include "common/change_log.hpp"
#include "common/clock.hpp"
#include "request/prompt_segments.hpp"
#include "request/recent_answers.hpp"
#include "request/suspects.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstep {

//! Limits of the suspicion against prompt segments.
struct segment_limits {
    //! The time in which a crash becomes known to every daemon.
    milliseconds propagation_time{1'200};
    //! The time after the last crash for which requests with the segment are refused, by the level of
    //! suspicion from the second on; the last one holds for all higher levels. The first one is what a target
    //! takes to come back and load its layers, so that a trial does not cost one while others are missing.
    std::vector<milliseconds> refused_for{{4'000}, {60'000}, {600'000}, {86'400'000}};
    std::size_t max_crashes = 16;
    //! A suspect expires this long after its last crash, sooner when an answer has cleared it.
    milliseconds lifetime{86'400'000};
    milliseconds cleared_lifetime{600'000};
    std::size_t max_suspects = 4096;
};

//! A target crashed while a request with the segment awaited the first part of its answer there.
struct segment_crash {
    time_point at;
    //! Whether this daemon sent that request.
    bool is_own = false;
    //! Whether the request tried this segment, and no other one of its prompt could be the cause.
    bool is_alone = false;
    //! Whether the answer to a request with the segment began later, so that the segment was not the cause.
    bool is_cleared = false;

    friend bool operator==(const segment_crash&, const segment_crash&) = default;
};

//! A segment of the prompts of requests whose targets crashed.
struct segment_suspect {
    //! At most max_crashes, the latest ones.
    std::map<crash_id, segment_crash> crashes;
    //! Whether other daemons are told of it.
    bool is_shared = false;
};

//! The suspects that were aboard a crash.
struct segment_crash_record {
    time_point at;
    std::set<segment_fingerprint> aboard;
    //! Of those that were never answered, the few that are tried first, as of `first_as_of`; unknown when
    //! that is absent.
    mutable std::vector<segment_fingerprint> first;
    mutable std::optional<time_point> first_as_of;
};

//! The suspicions against prompt segments that one daemon knows.
struct segment_suspects {
    segment_limits limits;
    std::map<segment_fingerprint, segment_suspect> suspects;
    //! The same by crash, so that a verdict does not look at every suspect.
    std::map<crash_id, segment_crash_record> crashes;
    //! Suspects that crashed a target alone.
    std::set<segment_fingerprint> alone;
    //! When suspects were last looked through for those that have expired.
    time_point expired_at{0};
    //! Segments of requests whose answers began.
    recent_answers<segment_fingerprint> answered;
    //! The numbered changes of the shared suspects.
    change_log<segment_fingerprint> changes;
    //! Different on each daemon, so that not all of them try a segment at the same moment: the additional
    //! time that this one waits, as a share of the owner's.
    double stagger = 0;
};

//! What a daemon tells another one about a suspect.
struct segment_report {
    struct crash {
        crash_id id;
        //! The time since then.
        milliseconds age;
        bool is_alone = false;
        bool is_cleared = false;
    };

    segment_fingerprint segment;
    std::vector<crash> crashes;
};

//! A message with which daemons share suspects.
struct segment_update {
    //! The number of the last change that the message covers.
    std::int64_t sequence = 0;
    std::vector<segment_report> reports;
};

enum class segment_permission {
    allowed,
    trial,   //!< One request at a time: its answer clears the segment, a crash confirms the suspicion.
    wait,    //!< Whether the segment is the cause will be known soon.
    refused, //!< Targets crashed again and again, and no answer began.
};

//! Whether requests with a segment may be sent to targets.
struct segment_verdict {
    segment_permission permission = segment_permission::allowed;
    //! The time until a trial is permitted; zero unless waiting or refused.
    milliseconds remaining{0};
    //! The time since one has been permitted; zero unless it is.
    milliseconds due_for{0};
};

//! Names a trial of a segment, the same at all daemons that know of the same crashes.
struct trial_name {
    segment_fingerprint segment;
    //! A digest of the crashes that no answer has cleared.
    std::int64_t crashes = 0;
};

//! A crash of a target while a request of this daemon awaited the first part of its answer there.
struct observed_crash {
    crash_id id;
    time_point at;
    //! The segments of the request's prompt.
    segment_list segments;
    //! Whether it was sent as a trial.
    bool was_trial = false;
};

//! The suspects that the crash changed: none when it was noted for the same segments before.
std::vector<prompt_segment> note_crash(segment_suspects& known, const observed_crash& crash, time_point now);
//! Notes that the answer to a request with the segment began; true if that clears a crash.
bool note_segment_answered(segment_suspects& known, segment_fingerprint segment, time_point now);
//! Whether the answer to a request with the segment began here lately.
bool was_segment_answered(const segment_suspects& known, segment_fingerprint segment, time_point now);

//! How strongly the segment is suspected, from the crashes since an answer began; zero if it is not. From the
//! first level on requests with it are tried one at a time, and from the second on refused in between.
int suspicion_level(const segment_suspects& known, segment_fingerprint segment, time_point now);
//! The strictest verdict on any of the segments of one prompt.
segment_verdict verdict_of(const segment_suspects& known, const std::vector<prompt_segment>& segments,
                           time_point now);

//! The trial of a suspected segment, which one daemon alone is to run; nullopt if it is not suspected, or was
//! answered before, so that it is seldom the cause and many requests wait.
std::optional<trial_name> exclusive_trial(const segment_suspects& known, segment_fingerprint segment,
                                          time_point now);

//! Tells other daemons the current state of the suspect.
void share_segment(segment_suspects& known, segment_fingerprint segment);
//! Merges what another daemon reported; true if that changed the suspect, which is shared then. The order of
//! reports and repetitions do not matter.
bool merge(segment_suspects& known, const segment_report& report, time_point now);
//! The shared suspects that changed after the change number `sequence`, or all of them when the number is
//! absent or no longer in the log; limited to the most recent ones.
segment_update segment_updates_since(const segment_suspects& known, std::optional<std::int64_t> sequence,
                                     time_point now);
//! The report of one suspect, which must be known.
segment_report segment_report_of(const segment_suspects& known, segment_fingerprint segment, time_point now);
//! Removes expired suspects, and the least suspicious ones above max_suspects.
void expire(segment_suspects& known, time_point now);

} // namespace dandelionstep
