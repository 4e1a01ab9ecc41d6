#pragma once

#include "common/outcome.hpp"
#include "configuration/applied.hpp"
#include "configuration/schema.hpp"
#include "platform/table.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstep {

//! One record of a proposed change.
struct proposed_record {
    configuration_record record;
    //! If set, the change is refused unless this revision was the last to change the record; 0 means that the
    //! record must not exist.
    std::optional<revision> expected_revision;
};

//! A change that an operator wants to make.
struct proposed_change {
    change_id id;
    std::vector<proposed_record> records;
};

//! The answer to the operator; the outcome is `completed` when the change was accepted.
struct change_answer {
    outcome result = outcome::not_run;
    error_code code = error_code::bad_request;
    //! The revision that the accepted change produced.
    revision number;
    std::string message;
    //! Set if this commit wrote the change; empty if an earlier one with the same id did.
    std::optional<accepted_change> accepted;
};

//! Read these rows from the platform's table.
struct rows_to_read {
    std::vector<std::string> keys;
};

//! The rows that were read; `failed` is set when one of them could not be read.
struct rows_read {
    bool failed = false;
    std::map<std::string, table_row> rows;
};

//! What to do next: read rows, execute a transaction, or answer the operator, which ends the commit.
using commit_action = std::variant<rows_to_read, table_transaction, change_answer>;

//! What a commit waits for.
enum class commit_phase {
    reading,     //!< The stored records, the counter and the row of the change id.
    reading_log, //!< The oldest change in the log, which the new one displaces.
    committing,  //!< The transaction that writes the change.
    cancelling,  //!< A write that makes an attempt with an unknown outcome fail, should it be executed late.
};

//! The state of a change that is being committed to the platform's table.
struct change_commit {
    proposed_change change;
    //! The daemons that must be able to read the records.
    std::vector<schema_reader> readers;
    commit_phase phase = commit_phase::reading;
    int attempts_left = 8;
    //! An earlier attempt may have been executed. True from the start if the operator gave the change id,
    //! since the change may be a repeat.
    bool outcome_unknown = false;
    //! The rows that were read in this attempt, by key; absent rows are left out.
    std::map<std::string, table_row> rows;
    //! The change as this attempt writes it.
    accepted_change accepted;
    //! The answer to the operator once the earlier attempt is cancelled.
    change_answer answer_after_cancelling;
};

//! Number of the latest changes that stay in the table's log, and whose ids are recognised when repeated.
inline constexpr std::int64_t kept_changes = 4096;

//! Starts the commit.
commit_action start(change_commit& state);
//! Continues with the rows that were asked for.
commit_action on_rows(change_commit& state, const rows_read& found);
//! Continues after a transaction.
commit_action on_commit_answer(change_commit& state, const commit_answer& answer);

} // namespace dandelionstep
