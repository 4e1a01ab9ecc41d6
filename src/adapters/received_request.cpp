#include "adapters/received_request.hpp"

#include <strings.h>

namespace dandelionstep {

std::string find_header(const http_headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return "";
}

std::string received_request::parameter(std::string_view name) const
{
    return find_header(this->query, name);
}

std::string received_request::header(std::string_view name) const
{
    return find_header(this->headers, name);
}

} // namespace dandelionstep
