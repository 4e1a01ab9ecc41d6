#include "daemon/configuration_apply.hpp"

#include "absl/strings/str_cat.h"
#include "platform/configuration_rows.hpp"

#include <memory>

namespace dandelionstep {
namespace {

// One change on its way: read the versions, write, settle what is unsure.
class change_commit : public std::enable_shared_from_this<change_commit> {
public:
    change_commit(platform_client& platform, proposed_change change,
                  std::function<void(const change_answer&)> done)
        : platform(platform), change(std::move(change)), done(std::move(done))
    {}

    void start()
    {
        this->platform.read(revision_row, [self = this->shared_from_this()](const read_answer& answer) {
            if (answer.failed) {
                self->answer(outcome::not_run, error_code::store_unavailable,
                             "the platform's table is not reachable");
                return;
            }
            table_condition condition{std::string(revision_row), {}};
            if (!answer.rows.empty()) {
                condition.version = answer.rows.front().version;
                self->number = parse_revision_row(answer.rows.front().value);
            }
            self->number = self->number + revision{1};
            self->transaction.conditions.push_back(std::move(condition));
            self->read_record(0);
        });
    }

private:
    void read_record(std::size_t index)
    {
        if (index == this->change.records.size()) {
            this->commit();
            return;
        }
        const std::string key = record_row_key(this->change.records[index].key);
        this->platform.read(key, [self = this->shared_from_this(), index, key](const read_answer& answer) {
            if (answer.failed) {
                self->answer(outcome::not_run, error_code::store_unavailable,
                             "the platform's table is not reachable");
                return;
            }
            const table_version version =
                answer.rows.empty() ? table_version{0} : answer.rows.front().version;
            self->transaction.conditions.push_back({key, version});
            self->read_record(index + 1);
        });
    }

    void commit()
    {
        accepted_change accepted{.number = this->number, .records = this->change.records};
        for (configuration_record& record : accepted.records) {
            record.changed_at = this->number;
            this->transaction.writes.push_back({record_row_key(record.key), to_json(record)});
        }
        this->transaction.writes.push_back(
            {change_row_key(this->number), to_json(accepted, this->change.id)});
        this->transaction.writes.push_back(
            {std::string(revision_row), json{{"revision", this->number.value}}});
        this->platform.commit(this->transaction, [self =
                                                      this->shared_from_this()](const commit_answer& answer) {
            switch (answer.result) {
            case commit_result::committed:
                self->answer(outcome::completed, error_code::bad_request, "accepted");
                return;
            case commit_result::conflicted:
                self->answer(outcome::not_run, error_code::conflict,
                             "another change was accepted at the same time; look at it, then apply again");
                return;
            case commit_result::refused:
                self->answer(outcome::not_run, error_code::store_unavailable,
                             "the platform's table is not reachable");
                return;
            case commit_result::unsure:
                self->settle();
                return;
            }
        });
    }

    // The change's own row tells whether the transaction took effect.
    void settle()
    {
        this->platform.read(
            change_row_key(this->number), [self = this->shared_from_this()](const read_answer& answer) {
                const bool ours = !answer.rows.empty() && string_or(answer.rows.front().value, "change_id",
                                                                    "") == self->change.id.value;
                if (ours) {
                    self->answer(outcome::completed, error_code::bad_request, "accepted");
                } else if (!answer.failed && !answer.rows.empty()) {
                    self->answer(outcome::not_run, error_code::conflict,
                                 "another change was accepted in its place");
                } else {
                    self->answer(outcome::unknown, error_code::unsettled,
                                 absl::StrCat("whether change \"", self->change.id.value,
                                              "\" was accepted is not known"));
                }
            });
    }

    void answer(outcome result, error_code code, std::string message)
    {
        this->done({result, code, this->number, std::move(message)});
    }

    platform_client& platform;
    proposed_change change;
    std::function<void(const change_answer&)> done;
    table_transaction transaction;
    revision number;
};

} // namespace

void commit_change(platform_client& platform, const proposed_change& change,
                   std::function<void(const change_answer&)> done)
{
    std::make_shared<change_commit>(platform, change, std::move(done))->start();
}

} // namespace dandelionstep
