#include "soak/repeated_refusals.hpp"

#include "absl/strings/match.h"

#include <array>
#include <string_view>

namespace dandelionstep::soak {

std::string refusal_in(evbuffer* input)
{
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, bytes.data(), bytes.size());
    const bool is_one = absl::StartsWith(bytes, "HTTP/1.1 ") && absl::EndsWith(bytes, "\r\n\r\n") &&
                        absl::StrContains(bytes, "Dandelionstep-Not-Executed: ");
    return is_one ? bytes : "";
}

std::string without_id(const std::string& refusal)
{
    constexpr std::string_view line_end = "\r\n";
    const std::size_t begin = refusal.find("Dandelionstep-Attempt-Id: ");
    if (begin == std::string::npos) {
        return refusal;
    }
    const std::size_t end = refusal.find(line_end, begin) + line_end.size();
    return refusal.substr(0, begin) + refusal.substr(end);
}

bool begins_request(evbuffer* input)
{
    std::array<char, 5> start{};
    evbuffer_copyout(input, start.data(), start.size());
    const std::string_view method(start.data(), start.size());
    return method.starts_with("GET ") || method == "POST ";
}

} // namespace dandelionstep::soak
