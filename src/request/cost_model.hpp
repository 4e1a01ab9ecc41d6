#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace dandelionstep {

//! Moving mean and variance of samples, of which older ones count less.
struct moving_statistics {
    //! Number of samples that the mean stands for; falls with time.
    double count = 0;
    double mean = 0;
    double variance = 0;
    time_point updated_at{0};
};

//! What is known of an answer before it is generated.
struct answer_query {
    std::string route;
    //! Empty if the request has none.
    std::string organisation;
    //! First segment of the prompt that other requests share; empty if there is none.
    std::string segment;
    //! The caller's estimate of the length in tokens.
    std::optional<std::int64_t> hint;
    //! Longest answer that the caller takes, in tokens; 0 if it did not say.
    std::int64_t most = 0;
};

//! Lengths of answers of one kind.
struct answer_samples {
    //! Logarithm of the length in tokens.
    moving_statistics length;
    //! Logarithm of the length's ratio to the hint.
    moving_statistics ratio;
    //! Ratio of the length to the median that was expected from these samples.
    moving_statistics median_ratio;
};

//! What was observed of one route.
struct route_samples {
    answer_samples answers;
    //! Absolute error of the logarithm of the learned length, and of the stated one.
    moving_statistics learned_error;
    moving_statistics stated_error;
    //! Response time of calls to plain services in milliseconds.
    moving_statistics response_ms;
};

//! Learns the lengths of answers and the response times of calls. Bounded: routes and finer kinds that were
//! not used for longest are forgotten.
struct cost_model {
    //! By the route's name.
    std::map<std::string, route_samples> routes;
    //! By kind within a route; the kinds used since the last generation began, and those used in the one
    //! before.
    std::unordered_map<std::uint64_t, answer_samples> recent_kinds;
    std::unordered_map<std::uint64_t, answer_samples> older_kinds;
};

//! The length that the request itself states: its hint, or the longest one.
std::int64_t stated_answer_tokens(const answer_query& query);

//! Expected length of the answer in tokens; the stated one while too little is known, or while the learned
//! one is further off.
std::int64_t expected_answer_tokens(const cost_model& model, const answer_query& query, time_point now);

//! Notes that an answer of `tokens` tokens was completed.
void note_answer(cost_model& model, const answer_query& query, std::int64_t tokens, time_point now);

//! Notes that an answer was cut off after `tokens` tokens, which is a lower bound of its length.
void note_cut_answer(cost_model& model, const answer_query& query, std::int64_t tokens, time_point now);

//! What is known of the answers of a route.
struct learned_answer {
    //! Expected length without a hint; 0 while too little is known.
    std::int64_t tokens = 0;
    //! Factors by which the learned and the stated length are usually off, less 1, in percent.
    std::int64_t learned_error_percent = 0;
    std::int64_t stated_error_percent = 0;
};

//! What is known of each route whose answers have lengths.
std::map<std::string, learned_answer> learned_answers(const cost_model& model, time_point now);

//! Notes the response time of a call to a plain service.
void note_call(cost_model& model, const std::string& route, milliseconds took, time_point now);

//! Expected response time of a call in milliseconds; 0 while too little is known.
double expected_call_ms(const cost_model& model, const std::string& route, time_point now);

} // namespace dandelionstep
