#include "daemon/order_events.hpp"

namespace dandelionstep {

order_event to_event(const commit_answer& answer)
{
    switch (answer.result) {
    case commit_result::committed:
        return write_committed{answer.version};
    case commit_result::conflicted:
        return write_conflicted{to_stored(answer.conflict)};
    case commit_result::refused:
        return write_refused{};
    case commit_result::outcome_unknown:
        return write_outcome_unknown{};
    }
    return write_outcome_unknown{};
}

order_event to_event(const read_answer& answer)
{
    order_read event{.failed = answer.failed, .current = {}};
    if (!answer.rows.empty()) {
        event.current = to_stored(answer.rows.front());
    }
    return event;
}

table_transaction write_row(const order_record& record, row_version expected)
{
    return {.conditions = {{table_key(record), expected}}, .writes = {{table_key(record), to_json(record)}}};
}

} // namespace dandelionstep
