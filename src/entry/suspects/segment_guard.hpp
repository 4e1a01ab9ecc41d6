#pragma once

#include "entry/suspects/death_watch.hpp"
#include "entry/suspects/trial_claims.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace dandelionstep {

//! Held by a request that tries segments which may crash its target; no other one tries them until it ends.
struct segment_trial {};

//! Keeps requests with a prompt segment that crashes targets from being sent, here and at all daemons that
//! this one tells.
class segment_guard {
public:
    segment_guard(entry_context& context, const death_watch& deaths);

    //! Claims a trial for this daemon alone; daemons without it decide for themselves.
    std::function<claim_state(const trial_name&)> claim;

    //! A target died while a request awaited the first part of its answer there.
    void note_crash(const possible_death& death);
    //! The answer to a request with the segments began, so that none of them crashes targets.
    void note_answer_begun(const std::vector<prompt_segment>& segments);

    //! Whether a request to the service with the segments may be sent to a target now.
    [[nodiscard]] segment_verdict verdict(const service_id& service,
                                          const std::vector<prompt_segment>& segments);
    //! To be called when such a request is sent; null when nothing is suspected.
    std::shared_ptr<segment_trial> begin(const std::vector<prompt_segment>& segments,
                                         std::string_view attempt_id);

private:
    [[nodiscard]] bool is_being_tried(const prompt_segment& segment) const;
    //! Whether a target of the service can be spared, should a trial cost it.
    [[nodiscard]] bool can_spare_target(const service_id& service) const;
    segment_verdict claimed_verdict(const std::vector<prompt_segment>& segments);
    //! The strictest answer to the claims of the trials that a request with the segments would be.
    claim_state claim_trials(const std::vector<prompt_segment>& segments);
    void tell_later(segment_fingerprint segment);
    void tell_due();
    void spread_trials();

    entry_context& context;
    const death_watch& deaths;
    //! In [0, 1).
    double own_draw = 0;
    std::map<segment_fingerprint, std::weak_ptr<segment_trial>> trials;
    //! Suspects that nobody else knows, and when they are told.
    std::map<segment_fingerprint, time_point> untold;
    event_loop::timer tell_timer;
};

} // namespace dandelionstep
