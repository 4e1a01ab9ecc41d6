#include "common/packed_text.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <zlib.h>

namespace dandelionstep {
namespace {

// Of the levels of compression the fastest; texts of this kind shrink to a tenth all the same.
constexpr int fastest = 1;

// zlib's interface takes bytes that it reads as mutable.
Bytef* bytes_of(const std::string& text)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast,cppcoreguidelines-pro-type-reinterpret-cast)
    return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(text.data()));
}

absl::StatusOr<std::string> inflate_text(const std::string& compressed, std::size_t most_bytes)
{
    constexpr std::size_t step_bytes = 65'536;
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return absl::ResourceExhaustedError("no memory to unpack the text");
    }
    stream.next_in = bytes_of(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string text;
    std::string step(step_bytes, '\0');
    int result = Z_OK;
    while (result == Z_OK && text.size() <= most_bytes) {
        stream.next_out = bytes_of(step);
        stream.avail_out = static_cast<uInt>(step.size());
        result = inflate(&stream, Z_NO_FLUSH);
        text.append(step, 0, step.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (text.size() > most_bytes) {
        return absl::InvalidArgumentError(
            absl::StrCat("the packed text is longer than ", most_bytes, " bytes"));
    }
    if (result != Z_STREAM_END) {
        return absl::InvalidArgumentError("the packed text is damaged or cut");
    }
    return text;
}

} // namespace

std::string pack_text(std::string_view text)
{
    const std::string plain(text);
    uLongf length = compressBound(static_cast<uLong>(plain.size()));
    std::string compressed(length, '\0');
    // With the bound as room it fails only for want of memory, which ends the process anyway.
    compress2(bytes_of(compressed), &length, bytes_of(plain), static_cast<uLong>(plain.size()), fastest);
    compressed.resize(length);
    return absl::Base64Escape(compressed);
}

absl::StatusOr<std::string> unpack_text(std::string_view packed, std::size_t most_bytes)
{
    std::string compressed;
    if (!absl::Base64Unescape(std::string(packed), &compressed)) {
        return absl::InvalidArgumentError("the packed text is not base64");
    }
    return inflate_text(compressed, most_bytes);
}

} // namespace dandelionstep
