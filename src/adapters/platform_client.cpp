#include "adapters/platform_client.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/percent_encode.hpp"
#include "common/json.hpp"
#include "target/parse_endpoint.hpp"

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr int busy_status = 429;
constexpr int unavailable_status = 503;

std::string transaction_body(const table_transaction& transaction)
{
    json conditions = json::array();
    for (const table_condition& condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version.value}});
    }
    json writes = json::array();
    for (const table_write& write : transaction.writes) {
        json entry{{"key", write.key}};
        if (write.value) {
            entry["value"] = *write.value;
        } else {
            entry["delete"] = true;
        }
        writes.push_back(std::move(entry));
    }
    return dump({{"conditions", conditions}, {"writes", writes}});
}

std::optional<table_row> parse_row(const json& value)
{
    auto key = string_member(value, "key");
    auto version = integer_member(value, "version");
    if (!key.ok() || !version.ok() || !value.contains("value")) {
        return std::nullopt;
    }
    return table_row{*key, table_version{*version}, value["value"]};
}

commit_answer parse_commit(const http_result& result)
{
    if (result.failure == http_failure::not_connected) {
        return {.result = commit_result::refused, .version = {}, .conflict = {}};
    }
    // The contract says that these two statuses mean "not executed".
    if (result.answered() && (result.status == busy_status || result.status == unavailable_status)) {
        return {.result = commit_result::refused, .version = {}, .conflict = {}};
    }
    const auto body = parse_json(result.body);
    if (!result.answered() || !body.ok()) {
        return {.result = commit_result::outcome_unknown, .version = {}, .conflict = {}};
    }
    if (result.status == ok_status) {
        return {commit_result::committed, table_version{integer_or(*body, "version", 0)}, {}};
    }
    if (result.status == conflict_status) {
        commit_answer answer{.result = commit_result::conflicted, .version = {}, .conflict = {}};
        if (const auto row = body->find("row"); row != body->end()) {
            answer.conflict = parse_row(*row);
        }
        return answer;
    }
    return {.result = commit_result::outcome_unknown, .version = {}, .conflict = {}};
}

read_answer parse_rows(const http_result& result)
{
    read_answer answer;
    const auto body = parse_json(result.body);
    if (!result.answered() || result.status != ok_status || !body.ok() || !body->contains("rows")) {
        answer.failed = true;
        return answer;
    }
    answer.as_of = table_version{integer_or(*body, "as_of", 0)};
    for (const json& entry : (*body)["rows"]) {
        if (auto row = parse_row(entry)) {
            answer.rows.push_back(*std::move(row));
        }
    }
    return answer;
}

std::vector<endpoint> parse_peers(const http_result& result)
{
    std::vector<endpoint> peers;
    const auto body = parse_json(result.body);
    if (!result.answered() || result.status != ok_status || !body.ok()) {
        return peers;
    }
    for (const json& vm : body->value("vms", json::array())) {
        const auto address = parse_endpoint(string_or(vm, "peer_address", ""));
        if (address.ok() && string_or(vm, "state", "live") != "leaving") {
            peers.push_back(*address);
        }
    }
    return peers;
}

object_list parse_object_list(const http_result& result)
{
    const auto body = parse_json(result.body);
    object_list list;
    if (!result.answered() || result.status != ok_status || !body.ok() || !body->contains("names")) {
        list.failed = true;
        return list;
    }
    for (const json& name : (*body)["names"]) {
        if (name.is_string()) {
            list.names.push_back(name.get<std::string>());
        }
    }
    return list;
}

} // namespace

void platform_client::commit(const table_transaction& transaction,
                             std::function<void(const commit_answer&)> done)
{
    http_request request{.method = "POST", .path = "/v1/table/transact"};
    request.headers = {{"Content-Type", "application/json"}};
    request.body = transaction_body(transaction);
    request.timeout = this->timeout;
    this->http.send(this->platform, std::move(request),
                    [done = std::move(done)](const http_result& result) { done(parse_commit(result)); });
}

void platform_client::read(std::string_view key, std::function<void(const read_answer&)> done)
{
    this->get_rows(absl::StrCat("/v1/table/get?key=", percent_encode(key)), std::move(done));
}

void platform_client::scan(std::string_view prefix, std::string_view after, int limit,
                           std::function<void(const read_answer&)> done)
{
    this->get_rows(absl::StrCat("/v1/table/scan?prefix=", percent_encode(prefix),
                                "&after=", percent_encode(after), "&limit=", limit),
                   std::move(done));
}

void platform_client::get_rows(const std::string& path, std::function<void(const read_answer&)> done)
{
    http_request request{.method = "GET", .path = path};
    request.timeout = this->timeout;
    this->http.send(this->platform, std::move(request),
                    [done = std::move(done)](const http_result& result) { done(parse_rows(result)); });
}

void platform_client::list_peers(std::function<void(const std::vector<endpoint>&)> done)
{
    http_request request{.method = "GET", .path = "/v1/vms"};
    request.timeout = this->timeout;
    this->http.send(this->platform, std::move(request),
                    [done = std::move(done)](const http_result& result) { done(parse_peers(result)); });
}

void platform_client::put_object(std::string_view name, std::string body,
                                 std::function<void(bool stored)> done)
{
    http_request request{.method = "PUT", .path = absl::StrCat("/v1/objects/", percent_encode(name, "/"))};
    request.body = std::move(body);
    request.timeout = this->timeout;
    this->http.send(this->platform, std::move(request), [done = std::move(done)](const http_result& result) {
        done(result.answered() && result.status == ok_status);
    });
}

void platform_client::get_object(std::string_view name, std::function<void(const http_result&)> done)
{
    http_request request{.method = "GET", .path = absl::StrCat("/v1/objects/", percent_encode(name, "/"))};
    request.timeout = this->timeout;
    this->http.send(this->platform, std::move(request), std::move(done));
}

void platform_client::list_objects(std::string_view prefix, std::function<void(const object_list&)> done)
{
    http_request request{.method = "GET",
                         .path = absl::StrCat("/v1/objects?prefix=", percent_encode(prefix))};
    request.timeout = this->timeout;
    this->http.send(this->platform, std::move(request),
                    [done = std::move(done)](const http_result& result) { done(parse_object_list(result)); });
}

} // namespace dandelionstep
