#pragma once

#include "order/order.hpp"

namespace dandelionstep {

//! A write that goes on after its order is finished: it stores the target's answer or releases a claim.
struct background_write {
    //! The version that the row must have to be replaced.
    row_version expected;
    order_record record;
    //! Tries that failed so far.
    int tries = 0;
};

//! What to do after one try of a background write.
struct background_step {
    enum class kind { finished, retry, given_up };
    kind what = kind::finished;
    //! How long to wait before the next try, for `retry`.
    milliseconds delay;
};

//! Handles the table's answer to a try. Only a row that still has the nonce of `write.record` is ever
//! replaced.
background_step advance(background_write& write, const order_event& answer);

} // namespace dandelionstep
