#include "common/packed_text.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

namespace {

constexpr std::size_t plenty = 10'000'000;

// Routes as they stand in a configuration.
std::string many_routes(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += R"({"Name":"route)" + std::to_string(i) + R"(","Host":"shop.example","Kind":"safe"},)";
    }
    return text;
}

} // namespace

TEST_CASE("a text is unpacked as it was packed")
{
    const std::string bytes("\0\xff\"quoted\"\n", 11);
    for (const std::string& text : {std::string(), std::string("x"), bytes, many_routes(2'000)}) {
        CAPTURE(text.size());
        const absl::StatusOr<std::string> unpacked = unpack_text(pack_text(text), plenty);
        REQUIRE(unpacked.ok());
        CHECK(*unpacked == text);
    }
}

TEST_CASE("a configuration of many routes shrinks to less than a fifth")
{
    const std::string routes = many_routes(2'000);
    CHECK(pack_text(routes).size() * 5 < routes.size());
}

TEST_CASE("a packed text stands in JSON as it is")
{
    CHECK(pack_text(many_routes(100)).find_first_of("\"\\\n") == std::string::npos);
}

TEST_CASE("what is no packed text, or is cut, or too long, is refused with the reason")
{
    const std::string packed = pack_text(many_routes(500));
    CHECK_FALSE(unpack_text("not base64!", plenty).ok());
    CHECK_FALSE(unpack_text("bm8gemxpYg==", plenty).ok());
    CHECK_FALSE(unpack_text(packed.substr(0, packed.size() / 8 * 4), plenty).ok());
    CHECK_FALSE(unpack_text(packed, 100).ok());
    CHECK(unpack_text(packed, 100).status().message().find("longer than 100 bytes") != std::string::npos);
}
