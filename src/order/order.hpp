#pragma once

#include "order/order_record.hpp"
#include "platform/table.hpp"
#include "request/execution_tracker.hpp"
#include "target/target.hpp"

#include <functional>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace dandelionstep {

//! The version of an order's row in the platform's table; 0 means that the row is absent.
using row_version = table_version;

//! An order's row as the table returned it.
struct stored_order {
    row_version version;
    order_record record;
};

//! Parses a row. A row that can't be parsed gets the phase `sending`, since its order may have run.
std::optional<stored_order> to_stored(const std::optional<table_row>& row);

//! The order was received from its caller.
struct order_started {};
//! The pending write took effect.
struct write_committed {
    row_version version;
};
//! The pending write expected another version of the row; `current` is empty if the row is absent.
struct write_conflicted {
    std::optional<stored_order> current;
};
//! The pending write certainly did not change the table.
struct write_refused {};
//! The pending write may have taken effect, or may still do so.
struct write_outcome_unknown {};
//! The result of read_order; `failed` is set when the table could not be read.
struct order_read {
    bool failed = false;
    std::optional<stored_order> current;
};
//! The target answered, and its answer was received completely.
struct target_answered {
    order_answer answer;
};
//! The target certainly did not run the order: no connection was made, or it refused in a way that its
//! service declares to mean so.
struct target_did_not_run {
    target_id target;
};
//! The target may have run the order: a byte may have been sent before the connection broke or the call
//! timed out.
struct target_outcome_unknown {};
//! The caller closed its connection.
struct order_caller_disconnected {};

//! The inputs of an order's state machine.
using order_event = std::variant<order_started, write_committed, write_conflicted, write_refused,
                                 write_outcome_unknown, order_read, target_answered, target_did_not_run,
                                 target_outcome_unknown, order_caller_disconnected>;

//! Write the order's row if it still has the expected version.
struct write_order {
    row_version expected;
    order_record record;
};
//! Read the order's row.
struct read_order {};
//! Send the order to the target.
struct send_order {
    target to;
};
//! Give the caller the target's answer; `repeated` when it comes from the table, after an earlier attempt.
struct answer_order {
    order_answer answer;
    bool repeated = false;
};
//! Refuse the order to the caller.
struct refuse_order {
    refusal why;
};
//! Release the order's claim in the background, with retries while the store is unavailable.
struct release_order {
    row_version expected;
    order_record record;
};
//! Store the target's answer in the background, with retries while the store is unavailable.
struct record_answer {
    row_version expected;
    order_record record;
};

//! The outputs of an order's state machine, for the daemon to carry out.
using order_action = std::variant<write_order, read_order, send_order, answer_order, refuse_order,
                                  release_order, record_answer>;

//! Time and size limits of one order.
struct order_limits {
    //! Another daemon may take over a claimed order after this time, unless it was marked as `sending`.
    milliseconds claim_lease{5000};
    //! The order is sent only within this time after the start of the write that marks it as `sending`;
    //! later, it is marked again first.
    milliseconds max_mark_age{2000};
    //! The Retry-After that a refused caller gets.
    milliseconds retry_after{1000};
    //! Reads of the row after writes with an unknown outcome.
    int max_read_backs = 3;
    int max_sends = 3;
    //! A larger body is not stored; only the status and content type are.
    std::size_t max_kept_answer_bytes = 65536;
};

//! What the order waits for.
enum class order_wait {
    start,
    claim,           //!< The write that claims the order for this daemon.
    claim_read_back, //!< A read that shows whether the claim took effect.
    mark,            //!< The write that marks the order as `sending`.
    mark_read_back,  //!< A read that shows whether the mark took effect.
    target,
    finished
};

//! The state of one order on one daemon.
struct order_state {
    //! The row that this daemon writes, with the phase of its latest write.
    order_record record;
    //! The row's version in the table, as far as this daemon knows.
    row_version version;
    order_limits limits;
    execution_tracker execution;
    order_wait waiting = order_wait::start;
    //! When the latest write that marks the order as `sending` was started.
    time_point mark_started_at;
    int read_backs = 0;
    int sends = 0;
    //! Targets that certainly did not run the order; it is not sent to them again.
    std::set<target_id> excluded;
};

//! The daemon's monotonic and wall-clock time at one moment.
struct order_clock {
    time_point monotonic;
    //! Only compared with the time of a claim, which another daemon may have written.
    wall_time wall;
};

//! Chooses a replica of the service that is not excluded; nullopt when there is none.
using replica_source = std::function<std::optional<target>(const std::set<target_id>& excluded)>;

//! Advances the order by one event. The order is sent only after the table holds it as `sending` with this
//! attempt's nonce.
std::vector<order_action> advance(order_state& state, const order_event& event,
                                  const replica_source& replicas, order_clock now);

} // namespace dandelionstep
