#include "order/order_record.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"
#include "common/json.hpp"

#include <array>

namespace dandelionstep {
namespace {

struct phase_name {
    order_phase phase;
    std::string_view name;
};

constexpr std::array phase_names{
    phase_name{order_phase::claimed, "claimed"},
    phase_name{order_phase::sending, "sending"},
    phase_name{order_phase::done, "done"},
    phase_name{order_phase::released, "released"},
    phase_name{order_phase::settled_ran, "settled_ran"},
    phase_name{order_phase::settled_not_run, "settled_not_run"},
};

} // namespace

std::string_view to_string(order_phase phase)
{
    for (const phase_name& row : phase_names) {
        if (row.phase == phase) {
            return row.name;
        }
    }
    return "";
}

absl::StatusOr<order_phase> parse_order_phase(std::string_view text)
{
    for (const phase_name& row : phase_names) {
        if (row.name == text) {
            return row.phase;
        }
    }
    return absl::InvalidArgumentError(absl::StrCat("order phase \"", std::string(text), "\" is not known"));
}

std::string table_key(const order_record& order)
{
    // The caller's key is hashed, since it may contain any bytes and have any length.
    return absl::StrCat(std::string(order_prefix), order.organisation.value, "/", order.service.value, "/",
                        sha256_hex(order.key.value));
}

json to_json(const order_record& order)
{
    return {
        {"schema_version", 1},
        {"organisation", order.organisation.value},
        {"service", order.service.value},
        {"key", order.key.value},
        {"phase", std::string(to_string(order.phase))},
        {"nonce", order.nonce},
        {"holder", order.holder.value},
        {"body_sha256", order.body_sha256},
        {"claimed_at_ms", order.claimed_at.count},
        {"request", order.request.value},
        {"answer",
         {{"status", order.answer.status},
          {"content_type", order.answer.content_type},
          {"body", order.answer.body},
          {"body_kept", order.answer.body_kept}}},
        {"note", order.note},
    };
}

absl::StatusOr<order_record> parse_order_record(const json& value)
{
    auto phase_text = string_member(value, "phase");
    if (!phase_text.ok()) {
        return phase_text.status();
    }
    auto phase = parse_order_phase(*phase_text);
    if (!phase.ok()) {
        return phase.status();
    }
    order_record order;
    order.organisation = organisation_id(string_or(value, "organisation", ""));
    order.service = service_id(string_or(value, "service", ""));
    order.key = order_key(string_or(value, "key", ""));
    order.phase = *phase;
    order.nonce = string_or(value, "nonce", "");
    order.holder = vm_id(string_or(value, "holder", ""));
    order.body_sha256 = string_or(value, "body_sha256", "");
    order.claimed_at = {integer_or(value, "claimed_at_ms", 0)};
    order.request = request_id(string_or(value, "request", ""));
    order.note = string_or(value, "note", "");
    if (const auto answer = value.find("answer"); answer != value.end()) {
        order.answer.status = static_cast<int>(integer_or(*answer, "status", 0));
        order.answer.content_type = string_or(*answer, "content_type", "");
        order.answer.body = string_or(*answer, "body", "");
        order.answer.body_kept = boolean_or(*answer, "body_kept", true);
    }
    return order;
}

} // namespace dandelionstep
