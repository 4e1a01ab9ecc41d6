#pragma once

#include "common/json.hpp"
#include "common/strong.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstep {

//! The version of a row in the platform's table. It grows with every write; 0 means that the row is absent.
using table_version = strong_count<struct table_version_unit>;

//! One row of the platform's table.
struct table_row {
    std::string key;
    table_version version;
    json value;
};

//! A condition of a transaction: the row has exactly this version; version 0 means that it is absent.
struct table_condition {
    std::string key;
    table_version version;
};

//! One write of a transaction; a write without a value deletes the row.
struct table_write {
    std::string key;
    std::optional<json> value;
};

//! Writes that take effect together if all conditions hold; otherwise none of them does.
struct table_transaction {
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

//! The result of a transaction.
enum class commit_result {
    committed,
    conflicted,      //!< A condition did not hold; nothing was written.
    refused,         //!< The transaction was certainly not executed, for example because no byte was sent.
    outcome_unknown, //!< The transaction may have been executed, or may still be.
};

//! The answer to a transaction.
struct commit_answer {
    commit_result result = commit_result::refused;
    //! If committed: the version that every written row has now.
    table_version version;
    //! If conflicted: the row whose condition did not hold; empty if that row is absent.
    std::optional<table_row> conflict;
};

//! The answer to a read of rows; `failed` is set when the table could not be read.
struct read_answer {
    bool failed = false;
    std::vector<table_row> rows;
    //! The version of the table that was read; at least that of every row.
    table_version as_of;
};

} // namespace dandelionstep
