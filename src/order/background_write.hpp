#pragma once

#include "order/order.hpp"

namespace dandelionstep {

//! A write that outlives its order: the kept answer, or the release of a claim.
struct background_write {
    row_version expected;
    order_record record;
    int tries = 0;
};

//! What to do after one try.
struct background_step {
    enum class kind { finished, retry, given_up };
    kind what = kind::finished;
    //! How long to wait before the next try.
    milliseconds delay;
};

//! Takes the table's answer to a try; only a row that still carries our own nonce is ever replaced.
background_step advance(background_write& write, const order_event& answer);

} // namespace dandelionstep
