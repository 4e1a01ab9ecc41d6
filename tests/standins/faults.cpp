#include "faults.hpp"

#include <algorithm>

namespace dandelionstep::standins {

bool fault_switches::handle(const received_request& request, const std::shared_ptr<http_reply>& reply)
{
    if (request.path != "/faults") {
        return false;
    }
    if (request.method == "POST") {
        const auto changes = parse_json(request.body);
        if (!changes.ok() || !changes->is_object()) {
            reply->send(400, R"({"error":"faults are a JSON object"})");
            return true;
        }
        this->values.update(*changes);
    }
    reply->send(200, dump(this->values));
    return true;
}

bool fault_switches::lists(const char* name, const std::string& value) const
{
    const auto found = this->values.find(name);
    return found != this->values.end() && found->is_array() &&
           std::find(found->begin(), found->end(), value) != found->end();
}

bool fault_switches::take(const char* name)
{
    const std::int64_t left = this->number(name);
    if (left > 0) {
        this->values[name] = left - 1;
    }
    return left > 0;
}

std::int64_t fault_switches::take_number(const char* name)
{
    const std::int64_t value = this->number(name);
    this->values.erase(name);
    return value;
}

} // namespace dandelionstep::standins
