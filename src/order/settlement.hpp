#pragma once

#include "order/order.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstep {

//! An operator's finding about an order whose outcome is unknown.
struct settlement_request {
    organisation_id organisation;
    service_id service;
    order_key key;
    bool ran = false;
    //! Why the operator is sure; kept with the order.
    std::string note;
    //! An order that was claimed less than this ago may still be sent, so it can't be settled.
    milliseconds min_age{60'000};
};

//! Reads a request's members. InvalidArgument: one is missing, empty or of another type.
absl::StatusOr<settlement_request> parse_settlement(const json& value);

struct settlement_started {};
//! What can happen to a settlement; the table's answers are those of an order.
using settlement_event = std::variant<settlement_started, order_event>;

struct settlement_done {
    order_record record;
};
struct settlement_refused {
    refusal why;
};
//! What the adapter is to do.
using settlement_action = std::variant<read_order, write_order, settlement_done, settlement_refused>;

enum class settlement_wait { start, reading, writing, reading_back, finished };

//! The progress of one settlement.
struct settlement_state {
    settlement_request request;
    settlement_wait waiting = settlement_wait::start;
    order_record written;
    int reads = 0;
    int max_reads = 3;
};

//! Advances the settlement by one event: only an order that is being sent is settled, by compare-and-set.
std::vector<settlement_action> advance(settlement_state& state, const settlement_event& event, wall_time now);

} // namespace dandelionstep
