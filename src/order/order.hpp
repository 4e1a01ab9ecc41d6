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

//! The row's version in the platform's table; 0 means that the row is absent.
using row_version = table_version;

//! A row as the table returned it.
struct stored_order {
    row_version version;
    order_record record;
};

//! Reads a row; one that can't be read counts as being sent, since its order may have run.
std::optional<stored_order> to_stored(const std::optional<table_row>& row);

struct order_started {};
//! The awaited write took effect.
struct write_committed {
    row_version version;
};
//! The awaited write met another version of the row; absent if the row is gone.
struct write_conflicted {
    std::optional<stored_order> current;
};
//! The table was certainly not changed by the awaited write.
struct write_refused {};
//! The awaited write may have taken effect.
struct write_unsure {};
//! The answer to read_order; `failed` when the table could not be read.
struct order_read {
    bool failed = false;
    std::optional<stored_order> current;
};
//! The awaited target's answer, whole.
struct target_answered {
    order_answer answer;
};
//! The awaited target ran nothing: never connected, or refused under its contract.
struct target_ran_nothing {
    target_id target;
};
//! The connection broke after a byte may have left, or no answer came in time.
struct target_unsure {};
struct order_caller_gone {};

//! What can happen to an order.
using order_event =
    std::variant<order_started, write_committed, write_conflicted, write_refused, write_unsure, order_read,
                 target_answered, target_ran_nothing, target_unsure, order_caller_gone>;

//! Write the row if it still has the expected version.
struct write_order {
    row_version expected;
    order_record record;
};
struct read_order {};
struct send_order {
    target to;
};
struct answer_order {
    order_answer answer;
    bool repeated = false;
};
struct refuse_order {
    refusal why;
};
//! Give the row back in the background, and go on trying while the store is away.
struct release_order {
    row_version expected;
    order_record record;
};
//! Keep the answer in the background, and go on trying while the store is away.
struct record_answer {
    row_version expected;
    order_record record;
};

//! What the adapter is to do.
using order_action = std::variant<write_order, read_order, send_order, answer_order, refuse_order,
                                  release_order, record_answer>;

//! Bounds of one order.
struct order_limits {
    //! After this time another daemon may take over an order that is claimed but not being sent.
    milliseconds claim_lease{5000};
    //! The order is sent only within this time of beginning the write that marks it; else it is marked anew.
    milliseconds send_within{2000};
    milliseconds retry_after{1000};
    int max_settling_reads = 3;
    int max_sends = 3;
    std::size_t max_kept_answer_bytes = 65536;
};

//! Where the order waits.
enum class order_wait { start, claim, claim_settling, mark, mark_settling, target, finished };

//! The progress of one order on one daemon.
struct order_state {
    //! What this daemon wants to write; phase and version follow the table.
    order_record record;
    row_version version;
    order_limits limits;
    execution_tracker execution;
    order_wait waiting = order_wait::start;
    time_point mark_began;
    int settling_reads = 0;
    int sends = 0;
    std::set<target_id> excluded;
};

//! Both of a daemon's clocks at one moment.
struct order_clock {
    time_point monotonic;
    //! Only compared with the time of another daemon's claim.
    wall_time civil;
};

//! Chooses a replica of the service that avoids the excluded ones; nullopt when there is none.
using replica_source = std::function<std::optional<target>(const std::set<target_id>& excluded)>;

//! Advances the order by one event; the order is sent only after the table holds it as `sending` in our name.
std::vector<order_action> advance(order_state& state, const order_event& event,
                                  const replica_source& replicas, order_clock now);

} // namespace dandelionstep
