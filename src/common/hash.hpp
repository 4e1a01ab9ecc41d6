#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstep {

//! A fast hash of the text, equal on every machine; not for secrets.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

//! The SHA-256 digest of the text, in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

//! The first 60 bits of the SHA-256 digest of the text, a positive number: nobody can craft another text with
//! the same one.
std::int64_t content_digest(std::string_view text);

//! Whether two texts are equal, in time that does not depend on where they differ.
bool equal_in_constant_time(std::string_view a, std::string_view b);

} // namespace dandelionstep
