#include "adapters/percent_encode.hpp"

namespace dandelionstep {

std::string percent_encode(std::string_view text, std::string_view also_plain)
{
    constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (plain.find(c) != std::string_view::npos || also_plain.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            const auto byte = static_cast<unsigned char>(c);
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xFU];
        }
    }
    return encoded;
}

} // namespace dandelionstep
