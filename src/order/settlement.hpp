#pragma once

#include "order/order.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstep {

//! An operator's decision whether an order with an unknown outcome ran.
struct settlement_request {
    organisation_id organisation;
    service_id service;
    order_key key;
    bool ran = false;
    //! How the operator found out; stored in the order's row.
    std::string note;
    //! A younger order can't be settled, because its daemon may still send it; counted from its claim.
    milliseconds min_age{60'000};
};

//! Parses a settlement request. InvalidArgument: a member is missing, empty, too long or of another type.
absl::StatusOr<settlement_request> parse_settlement(const json& value);

//! The operator asked for the settlement.
struct settlement_started {};
//! The inputs of a settlement's state machine; the table's answers are order events.
using settlement_event = std::variant<settlement_started, order_event>;

//! The order is settled; `record` is its row.
struct settlement_done {
    order_record record;
};
//! The settlement is refused; the outcome is `unknown` if it may have been written.
struct settlement_refused {
    refusal why;
};
//! The outputs of a settlement's state machine, for the daemon to carry out.
using settlement_action = std::variant<read_order, write_order, settlement_done, settlement_refused>;

//! What the settlement waits for; `reading_back` follows a write with an unknown outcome.
enum class settlement_wait { start, reading, writing, reading_back, finished };

//! The state of one settlement.
struct settlement_state {
    settlement_request request;
    settlement_wait waiting = settlement_wait::start;
    //! The row as this settlement wrote it.
    order_record written;
    int reads = 0;
    int max_reads = 3;
};

//! Advances the settlement by one event. Only an order in the phase `sending` is settled, by compare-and-set.
std::vector<settlement_action> advance(settlement_state& state, const settlement_event& event, wall_time now);

} // namespace dandelionstep
