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

//! How urgent a request is beside others of its own organisation.
enum class request_priority { interactive, normal, batch };

inline constexpr std::size_t priority_count = 3;

//! Parses "interactive", "normal", "batch" or an empty text, which means normal; nullopt for any other.
std::optional<request_priority> parse_priority(std::string_view text);

//! A request that waits for its turn.
struct queued_request {
    request_id id;
    organisation_id organisation;
    //! The organisation's share relative to others.
    double weight = 1;
    request_priority priority = request_priority::normal;
    //! The work that it brings, in tokens.
    double cost = 1;
    //! When it must have started.
    time_point start_by;
    //! When its answer must be whole.
    time_point deadline;
};

//! Weighted fair queueing over organisations; within one, by priority and then in order of arrival.
class fair_queue {
public:
    void push(queued_request added);
    //! Takes the next in turn, passing over organisations in `held_back`; nullopt when none may go.
    std::optional<queued_request> pop(const std::map<organisation_id, bool>& held_back = {});
    //! Takes the newest, least urgent request of the organisation that queues most for its weight.
    std::optional<queued_request> drop_longest();
    //! Takes one request out, wherever it waits.
    std::optional<queued_request> remove(const request_id& wanted);
    //! Takes out all whose time to start is over, or that would end too late if they began now.
    std::vector<queued_request> remove_late(time_point now, double token_ms);

    [[nodiscard]] std::size_t size() const { return this->count; }
    //! Tokens that are served before a new request of the organisation and priority, at most.
    [[nodiscard]] double work_ahead(const organisation_id& organisation, double weight,
                                    request_priority priority) const;

private:
    struct flow {
        std::array<std::deque<queued_request>, priority_count> waiting;
        double weight = 1;
        //! Work served so far, divided by the weight.
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
