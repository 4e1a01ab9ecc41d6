#include "adapters/vm_list_client.hpp"

#include "common/json.hpp"

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;

listed_vm parse_vm(const json& entry)
{
    listed_vm vm;
    vm.name = string_or(entry, "name", "");
    vm.address = string_or(entry, "address", "");
    vm.leaving = string_or(entry, "state", "live") == "leaving";
    if (const auto started = integer_member(entry, "incarnation"); started.ok()) {
        vm.started = incarnation{*started};
    }
    return vm;
}

std::optional<vm_list> parse_list(const http_result& result)
{
    const auto body = parse_json(result.body);
    if (!result.answered() || result.status != ok_status || !body.ok() || !body->is_object()) {
        return std::nullopt;
    }
    vm_list list;
    list.age = {integer_or(*body, "age_ms", 0)};
    for (const json& entry : body->value("vms", json::array())) {
        if (entry.is_object()) {
            list.vms.push_back(parse_vm(entry));
        }
    }
    return list;
}

} // namespace

void read_vm_list(http_client& http, const endpoint& platform, milliseconds timeout,
                  std::function<void(const std::optional<vm_list>&)> done)
{
    http_request request{.method = "GET", .path = "/v1/vms"};
    request.timeout = timeout;
    http.send(platform, std::move(request),
              [done = std::move(done)](const http_result& result) { done(parse_list(result)); });
}

} // namespace dandelionstep
