#pragma once

#include "entry/context/entry_context.hpp"
#include "request/suspects.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionstep {

//! A request that was on a target when that broke the connection or was given up.
struct possible_death {
    target_id target;
    //! The process that the request was sent to.
    incarnation started;
    request_fingerprint request;
    crash_place place;
    std::string attempt_id;
    //! The segments of its prompt that other requests may share.
    std::vector<segment_id> segments = {};
    //! Events that its attempt had brought; 0 for a call.
    std::int64_t attempt_events = 0;
};

//! Finds out whether targets died under requests: a broken connection alone proves nothing, a refused one or
//! a new process at the registry does, also one that registers some seconds later. Targets that leave as
//! planned are not asked.
class death_watch {
public:
    explicit death_watch(entry_context& context) : context(context) {}

    //! Called for each request that was on a target that died.
    std::function<void(const possible_death&)> on_death;

    void consider(const possible_death& death);
    //! The request was run further than where its targets may have died.
    void clear(request_fingerprint request);
    //! Targets that are being checked on which the request was.
    [[nodiscard]] std::size_t unconfirmed(request_fingerprint request) const;

private:
    //! What is known of one process of a target.
    struct finding {
        //! Requests that wait for the answer to an open check.
        std::vector<possible_death> waiting;
        //! When it was found dead, if it was.
        std::optional<time_point> dead_at;
    };

    //! A death that was not confirmed, and until when a new process would confirm it.
    struct doubt {
        possible_death death;
        time_point until;
    };

    void take(crash_id process, connect_result result);
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
