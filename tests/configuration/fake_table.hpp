#pragma once

#include "configuration/change_commit.hpp"
#include "platform/configuration_rows.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! The fault that a transaction or a read meets.
enum class table_fault {
    none,
    refused,        //!< Not executed, and the caller knows it.
    lost_request,   //!< Not executed, and the caller does not know.
    lost_answer,    //!< Executed, and the caller does not know.
    late_execution, //!< Executed later, against the rows of that time; the caller does not know.
    stale,          //!< A read returns an older state.
};

//! The platform's table in memory. It keeps its earlier states for stale reads.
struct fake_table {
    using rows_by_key = std::map<std::string, table_row>;

    std::vector<rows_by_key> history{{}};
    //! Transactions that are still to be executed.
    std::vector<table_transaction> late;
    std::int64_t version = 0;
    //! Whether the earlier states are kept.
    bool keeps_history = true;

    [[nodiscard]] const rows_by_key& rows() const { return this->history.back(); }

    commit_answer execute(const table_transaction& transaction)
    {
        for (const table_condition& condition : transaction.conditions) {
            const auto found = this->rows().find(condition.key);
            const table_version current =
                found == this->rows().end() ? table_version{0} : found->second.version;
            if (current != condition.version) {
                commit_answer answer{.result = commit_result::conflicted, .version = {}, .conflict = {}};
                if (found != this->rows().end()) {
                    answer.conflict = found->second;
                }
                return answer;
            }
        }
        if (this->keeps_history) {
            this->history.push_back(this->rows());
        }
        rows_by_key& next = this->history.back();
        ++this->version;
        for (const table_write& write : transaction.writes) {
            if (write.value) {
                next[write.key] = {write.key, table_version{this->version}, *write.value};
            } else {
                next.erase(write.key);
            }
        }
        return {commit_result::committed, table_version{this->version}, {}};
    }

    commit_answer commit(const table_transaction& transaction, table_fault fault)
    {
        commit_answer unknown{.result = commit_result::outcome_unknown, .version = {}, .conflict = {}};
        switch (fault) {
        case table_fault::refused:
            return {.result = commit_result::refused, .version = {}, .conflict = {}};
        case table_fault::lost_request:
            return unknown;
        case table_fault::lost_answer:
            this->execute(transaction);
            return unknown;
        case table_fault::late_execution:
            this->late.push_back(transaction);
            return unknown;
        default:
            return this->execute(transaction);
        }
    }

    void execute_late()
    {
        for (const table_transaction& transaction : this->late) {
            this->execute(transaction);
        }
        this->late.clear();
    }

    rows_read read(const rows_to_read& wanted, table_fault fault, std::size_t age = 0)
    {
        rows_read found{.failed = fault == table_fault::refused, .rows = {}};
        const std::size_t back = fault == table_fault::stale ? age % this->history.size() : 0;
        const rows_by_key& past_rows = this->history[this->history.size() - 1 - back];
        for (const std::string& key : wanted.keys) {
            if (const auto row = past_rows.find(key); row != past_rows.end() && !found.failed) {
                found.rows.emplace(*row);
            }
        }
        return found;
    }

    //! The number of changes with the id in the log.
    [[nodiscard]] int times_accepted(const change_id& id) const
    {
        int times = 0;
        for (const auto& [key, row] : this->rows()) {
            times +=
                key.starts_with(change_rows) && string_or(row.value, "change_id", "") == id.value ? 1 : 0;
        }
        return times;
    }

    [[nodiscard]] revision_state counter() const
    {
        const auto row = this->rows().find(std::string(revision_row));
        return row == this->rows().end() ? revision_state{} : parse_revision_row(row->second.value);
    }

    [[nodiscard]] std::optional<configuration_record> record(const record_key& key) const
    {
        const auto row = this->rows().find(record_row_key(key));
        if (row == this->rows().end()) {
            return std::nullopt;
        }
        return *parse_record(row->second.value);
    }
};

//! A drain record, which every build can read; the name is that of the drained target.
inline configuration_record drain_record(const std::string& name)
{
    configuration_record record;
    record.key = {"drain", name};
    return record;
}

inline proposed_change one_record(const std::string& id, configuration_record record,
                                  std::optional<revision> expected_revision = {})
{
    return {change_id(id), {{std::move(record), expected_revision}}};
}

//! A running commit and its next action.
struct operator_session {
    change_commit state;
    commit_action next;
};

inline operator_session begin(proposed_change change, bool id_given = false,
                              std::vector<schema_reader> readers = {})
{
    operator_session session;
    session.state.change = std::move(change);
    session.state.outcome_unknown = id_given;
    session.state.readers = std::move(readers);
    session.next = start(session.state);
    return session;
}

//! Executes the next action; returns false once the operator has the answer.
inline bool step(operator_session& session, fake_table& table, table_fault fault = table_fault::none,
                 std::size_t age = 0)
{
    if (const auto* wanted = std::get_if<rows_to_read>(&session.next)) {
        session.next = on_rows(session.state, table.read(*wanted, fault, age));
    } else if (const auto* transaction = std::get_if<table_transaction>(&session.next)) {
        session.next = on_commit_answer(session.state, table.commit(*transaction, fault));
    }
    return !std::holds_alternative<change_answer>(session.next);
}

inline change_answer finish(operator_session& session, fake_table& table)
{
    while (step(session, table)) {
    }
    return std::get<change_answer>(session.next);
}

inline change_answer apply_now(fake_table& table, proposed_change change, bool id_given = false)
{
    operator_session session = begin(std::move(change), id_given);
    return finish(session, table);
}

} // namespace dandelionstep::testing
