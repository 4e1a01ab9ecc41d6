#include "daemon/configuration_operations.hpp"

namespace dandelionstep {

bool handle_configuration_operation(const daemon_context& context, const received_request& request,
                                    const std::shared_ptr<http_reply>& reply)
{
    if (request.method != "GET" || request.path != "/v1/configuration") {
        return false;
    }
    const std::string kind = request.parameter("kind");
    const std::string name = request.parameter("name");
    json records = json::array();
    for (const auto& [key, record] : context.configuration.records) {
        const bool wanted = (kind.empty() || kind == key.kind) && (name.empty() || name == key.name);
        if (wanted && !record.deleted) {
            records.push_back(to_json(record));
        }
    }
    reply->send(200, dump({{"revision", context.configuration.number.value}, {"records", records}}));
    return true;
}

} // namespace dandelionstep
