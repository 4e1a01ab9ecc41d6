#include "order/settlement.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep {
namespace {

using actions = std::vector<settlement_action>;

constexpr milliseconds retry_after{1000};
constexpr std::size_t max_note_bytes = 1024;

class settlement_step {
public:
    settlement_step(settlement_state& state, wall_time now) : state(state), now(now) {}

    actions operator()(const settlement_started& /*event*/)
    {
        if (this->state.waiting == settlement_wait::start) {
            this->read(settlement_wait::reading);
        }
        return std::move(this->result);
    }

    actions operator()(const order_event& event)
    {
        if (const auto* read = std::get_if<order_read>(&event)) {
            this->on_read(*read);
        } else if (this->state.waiting == settlement_wait::writing) {
            this->on_write_result(event);
        }
        return std::move(this->result);
    }

private:
    void on_read(const order_read& event)
    {
        const bool reading_back = this->state.waiting == settlement_wait::reading_back;
        if (!reading_back && this->state.waiting != settlement_wait::reading) {
            return;
        }
        if (!event.failed) {
            this->decide(event.current);
        } else if (this->state.reads < this->state.max_reads) {
            this->read(this->state.waiting);
        } else {
            this->refuse(reading_back, error_code::store_unavailable, "the platform's table is not reachable",
                         retry_after);
        }
    }

    void on_write_result(const order_event& event)
    {
        if (std::holds_alternative<write_committed>(event)) {
            this->finish(this->state.written);
        } else if (const auto* conflict = std::get_if<write_conflicted>(&event)) {
            this->decide(conflict->current);
        } else if (std::holds_alternative<write_refused>(event)) {
            this->refuse(false, error_code::store_unavailable, "the platform's table is not reachable",
                         retry_after);
        } else if (std::holds_alternative<write_outcome_unknown>(event)) {
            this->read(settlement_wait::reading_back);
        }
    }

    void read(settlement_wait waiting)
    {
        this->state.waiting = waiting;
        ++this->state.reads;
        this->result.emplace_back(read_order{});
    }

    [[nodiscard]] order_phase wanted_phase() const
    {
        return this->state.request.ran ? order_phase::settled_ran : order_phase::settled_not_run;
    }

    void decide(const std::optional<stored_order>& current)
    {
        if (!current || current->record.nonce.empty()) {
            this->refuse(false, error_code::conflict,
                         "the table has no row of this order, or one that can't be read", {});
            return;
        }
        order_record record = current->record;
        if (record.phase == this->wanted_phase() && record.note == this->state.request.note) {
            this->finish(record);
            return;
        }
        if (record.phase != order_phase::sending) {
            this->refuse(false, error_code::conflict,
                         absl::StrCat("the order is ", std::string(to_string(record.phase)),
                                      "; only one that is \"sending\" can be settled"),
                         {});
            return;
        }
        const std::int64_t age = this->now.count - record.claimed_at.count;
        if (age < this->state.request.min_age.count) {
            this->refuse(false, error_code::conflict, "the order may still be on its way to a target",
                         milliseconds{this->state.request.min_age.count - age});
            return;
        }
        this->write(current->version, std::move(record));
    }

    void write(row_version expected, order_record record)
    {
        record.phase = this->wanted_phase();
        record.note = this->state.request.note;
        this->state.waiting = settlement_wait::writing;
        this->state.written = record;
        this->result.emplace_back(write_order{expected, std::move(record)});
    }

    void finish(const order_record& record)
    {
        this->state.waiting = settlement_wait::finished;
        this->result.emplace_back(settlement_done{record});
    }

    void refuse(bool may_have_changed, error_code code, std::string message, milliseconds retry_delay)
    {
        this->state.waiting = settlement_wait::finished;
        execution_tracker own_write;
        if (may_have_changed) {
            own_write.begin_send();
        }
        this->result.emplace_back(
            settlement_refused{own_write.refuse(code, std::move(message), retry_delay)});
    }

    settlement_state& state;
    wall_time now;
    actions result;
};

} // namespace

absl::StatusOr<settlement_request> parse_settlement(const json& value)
{
    settlement_request request;
    request.organisation = organisation_id(string_or(value, "organisation", ""));
    request.service = service_id(string_or(value, "service", ""));
    request.key = order_key(string_or(value, "key", ""));
    request.note = string_or(value, "note", "");
    if (request.organisation.value.empty() || request.service.value.empty() || request.key.value.empty()) {
        return absl::InvalidArgumentError("a settlement names \"organisation\", \"service\" and \"key\"");
    }
    if (request.note.empty() || request.note.size() > max_note_bytes) {
        return absl::InvalidArgumentError(
            absl::StrCat("a settlement has a \"note\" of 1 to ", max_note_bytes, " bytes"));
    }
    const auto ran = value.find("ran");
    if (ran == value.end() || !ran->is_boolean()) {
        return absl::InvalidArgumentError("member \"ran\" must be true or false");
    }
    request.ran = ran->get<bool>();
    return request;
}

std::vector<settlement_action> advance(settlement_state& state, const settlement_event& event, wall_time now)
{
    if (state.waiting == settlement_wait::finished) {
        return {};
    }
    return std::visit(settlement_step(state, now), event);
}

} // namespace dandelionstep
