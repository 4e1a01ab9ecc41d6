#pragma once

#include "absl/status/statusor.h"
#include "daemon/context.hpp"
#include "request/generation.hpp"

#include <functional>
#include <map>
#include <set>

namespace dandelionstep {

//! Keeps requests that take their targets down from running on, and innocent ones away from them.
class crash_guard {
public:
    using chain_picker = std::function<absl::StatusOr<chain>(const std::set<target_id>& excluded)>;

    explicit crash_guard(daemon_context& context) : context(context) {}

    //! Picks a chain with the request's status in mind. PermissionDenied: the request is blocked.
    absl::StatusOr<chain> choose(const generation_request& request, const std::set<target_id>& excluded,
                                 const chain_picker& pick) const;
    //! Asks the target at fault whether it lives, and accuses the request if it does not. Returns how long
    //! the failure is to be held back, so that the request goes on only when more is known.
    milliseconds note_failure(const generation_state& state, const attempt_failed& failure);
    //! Remembers where a suspect runs.
    void note_progress(const generation_state& state);
    void note_answered(const generation_request& request);

private:
    struct possible_death;
    void take_probe(const possible_death& death, const load_answer& answer);
    [[nodiscard]] bool anything_suspected() const;
    [[nodiscard]] std::size_t unconfirmed(request_fingerprint request) const;
    [[nodiscard]] std::set<target_id> running_suspects(const request_id& but) const;
    [[nodiscard]] std::set<target_id> busy_targets() const;

    daemon_context& context;
    //! Deaths that are not confirmed yet.
    std::multiset<request_fingerprint> probing;
    std::map<request_id, std::set<target_id>> suspects_at;
    //! Of the requests that run while something is suspected.
    std::map<request_id, request_fingerprint> fingerprints;
};

//! The fingerprint of a generation's question.
request_fingerprint fingerprint_of(const generation_request& request);

} // namespace dandelionstep
