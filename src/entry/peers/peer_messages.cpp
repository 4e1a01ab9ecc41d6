#include "entry/peers/peer_messages.hpp"

#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "common/packed_text.hpp"
#include "entry/registry/registry_messages.hpp"
#include "entry/suspects/suspect_messages.hpp"
#include "target/parse_endpoint.hpp"

#include <cmath>

namespace dandelionstep {
namespace {

// A thousandth of a token and layer per millisecond is far below one request. The digits that are left out
// make up for most of the bytes of the remaining tokens.
double rounded(double prefill_load)
{
    constexpr double steps = 1'000;
    return std::round(prefill_load * steps) / steps;
}

json uses_json(const engine_uses& uses)
{
    json list = json::array();
    for (const auto& [id, use] : uses) {
        json item = {{"id", id.value},
                     {"running", use.running},
                     {"entered", use.entered},
                     {"token_layers", use.token_layers},
                     {"reading", use.prefill_load}};
        if (use.remaining) {
            item["reading"] = rounded(use.prefill_load);
            item["remaining"] = std::llround(*use.remaining);
        }
        list.push_back(std::move(item));
    }
    return list;
}

// Daemons of older versions don't tell it, nor do those without load control.
std::optional<double> parse_remaining(const json& item)
{
    const std::int64_t remaining = integer_or(item, "remaining", -1);
    return remaining < 0 ? std::nullopt : std::optional(static_cast<double>(remaining));
}

std::optional<engine_uses> parse_uses(const json& object)
{
    const auto list = object.find("uses");
    if (list == object.end() || !list->is_array()) {
        return std::nullopt;
    }
    engine_uses uses;
    for (const json& item : *list) {
        uses[target_id(string_or(item, "id", ""))] = {
            integer_or(item, "running", 0), integer_or(item, "entered", 0),
            number_or(item, "token_layers", 0), number_or(item, "reading", 0), parse_remaining(item)};
    }
    return uses;
}

json leaving_json(const leaving_marks& marks)
{
    json list = json::array();
    for (const auto& [id, started] : marks) {
        list.push_back({{"id", id.value}, {"started", started.value}});
    }
    return list;
}

leaving_marks parse_leaving(const json& message)
{
    leaving_marks marks;
    for (const json& item : message.value("leaving", json::array())) {
        if (item.is_object()) {
            marks[target_id(string_or(item, "id", ""))] = {integer_or(item, "started", 0)};
        }
    }
    return marks;
}

json peer_json(const peer& one)
{
    return {{"vm", one.vm.value}, {"at", to_string(one.at)}};
}

std::optional<peer> parse_peer(const json& object)
{
    const std::string vm = string_or(object, "vm", "");
    const absl::StatusOr<endpoint> at = parse_endpoint(string_or(object, "at", ""));
    if (vm.empty() || !at.ok()) {
        return std::nullopt;
    }
    return peer{vm_id(vm), *at};
}

std::vector<peer> parse_peers(const json& object, const char* name)
{
    std::vector<peer> peers;
    for (const json& item : object.value(name, json::array())) {
        if (const std::optional<peer> one = parse_peer(item)) {
            peers.push_back(*one);
        }
    }
    return peers;
}

std::optional<peer> parse_better(const json& object)
{
    const auto found = object.find("better");
    return found == object.end() ? std::nullopt : parse_peer(*found);
}

// The configuration as plain or packed text; empty when the answer holds none.
absl::StatusOr<std::string> parse_config_text(const json& answer)
{
    const std::string packed = string_or(answer, "config_packed", "");
    return packed.empty() ? string_or(answer, "config", "") : unpack_text(packed, most_unpacked_bytes);
}

} // namespace

std::string to_text(const peer_question& question)
{
    json message = {{"vm", question.vm.value},
                    {"at", to_string(question.at)},
                    {"capacity", question.capacity},
                    {"process", std::to_string(question.process)},
                    {"sequence", question.sequence},
                    {"registry_digest", std::to_string(question.registry_digest)},
                    {"config_version", question.config_version},
                    {"takes_packed", question.takes_packed},
                    {"wait_ms", question.wait.count}};
    if (!question.left.value.empty()) {
        message["left"] = question.left.value;
    }
    if (question.reads_store) {
        message["reads_store"] = true;
    }
    if (question.uses) {
        message["uses"] = uses_json(*question.uses);
        if (!question.uses_of.value.empty()) {
            message["uses_of"] = question.uses_of.value;
        }
    }
    if (!question.leaving.empty()) {
        message["leaving"] = leaving_json(question.leaving);
    }
    if (question.era.value != 0) {
        message["era"] = question.era.value;
    }
    message["suspects_sequence"] = question.suspects_sequence;
    if (!question.suspects.empty()) {
        message["suspects"] = suspects_json(question.suspects);
    }
    message["segments_sequence"] = question.segments_sequence;
    if (!question.segments.empty()) {
        message["segments"] = segments_json(question.segments);
    }
    if (question.only_tells) {
        message["only_tells"] = true;
    }
    if (!question.ended.empty()) {
        message["ended"] = ended_json(question.ended);
    }
    return dump(message);
}

absl::StatusOr<peer_question> parse_peer_question(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const absl::StatusOr<std::string> vm = string_member(*parsed, "vm");
    if (!vm.ok()) {
        return vm.status();
    }
    peer_question question;
    question.vm = vm_id(*vm);
    const absl::StatusOr<endpoint> at = parse_endpoint(string_or(*parsed, "at", ""));
    question.at = at.ok() ? *at : endpoint{};
    question.capacity = number_or(*parsed, "capacity", 0);
    question.left = vm_id(string_or(*parsed, "left", ""));
    question.reads_store = boolean_or(*parsed, "reads_store", false);
    question.process = number_in_text(*parsed, "process");
    question.sequence = integer_or(*parsed, "sequence", 0);
    question.registry_digest = number_in_text(*parsed, "registry_digest");
    question.config_version = integer_or(*parsed, "config_version", -1);
    question.takes_packed = boolean_or(*parsed, "takes_packed", false);
    question.wait = {integer_or(*parsed, "wait_ms", 0)};
    question.era = {std::max<std::int64_t>(0, integer_or(*parsed, "era", 0))};
    question.uses = parse_uses(*parsed);
    question.uses_of = data_centre_id(string_or(*parsed, "uses_of", ""));
    question.leaving = parse_leaving(*parsed);
    question.suspects = parse_suspects(*parsed, "suspects");
    question.suspects_sequence = integer_or(*parsed, "suspects_sequence", -1);
    question.segments = parse_segments(*parsed, "segments");
    question.only_tells = boolean_or(*parsed, "only_tells", false);
    question.ended = parse_ended(*parsed, "ended");
    question.segments_sequence = integer_or(*parsed, "segments_sequence", -1);
    return question;
}

std::string uses_text(const engine_uses& uses)
{
    return dump(uses_json(uses));
}

std::string to_text(const peer_answer& answer)
{
    const std::string registry = registry_text(answer.registry);
    const std::string uses = answer.uses ? uses_text(*answer.uses) : "";
    const auto uses_part = answer.uses ? std::optional<std::string_view>(uses) : std::nullopt;
    return to_text(answer, {registry, uses_part, std::nullopt});
}

std::string to_text(const peer_answer& answer, const answer_parts& parts)
{
    json successors = json::array();
    for (const peer& one : answer.successors) {
        successors.push_back(peer_json(one));
    }
    json message = {{"process", std::to_string(answer.process)},
                    {"config", answer.config},
                    {"config_age_ms", answer.config_age.count},
                    {"targets_age_ms", answer.targets_age.count},
                    {"reaches_store", answer.reaches_store},
                    {"era", answer.position.era.value},
                    {"config_position", answer.position.config},
                    {"targets_position", answer.position.targets},
                    {"daemons", answer.daemons},
                    {"siblings", answer.siblings},
                    {"successors", std::move(successors)}};
    if (answer.better) {
        message["better"] = peer_json(*answer.better);
    }
    if (answer.store_age) {
        message["store_age_ms"] = answer.store_age->count;
    }
    message["suspects_sequence"] = answer.suspects_sequence;
    if (!answer.suspects.empty()) {
        message["suspects"] = suspects_json(answer.suspects);
    }
    message["segments_sequence"] = answer.segments_sequence;
    if (!answer.segments.empty()) {
        message["segments"] = segments_json(answer.segments);
    }
    std::string text = dump(message);
    // The members of the registry's object become members of the answer.
    text.back() = ',';
    if (parts.packed_config) {
        absl::StrAppend(&text, R"("config_packed":")", std::string(*parts.packed_config), R"(",)");
    }
    text += parts.registry.substr(1);
    if (parts.uses) {
        text.pop_back();
        text += ",\"uses\":";
        text += *parts.uses;
        text += '}';
    }
    return text;
}

absl::StatusOr<peer_answer> parse_peer_answer(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const absl::StatusOr<std::int64_t> config_age = integer_member(*parsed, "config_age_ms");
    const absl::StatusOr<std::int64_t> targets_age = integer_member(*parsed, "targets_age_ms");
    if (!config_age.ok() || !targets_age.ok()) {
        return absl::InvalidArgumentError("the answer does not say how old it is");
    }
    peer_answer answer;
    answer.config_age = {*config_age};
    answer.targets_age = {*targets_age};
    answer.process = number_in_text(*parsed, "process");
    const absl::StatusOr<std::string> config = parse_config_text(*parsed);
    if (!config.ok()) {
        return config.status();
    }
    answer.config = *config;
    answer.reaches_store = boolean_or(*parsed, "reaches_store", true);
    // Daemons of older versions don't tell it.
    if (const absl::StatusOr<std::int64_t> store_age = integer_member(*parsed, "store_age_ms");
        store_age.ok()) {
        answer.store_age = milliseconds{*store_age};
    }
    answer.position.era = {std::max<std::int64_t>(0, integer_or(*parsed, "era", 0))};
    answer.position.config = integer_or(*parsed, "config_position", 0);
    answer.position.targets = integer_or(*parsed, "targets_position", 0);
    answer.successors = parse_peers(*parsed, "successors");
    answer.better = parse_better(*parsed);
    answer.daemons = integer_or(*parsed, "daemons", 0);
    answer.siblings = integer_or(*parsed, "siblings", 0);
    answer.uses = parse_uses(*parsed);
    answer.suspects = parse_suspects(*parsed, "suspects");
    answer.suspects_sequence = integer_or(*parsed, "suspects_sequence", 0);
    answer.segments = parse_segments(*parsed, "segments");
    answer.segments_sequence = integer_or(*parsed, "segments_sequence", 0);
    absl::StatusOr<registry_update> registry = parse_registry(*parsed);
    if (!registry.ok()) {
        return registry.status();
    }
    answer.registry = *std::move(registry);
    return answer;
}

std::string to_text(const peer_referral& referral)
{
    json message = {{"is_starting", referral.is_starting}};
    if (referral.better) {
        message["better"] = peer_json(*referral.better);
    }
    return dump(message);
}

peer_referral parse_peer_referral(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok() || !parsed->is_object()) {
        return {};
    }
    return {parse_better(*parsed), boolean_or(*parsed, "is_starting", false)};
}

} // namespace dandelionstep
