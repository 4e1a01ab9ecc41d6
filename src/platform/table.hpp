#pragma once

#include "common/json.hpp"
#include "common/strong.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstep {

//! The version of a row in the platform's table; it grows with every write, and 0 means absent.
using table_version = strong_count<struct table_version_unit>;

//! One row of the platform's table.
struct table_row {
    std::string key;
    table_version version;
    json value;
};

//! The row that a transaction requires to have exactly this version.
struct table_condition {
    std::string key;
    table_version version;
};

//! One write of a transaction; no value deletes the row.
struct table_write {
    std::string key;
    std::optional<json> value;
};

//! Writes that take effect together, or not at all.
struct table_transaction {
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

//! What became of a transaction.
enum class commit_result {
    committed,
    conflicted,      //!< A condition did not hold; nothing was written.
    refused,         //!< Certainly not executed, for example because no byte left.
    outcome_unknown, //!< May have been executed.
};

//! The answer to a transaction.
struct commit_answer {
    commit_result result = commit_result::refused;
    //! The version of every written row, when committed.
    table_version version;
    //! The row whose condition failed, when conflicted and present.
    std::optional<table_row> conflict;
};

//! The answer to a read of rows; `failed` when the table could not be read.
struct read_answer {
    bool failed = false;
    std::vector<table_row> rows;
    //! The version of the table that was read; never less than any row's.
    table_version as_of;
};

} // namespace dandelionstep
