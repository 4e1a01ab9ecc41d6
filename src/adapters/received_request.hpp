#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionstep {

using http_headers = std::vector<std::pair<std::string, std::string>>;

//! The value under the name, whose case does not matter, or an empty text.
std::string find_header(const http_headers& headers, std::string_view name);

//! A request as a server received it.
struct received_request {
    std::string method;
    std::string path;
    //! Decoded query parameters in order.
    http_headers query;
    http_headers headers;
    std::string body;

    //! The parameter's or header's value, or an empty text.
    [[nodiscard]] std::string parameter(std::string_view name) const;
    [[nodiscard]] std::string header(std::string_view name) const;
};

} // namespace dandelionstep
