#pragma once

#include "adapters/received_request.hpp"

#include <string>
#include <string_view>

namespace dandelionstep {

//! The head of a response, with the empty line that ends it.
std::string response_head(int status, const http_headers& headers);

//! A whole response; its length is added, but for statuses that have no body.
std::string response_text(int status, const http_headers& headers, std::string_view body);

//! The head of a request whose body has so many bytes, with the empty line that ends it. The length is added
//! when there is a body or the method usually has one.
std::string request_head(const std::string& method, const std::string& target, const http_headers& headers,
                         std::size_t body_bytes);

//! A whole request; its length is added when it has a body or its method usually has one.
std::string request_text(const std::string& method, const std::string& target, const http_headers& headers,
                         std::string_view body);

//! Whether the header concerns one connection only and is not passed on.
bool is_connection_header(std::string_view name);

//! The headers without those that concern one connection, among them those that `Connection` names, and
//! without the body's length, which is given anew.
http_headers without_connection_headers(const http_headers& headers);

} // namespace dandelionstep
