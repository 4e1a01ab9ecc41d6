#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dandelionstep {

//! An identifier that can't be mixed up with one of another kind.
template <class Tag>
struct strong_id {
    std::string value;

    strong_id() = default;
    explicit strong_id(std::string text) : value(std::move(text)) {}
    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;
};

//! A whole number with a unit that can't be mixed up with one of another unit.
template <class Tag>
struct strong_count {
    std::int64_t value = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend constexpr auto operator<=>(strong_count, strong_count) = default;
    friend constexpr strong_count operator+(strong_count a, strong_count b) { return {a.value + b.value}; }
    friend constexpr strong_count operator-(strong_count a, strong_count b) { return {a.value - b.value}; }
};

} // namespace dandelionstep

template <class Tag>
struct std::hash<dandelionstep::strong_id<Tag>> {
    std::size_t operator()(const dandelionstep::strong_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
