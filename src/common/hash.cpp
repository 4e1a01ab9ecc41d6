#include "common/hash.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace dandelionstep {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

std::int64_t content_digest(std::string_view text)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits = 15;
    return std::stoll(sha256_hex(text).substr(0, digits), nullptr, hexadecimal);
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace dandelionstep
