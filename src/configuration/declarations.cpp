#include "configuration/declarations.hpp"

#include "absl/strings/str_cat.h"
#include "target/parse_endpoint.hpp"

#include <algorithm>
#include <array>

namespace dandelionstep {
namespace {

constexpr std::size_t sha256_hex_length = 64;

absl::Status with_record_name(const configuration_record& record, const absl::Status& cause)
{
    return {cause.code(),
            absl::StrCat("record \"", record.key.kind, "/", record.key.name, "\": ", cause.message())};
}

absl::Status invalid_record(const configuration_record& record, std::string_view what)
{
    return with_record_name(record, absl::InvalidArgumentError(std::string(what)));
}

std::vector<std::string> string_list(const json& body, const char* name)
{
    std::vector<std::string> list;
    if (const auto found = body.find(name); found != body.end() && found->is_array()) {
        for (const json& entry : *found) {
            if (entry.is_string()) {
                list.push_back(entry.get<std::string>());
            }
        }
    }
    std::ranges::sort(list);
    return list;
}

absl::StatusOr<organisation> parse_organisation(const configuration_record& record)
{
    auto token = string_member(record.body, "token_sha256");
    if (!token.ok()) {
        return with_record_name(record, token.status());
    }
    if (token->size() != sha256_hex_length) {
        return invalid_record(record, "member \"token_sha256\" must be 64 hexadecimal digits");
    }
    organisation parsed{.id = organisation_id(record.key.name), .token_sha256 = *token};
    parsed.weight = number_or(record.body, "weight", parsed.weight);
    parsed.max_in_flight = integer_or(record.body, "max_in_flight", parsed.max_in_flight);
    if (parsed.weight <= 0 || parsed.max_in_flight < 1) {
        return invalid_record(record, "members \"weight\" and \"max_in_flight\" must be above 0");
    }
    return parsed;
}

absl::StatusOr<model> parse_model(const configuration_record& record)
{
    auto version = string_member(record.body, "version");
    auto layers = integer_member(record.body, "layers");
    if (!version.ok() || !layers.ok()) {
        return with_record_name(record, version.ok() ? layers.status() : version.status());
    }
    if (*layers < 1) {
        return invalid_record(record, "member \"layers\" must be at least 1");
    }
    model parsed{.id = model_id(record.key.name), .version = *version};
    parsed.adapters = string_list(record.body, "adapters");
    parsed.layer_count = layer_index{*layers};
    parsed.answer_window = {integer_or(record.body, "answer_window_ms", parsed.answer_window.count)};
    auto level = parse_service_level(record.body);
    if (!level.ok()) {
        return with_record_name(record, level.status());
    }
    parsed.level = *level;
    parsed.activation_bytes = {integer_or(record.body, "activation_bytes", parsed.activation_bytes.value)};
    if (parsed.activation_bytes.value < 1) {
        return invalid_record(record, "member \"activation_bytes\" must be at least 1");
    }
    return parsed;
}

absl::StatusOr<service> parse_service(const configuration_record& record)
{
    service parsed{.id = service_id(record.key.name)};
    for (std::string& path : string_list(record.body, "idempotent_paths")) {
        parsed.idempotent_paths.insert(std::move(path));
    }
    parsed.call_timeout = {integer_or(record.body, "call_timeout_ms", parsed.call_timeout.count)};
    parsed.refusals_did_not_run = boolean_or(record.body, "refusals_did_not_run", false);
    auto level = parse_service_level(record.body);
    if (!level.ok()) {
        return with_record_name(record, level.status());
    }
    parsed.level = *level;
    if (parsed.call_timeout.count < 1) {
        return invalid_record(record, "member \"call_timeout_ms\" must be at least 1");
    }
    return parsed;
}

absl::StatusOr<engine_spec> parse_engine(const configuration_record& record)
{
    auto model_name = string_member(record.body, "model");
    auto version = string_member(record.body, "version");
    auto begin = integer_member(record.body, "begin_layer");
    auto end = integer_member(record.body, "end_layer");
    for (const absl::Status& status : {model_name.status(), version.status(), begin.status(), end.status()}) {
        if (!status.ok()) {
            return with_record_name(record, status);
        }
    }
    if (*begin < 0 || *end <= *begin) {
        return invalid_record(
            record, "member \"end_layer\" must be above \"begin_layer\", which must not be negative");
    }
    engine_spec parsed;
    parsed.variant = {model_id(*model_name), *version, string_list(record.body, "adapters")};
    parsed.layers = {layer_index{*begin}, layer_index{*end}};
    parsed.accelerator = string_or(record.body, "accelerator", "unnamed");
    parsed.tokens_per_second = number_or(record.body, "tokens_per_second", parsed.tokens_per_second);
    parsed.step_ms = number_or(record.body, "step_ms", parsed.step_ms);
    parsed.checks_fencing = boolean_or(record.body, "checks_fencing", false);
    if (parsed.tokens_per_second <= 0 || parsed.step_ms <= 0) {
        return invalid_record(record, "members \"tokens_per_second\" and \"step_ms\" must be above 0");
    }
    return parsed;
}

absl::StatusOr<target> parse_target(const configuration_record& record)
{
    auto data_centre = string_member(record.body, "data_centre");
    auto address = string_member(record.body, "address");
    if (!data_centre.ok() || !address.ok()) {
        return with_record_name(record, data_centre.ok() ? address.status() : data_centre.status());
    }
    auto where = parse_endpoint(*address);
    if (!where.ok()) {
        return with_record_name(record, where.status());
    }
    target parsed{
        .id = target_id(record.key.name), .data_centre = data_centre_id(*data_centre), .address = *where};
    if (const std::string name = string_or(record.body, "service", ""); !name.empty()) {
        parsed.service = service_id(name);
        return parsed;
    }
    auto engine = parse_engine(record);
    if (!engine.ok()) {
        return engine.status();
    }
    parsed.engine = *std::move(engine);
    return parsed;
}

absl::StatusOr<link> parse_link(const configuration_record& record)
{
    auto from = string_member(record.body, "from");
    auto to = string_member(record.body, "to");
    if (!from.ok() || !to.ok()) {
        return with_record_name(record, from.ok() ? to.status() : from.status());
    }
    link parsed{.from = data_centre_id(*from), .to = data_centre_id(*to)};
    parsed.latency_ms = number_or(record.body, "latency_ms", parsed.latency_ms);
    parsed.megabytes_per_second = number_or(record.body, "megabytes_per_second", parsed.megabytes_per_second);
    if (parsed.latency_ms < 0 || parsed.megabytes_per_second <= 0) {
        return invalid_record(
            record, "\"latency_ms\" must not be negative and \"megabytes_per_second\" must be above 0");
    }
    return parsed;
}

template <class Map, class Parsed>
absl::Status store_in(Map& map, const absl::StatusOr<Parsed>& parsed)
{
    if (!parsed.ok()) {
        return parsed.status();
    }
    map.insert_or_assign(parsed->id, *parsed);
    return absl::OkStatus();
}

absl::Status apply_organisation(declarations& all, const configuration_record& record)
{
    if (record.deleted) {
        all.organisations.erase(organisation_id(record.key.name));
        return absl::OkStatus();
    }
    return store_in(all.organisations, parse_organisation(record));
}

absl::Status apply_model(declarations& all, const configuration_record& record)
{
    if (record.deleted) {
        all.models.erase(model_id(record.key.name));
        return absl::OkStatus();
    }
    return store_in(all.models, parse_model(record));
}

absl::Status apply_service(declarations& all, const configuration_record& record)
{
    if (record.deleted) {
        all.services.erase(service_id(record.key.name));
        return absl::OkStatus();
    }
    return store_in(all.services, parse_service(record));
}

absl::Status apply_target(declarations& all, const configuration_record& record)
{
    if (record.deleted) {
        all.targets.erase(target_id(record.key.name));
        return absl::OkStatus();
    }
    return store_in(all.targets, parse_target(record));
}

absl::Status apply_link(declarations& all, const configuration_record& record)
{
    auto parsed = parse_link(record);
    if (!parsed.ok()) {
        return parsed.status();
    }
    std::erase_if(all.links,
                  [&](const link& known) { return known.from == parsed->from && known.to == parsed->to; });
    if (!record.deleted) {
        all.links.push_back(*parsed);
    }
    return absl::OkStatus();
}

absl::Status apply_drain(declarations& all, const configuration_record& record)
{
    const target_id drained(record.key.name);
    if (record.deleted) {
        all.draining.erase(drained);
    } else {
        all.draining.insert(drained);
    }
    return absl::OkStatus();
}

struct kind_handler {
    std::string_view kind;
    absl::Status (*apply)(declarations&, const configuration_record&);
};

constexpr std::array kinds{
    kind_handler{"organisation", apply_organisation},
    kind_handler{"model", apply_model},
    kind_handler{"service", apply_service},
    kind_handler{"target", apply_target},
    kind_handler{"link", apply_link},
    kind_handler{"drain", apply_drain},
};

} // namespace

absl::Status validate(const configuration_record& record)
{
    declarations scratch;
    return apply_record(scratch, record);
}

absl::Status apply_record(declarations& all, const configuration_record& record)
{
    if (record.schema_version < 1 || record.schema_version > newest_schema_version) {
        return invalid_record(record, absl::StrCat("schema_version ", record.schema_version,
                                                   " is not readable; this build reads 1 to ",
                                                   newest_schema_version));
    }
    for (const kind_handler& row : kinds) {
        if (row.kind == record.key.kind) {
            return row.apply(all, record);
        }
    }
    return invalid_record(record, absl::StrCat("kind \"", record.key.kind, "\" is not known"));
}

} // namespace dandelionstep
