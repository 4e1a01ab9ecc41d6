#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstep::standins {

//! The activation that enters layer 0 for the token after `given`; depends on every earlier token.
std::uint64_t first_activation(const std::string& model, const std::string& version,
                               const std::string& prompt, const std::vector<std::string>& given);

//! Folds the layers [begin, end) into the activation, in order; leaving one out or swapping two changes it.
std::uint64_t run_layers(std::uint64_t activation, std::int64_t begin, std::int64_t end);

//! The token that the last layer's activation stands for.
std::string sample_token(std::uint64_t activation);

//! How many tokens the whole answer has.
std::int64_t answer_length(const std::string& prompt, std::int64_t max_tokens);

//! The whole answer, computed by one machine: what every pipeline must give.
std::vector<std::string> naive_answer(const std::string& model, const std::string& version,
                                      const std::string& prompt, std::int64_t layers,
                                      std::int64_t max_tokens);

} // namespace dandelionstep::standins
