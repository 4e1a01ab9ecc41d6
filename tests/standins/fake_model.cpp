#include "fake_model.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <algorithm>
#include <array>

namespace dandelionstep::standins {

std::uint64_t embed(const std::string& model, const std::string& version, const std::string& prompt,
                    const std::vector<std::string>& tokens, std::size_t position)
{
    if (position == 0) {
        return hash_of(absl::StrCat(model, "\n", version, "\n", prompt));
    }
    return hash_of(tokens[position - 1]);
}

std::uint64_t run_layers(layer_cache& cache, std::int64_t begin, std::int64_t end, std::size_t position,
                         std::uint64_t activation)
{
    cache.resize(static_cast<std::size_t>(end - begin));
    for (std::int64_t layer = begin; layer < end; ++layer) {
        std::vector<std::uint64_t>& entries = cache[static_cast<std::size_t>(layer - begin)];
        entries.resize(position);
        const std::uint64_t before = entries.empty() ? 0 : entries.back();
        const std::array<std::uint64_t, 3> input{static_cast<std::uint64_t>(layer), before, activation};
        activation = hash_of({reinterpret_cast<const char*>(input.data()), sizeof(input)});
        entries.push_back(activation);
    }
    return activation;
}

std::size_t positions_in(const layer_cache& cache)
{
    return cache.empty() ? 0 : cache.front().size();
}

std::string sample_token(std::uint64_t activation)
{
    static constexpr std::array<std::string_view, 16> words{
        "tallow", "lye", "core", "mill", "board", "kraft", "soap", "cure",
        "tube",   "oil", "note", "dock", "label", "crush", "pour", "grade"};
    return absl::StrCat(std::string(words[activation % words.size()]), activation / words.size() % 100, " ");
}

std::int64_t answer_length(const std::string& prompt, std::int64_t max_tokens)
{
    constexpr std::int64_t shortest = 20;
    constexpr std::uint64_t spread = 20;
    // A prompt that ends in "[n]" asks for exactly n tokens, so that load tools can choose.
    const std::size_t open = prompt.rfind('[');
    const std::size_t close = prompt.rfind(']');
    if (open != std::string::npos && close != std::string::npos && close > open + 1 && close - open < 8) {
        const std::int64_t asked = std::strtoll(prompt.c_str() + open + 1, nullptr, 10);
        if (asked > 0) {
            return std::min(asked, max_tokens);
        }
    }
    return std::min(shortest + static_cast<std::int64_t>(hash_of(prompt) % spread), max_tokens);
}

std::vector<std::string> naive_answer(const std::string& model, const std::string& version,
                                      const std::string& prompt, std::int64_t layers, std::int64_t max_tokens)
{
    std::vector<std::string> tokens;
    const std::int64_t length = answer_length(prompt, max_tokens);
    layer_cache cache;
    for (std::int64_t index = 0; index < length; ++index) {
        const auto position = static_cast<std::size_t>(index);
        const std::uint64_t input = embed(model, version, prompt, tokens, position);
        tokens.push_back(sample_token(run_layers(cache, 0, layers, position, input)));
    }
    return tokens;
}

} // namespace dandelionstep::standins
