#pragma once

#include "order/order.hpp"

namespace dandelionstep {

//! The table's answers as events of an order.
order_event to_event(const commit_answer& answer);
order_event to_event(const read_answer& answer);

//! The transaction that writes an order's row if it still has the expected version.
table_transaction write_row(const order_record& record, row_version expected);

} // namespace dandelionstep
