#pragma once

#include "entry/suspects/segment_guard.hpp"

#include <map>

namespace dandelionstep {

//! Keeps a request that ends its targets from being sent on, here and at all daemons that this one tells.
class crash_guard {
public:
    explicit crash_guard(entry_context& context);

    //! A request was on a target that broke off or was given up.
    void note_lost(const possible_death& death) { this->deaths.consider(death); }
    //! A connection to the target's process could not be made.
    void note_unreachable(const target_id& target, incarnation started)
    {
        this->deaths.consider_ended(target, started);
    }
    //! The request went on after a loss, so that others need not know of it unless another target dies.
    void note_goes_on(request_fingerprint request);
    //! A target ran the request to a good end. A failure does not count: targets give those without running
    //! it.
    void note_ran_well(request_fingerprint request);
    //! For how long the request must not be sent to a target; zero when it may.
    [[nodiscard]] milliseconds held_for(request_fingerprint request) const;
    //! Whether it is not known yet if a target that the request lost has died.
    [[nodiscard]] bool is_checking(request_fingerprint request) const
    {
        return this->deaths.unconfirmed(request) > 0;
    }

    //! The same for the segments of prompts that requests share.
    [[nodiscard]] segment_guard& segments() { return this->shared_segments; }

private:
    void take_death(const possible_death& death);
    void note_request(const possible_death& death);
    void tell_due();

    entry_context& context;
    death_watch deaths;
    segment_guard shared_segments;
    //! Suspects that nobody else knows, and when they are told.
    std::map<request_fingerprint, time_point> untold;
    event_loop::timer tell_timer;
};

} // namespace dandelionstep
