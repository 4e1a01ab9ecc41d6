#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! The urgency of a request relative to others of the same organisation.
enum class request_priority { interactive, normal, batch };

inline constexpr std::size_t priority_count = 3;

//! Parses "interactive", "normal", "batch" or an empty text, which means normal; nullopt for any other.
std::optional<request_priority> parse_priority(std::string_view text);

//! A request in the queue.
struct queued_request {
    request_id id;
    organisation_id organisation;
    //! The weight of the organisation; its share of the service is proportional to it.
    double weight = 1;
    request_priority priority = request_priority::normal;
    //! The expected work in tokens.
    double cost = 1;
    //! The latest time to start it.
    time_point start_by;
    //! The time by which its answer must be complete.
    time_point deadline;
};

//! Weighted fair queueing across organisations; within one organisation by priority, then first in, first
//! out.
class fair_queue {
public:
    void push(queued_request added);
    //! Removes and returns the next request, skipping organisations that map to true in `at_limit`; nullopt
    //! when none may start.
    std::optional<queued_request> pop(const std::map<organisation_id, bool>& at_limit = {});
    //! Removes the newest of the least urgent requests of the organisation with the most queued work relative
    //! to its weight.
    std::optional<queued_request> drop_longest();
    //! Removes the request with this id; nullopt when it is not queued.
    std::optional<queued_request> remove(const request_id& wanted);
    //! Removes all requests whose start_by has passed, or that would miss their deadline if they started now
    //! at `token_ms` milliseconds per token.
    std::vector<queued_request> remove_late(time_point now, double token_ms);

    [[nodiscard]] std::size_t size() const { return this->count; }
    //! An upper bound in tokens for the work that is served before a new request of this organisation and
    //! priority.
    [[nodiscard]] double work_ahead(const organisation_id& organisation, double weight,
                                    request_priority priority) const;

private:
    struct flow {
        std::array<std::deque<queued_request>, priority_count> waiting;
        double weight = 1;
        //! The work served so far in tokens, divided by the weight (virtual time).
        double served = 0;
        double queued_cost = 0;

        [[nodiscard]] bool empty() const;
    };

    queued_request take(flow& from, std::deque<queued_request>& list,
                        const std::deque<queued_request>::const_iterator& at);

    std::map<organisation_id, flow> flows;
    double virtual_time = 0;
    double total_cost = 0;
    std::size_t count = 0;
};

} // namespace dandelionstep
