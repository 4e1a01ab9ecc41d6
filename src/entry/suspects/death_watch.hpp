#pragma once

#include "entry/context/entry_context.hpp"
#include "request/prompt_segments.hpp"
#include "request/suspects.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace dandelionstep {

//! Events after which an answer counts as begun: a target may have sent the first one before it dies of it.
inline constexpr std::int64_t events_of_begun_answer = 2;

//! A request that was on a target when that broke the connection or was given up.
struct possible_death {
    target_id target;
    //! The process that the request was sent to.
    incarnation started;
    request_fingerprint request;
    crash_place place;
    std::string attempt_id;
    //! The segments of its prompt that other requests may share.
    segment_list segments = {};
    //! Events that its attempt had brought; 0 for a call.
    std::int64_t attempt_events = 0;
    //! Whether it was sent to try segments that are suspected.
    bool was_trial = false;
    //! When the target broke the connection or was given up.
    time_point lost_at = event_loop::now();
};

//! Whether the target may have died as it began the answer to the request.
[[nodiscard]] bool awaits_answer(const possible_death& death);

//! Finds out whether targets died under requests: a broken connection alone proves nothing, a refused one or
//! a new process at the registry does, also one that registers some seconds later. Targets that leave as
//! planned are not asked.
class death_watch {
public:
    explicit death_watch(entry_context& context) : context(context) {}

    //! Called for each request that was on a target that died.
    std::function<void(const possible_death&)> on_death;

    void consider(const possible_death& death);
    //! A connection to the target's process could not be made, so it may have ended with no request aboard.
    void consider_ended(const target_id& target, incarnation started);
    //! The request was run further than where its targets may have died.
    void clear(request_fingerprint request);
    //! Targets that are being checked on which the request was.
    [[nodiscard]] std::size_t unconfirmed(request_fingerprint request) const;
    //! Whether a target is being checked on which a request with the segment awaited its answer.
    [[nodiscard]] bool is_checking(segment_fingerprint segment) const;

private:
    //! What is known of one process of a target.
    struct finding {
        target_id target;
        incarnation started;
        bool is_checking = false;
        //! Requests that wait for the answer to an open check.
        std::vector<possible_death> waiting;
        //! Segments of those of them that awaited their answers.
        std::unordered_set<std::int64_t> awaiting;
        //! When it was found dead, if it was.
        std::optional<time_point> dead_at;
    };

    //! A death that was not confirmed, and until when a new process would confirm it.
    struct doubt {
        possible_death death;
        time_point until;
    };

    finding& finding_of(crash_id process, const target_id& target, incarnation started);
    void check(crash_id process, const endpoint& at);
    void take(crash_id process, connect_result result);
    void note_ended(const finding& found);
    void keep_doubts(std::vector<possible_death> deaths);
    void settle_doubts();
    void report(const possible_death& death);
    void forget_old();

    entry_context& context;
    std::map<crash_id, finding> findings;
    std::vector<doubt> doubts;
    event_loop::timer doubt_timer;
};

} // namespace dandelionstep
