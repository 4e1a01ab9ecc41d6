#include "daemon/configuration_apply.hpp"

#include "absl/strings/str_cat.h"

#include <memory>
#include <set>

namespace dandelionstep {
namespace {

constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_records = 1000;

// Carries out what change_commit decides.
class running_commit : public std::enable_shared_from_this<running_commit> {
public:
    running_commit(platform_client& platform, change_commit state,
                   std::function<void(const change_answer&)> done)
        : platform(platform), state(std::move(state)), done(std::move(done))
    {}

    void begin() { this->carry_out(start(this->state)); }

private:
    void carry_out(const commit_action& action)
    {
        if (const auto* wanted = std::get_if<rows_to_read>(&action)) {
            this->wanted = *wanted;
            this->found = {};
            this->read_row(0);
        } else if (const auto* transaction = std::get_if<table_transaction>(&action)) {
            this->platform.commit(*transaction,
                                  [self = this->shared_from_this()](const commit_answer& answer) {
                                      self->carry_out(on_commit_answer(self->state, answer));
                                  });
        } else {
            this->done(std::get<change_answer>(action));
        }
    }

    void read_row(std::size_t index)
    {
        if (index == this->wanted.keys.size() || this->found.failed) {
            this->carry_out(on_rows(this->state, this->found));
            return;
        }
        this->platform.read(this->wanted.keys[index],
                            [self = this->shared_from_this(), index](const read_answer& answer) {
                                self->found.failed = answer.failed;
                                for (const table_row& row : answer.rows) {
                                    self->found.rows.emplace(row.key, row);
                                }
                                self->read_row(index + 1);
                            });
    }

    platform_client& platform;
    change_commit state;
    std::function<void(const change_answer&)> done;
    rows_to_read wanted;
    rows_read found;
};

absl::StatusOr<proposed_record> parse_proposed_record(const json& value)
{
    auto record = parse_record(value);
    if (!record.ok()) {
        return record.status();
    }
    // What this build can't read is refused later, by the names of all daemons that can't read it.
    if (record->schema_version <= newest_schema_version) {
        if (const absl::Status status = validate(*record); !status.ok()) {
            return status;
        }
    }
    proposed_record proposed{.record = *std::move(record), .expected_revision = {}};
    if (value.contains("changed_at")) {
        proposed.expected_revision = proposed.record.changed_at;
    }
    return proposed;
}

absl::Status check_id(const std::string& id)
{
    const bool plain =
        id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") ==
        std::string::npos;
    if (id.empty() || id.size() > max_id_bytes || !plain) {
        return absl::InvalidArgumentError("member \"change_id\" takes 1 to 128 letters, digits and ._-");
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<received_change> parse_received_change(const std::string& body, const std::string& fresh_id)
{
    auto value = parse_json(body);
    if (!value.ok()) {
        return value.status();
    }
    received_change received;
    received.id_given = value->contains("change_id");
    received.change.id = change_id(string_or(*value, "change_id", fresh_id));
    if (const absl::Status status = check_id(received.change.id.value); !status.ok()) {
        return status;
    }
    const auto records = value->find("records");
    if (records == value->end() || !records->is_array() || records->empty() ||
        records->size() > max_records) {
        return absl::InvalidArgumentError("member \"records\" must be a list of 1 to 1000 records");
    }
    std::set<record_key> keys;
    for (const json& entry : *records) {
        auto proposed = parse_proposed_record(entry);
        if (!proposed.ok()) {
            return proposed.status();
        }
        const record_key& key = proposed->record.key;
        if (!keys.insert(key).second) {
            return absl::InvalidArgumentError(
                absl::StrCat("record \"", key.kind, "/", key.name, "\" stands twice in one change"));
        }
        received.change.records.push_back(*std::move(proposed));
    }
    return received;
}

void commit_change(platform_client& platform, const received_change& received,
                   std::vector<schema_reader> readers, std::function<void(const change_answer&)> done)
{
    change_commit state;
    state.change = received.change;
    state.readers = std::move(readers);
    state.outcome_unknown = received.id_given;
    std::make_shared<running_commit>(platform, std::move(state), std::move(done))->begin();
}

} // namespace dandelionstep
