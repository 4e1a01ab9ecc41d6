#include "adapters/http_text.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <array>
#include <vector>

namespace dandelionstep {
namespace {

std::string_view reason_of(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void append_headers(std::string& text, const http_headers& headers)
{
    for (const auto& [name, value] : headers) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
}

bool equals(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

} // namespace

std::string response_head(int status, const http_headers& headers)
{
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ", std::string(reason_of(status)), "\r\n");
    append_headers(text, headers);
    text += "\r\n";
    return text;
}

std::string response_text(int status, const http_headers& headers, std::string_view body)
{
    constexpr int status_no_content = 204;
    constexpr int status_not_modified = 304;
    http_headers all = headers;
    if (status != status_no_content && status != status_not_modified) {
        all.emplace_back("Content-Length", std::to_string(body.size()));
    }
    std::string text = response_head(status, all);
    text += body;
    return text;
}

std::string request_head(const std::string& method, const std::string& target, const http_headers& headers,
                         std::size_t body_bytes)
{
    std::string text = absl::StrCat(method, " ", target, " HTTP/1.1\r\n");
    append_headers(text, headers);
    if (body_bytes > 0 || method == "POST" || method == "PUT" || method == "PATCH") {
        absl::StrAppend(&text, "Content-Length: ", body_bytes, "\r\n");
    }
    text += "\r\n";
    return text;
}

std::string request_text(const std::string& method, const std::string& target, const http_headers& headers,
                         std::string_view body)
{
    std::string text = request_head(method, target, headers, body.size());
    text += body;
    return text;
}

bool is_connection_header(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names = {"Connection",
                                                               "Keep-Alive",
                                                               "Proxy-Connection",
                                                               "Proxy-Authenticate",
                                                               "Proxy-Authorization",
                                                               "TE",
                                                               "Trailer",
                                                               "Transfer-Encoding",
                                                               "Upgrade",
                                                               "Expect"};
    return std::ranges::any_of(names, [name](std::string_view known) { return equals(known, name); });
}

http_headers without_connection_headers(const http_headers& headers)
{
    std::vector<std::string> named;
    for (const auto& [name, value] : headers) {
        if (equals(name, "Connection")) {
            for (absl::string_view part : absl::StrSplit(value, ',')) {
                named.emplace_back(absl::StripAsciiWhitespace(part));
            }
        }
    }
    http_headers kept;
    for (const auto& header : headers) {
        const std::string& name = header.first;
        const bool is_named =
            std::ranges::any_of(named, [&](const std::string& other) { return equals(other, name); });
        if (!is_named && !is_connection_header(name) && !equals(name, "Content-Length")) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace dandelionstep
