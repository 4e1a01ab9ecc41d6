#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "common/json_types.hpp"

#include <string>

namespace dandelionstep {

//! The phase of an order in the platform's table.
enum class order_phase {
    claimed,         //!< One daemon has claimed the order; nothing was sent.
    sending,         //!< The target may have got the order; no other attempt ever sends it.
    done,            //!< The target has answered; the answer is stored in the row.
    released,        //!< It is certain that no target ran the order; it may be claimed again.
    settled_ran,     //!< An operator found that the order ran; its answer is not known.
    settled_not_run, //!< An operator found that the order did not run; its key can't be used again.
};

//! The phase's name in the table.
std::string_view to_string(order_phase phase);
//! Parses a phase's name. InvalidArgument: no phase has this name.
absl::StatusOr<order_phase> parse_order_phase(std::string_view text);

//! A target's answer to an order.
struct order_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    //! False if the body was too large to be stored; only status and content type are known then.
    bool body_kept = true;
};

//! One order's row in the platform's table.
struct order_record {
    organisation_id organisation;
    service_id service;
    order_key key;
    order_phase phase = order_phase::claimed;
    //! Random id of the attempt that claimed the order, by which a daemon recognises its own writes.
    std::string nonce;
    //! The daemon that claimed the order.
    vm_id holder;
    std::string body_sha256;
    wall_time claimed_at;
    //! The request that claimed the order.
    request_id request;
    order_answer answer;
    //! The note of the operator who settled the order.
    std::string note;
};

//! The key of the order's row.
std::string table_key(const order_record& order);

//! The prefix of the row keys of all orders.
inline constexpr std::string_view order_prefix = "order/";

json to_json(const order_record& order);
//! Parses an order's row. InvalidArgument: its phase is missing or unknown.
absl::StatusOr<order_record> parse_order_record(const json& value);

} // namespace dandelionstep
