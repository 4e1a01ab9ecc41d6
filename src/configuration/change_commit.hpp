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

//! One record of a change that an operator asks for.
struct proposed_record {
    configuration_record record;
    //! The revision that had last changed the record when its writer looked; 0 means that it was absent.
    std::optional<revision> expected_revision;
};

//! A change that an operator asks for.
struct proposed_change {
    change_id id;
    std::vector<proposed_record> records;
};

//! What became of a proposed change; the outcome is `completed` when it was accepted.
struct change_answer {
    outcome result = outcome::not_run;
    error_code code = error_code::bad_request;
    revision number;
    std::string message;
    //! The accepted change, where this attempt committed it.
    std::optional<accepted_change> accepted;
};

//! Rows to read from the platform's table.
struct rows_to_read {
    std::vector<std::string> keys;
};

//! The rows that were read; `failed` when one of them could not be.
struct rows_read {
    bool failed = false;
    std::map<std::string, table_row> rows;
};

//! What to do next: read rows, commit a transaction, or answer the operator and be done.
using commit_action = std::variant<rows_to_read, table_transaction, change_answer>;

//! What a change that is being committed waits for.
enum class commit_phase {
    reading,
    reading_log,
    committing,
    cancelling, //!< Keeps an unsure attempt from being executed late.
};

//! A change on its way into the platform's table.
struct change_commit {
    proposed_change change;
    //! The daemons that must be able to read what is written.
    std::vector<schema_reader> readers;
    commit_phase phase = commit_phase::reading;
    int attempts_left = 8;
    //! An earlier attempt may have been executed; true from the start when the change id is not a fresh one.
    bool outcome_unknown = false;
    std::map<std::string, table_row> rows;
    accepted_change accepted;
    //! The answer once an unsure attempt is certain not to be executed.
    change_answer answer_after_cancelling;
};

//! Changes that the table's log keeps, and for how many changes a change id is remembered.
inline constexpr std::int64_t kept_changes = 4096;

commit_action start(change_commit& state);
commit_action on_rows(change_commit& state, const rows_read& found);
commit_action on_commit_answer(change_commit& state, const commit_answer& answer);

} // namespace dandelionstep
