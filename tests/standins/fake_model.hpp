#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstep::standins {

//! The KV cache of consecutive layers: for each layer one entry for each position.
using layer_cache = std::vector<std::vector<std::uint64_t>>;

//! The activation that enters layer 0 at a position: the prompt at 0, the token before it at any other.
std::uint64_t embed(const std::string& model, const std::string& version, const std::string& prompt,
                    const std::vector<std::string>& tokens, std::size_t position);

//! Runs the layers [begin, end) at one position and returns the activation after them.
//! The result depends on every earlier position through the cache: leaving a layer out, running one twice,
//! out of order or with another request's cache changes it. Entries from the position on are replaced.
std::uint64_t run_layers(layer_cache& cache, std::int64_t begin, std::int64_t end, std::size_t position,
                         std::uint64_t activation);

//! The number of positions that the cache holds.
std::size_t positions_in(const layer_cache& cache);

//! The token that the last layer's activation stands for.
std::string sample_token(std::uint64_t activation);

//! How many tokens the whole answer has.
std::int64_t answer_length(const std::string& prompt, std::int64_t max_tokens);

//! The whole answer, computed by one machine: what every pipeline must give.
std::vector<std::string> naive_answer(const std::string& model, const std::string& version,
                                      const std::string& prompt, std::int64_t layers,
                                      std::int64_t max_tokens);

} // namespace dandelionstep::standins
