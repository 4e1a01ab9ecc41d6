#include "request/cost_model.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace dandelionstep {
namespace {

// A daemon completes about one stream of a route per second, so it relearns within some seconds.
constexpr double enough_samples = 4;
constexpr double enough_errors = 3;
// Lengths follow what callers ask for, which changes over minutes.
constexpr double sample_half_life_ms = 120'000;
constexpr double most_samples = 64;
// Errors are judged over fewer samples, so that a model that has become wrong is set aside soon.
constexpr double most_error_samples = 16;
// Smallest variance of a logarithm, as that of a few samples may be zero by chance.
constexpr double least_variance = 0.01;
// Bounds on the ratio of the mean length to the median. Lengths with a standard deviation of 1.2 in the
// logarithm have a ratio of 2.
constexpr double least_median_ratio = 0.5;
constexpr double most_median_ratio = 2;
// Hints are right at the median, so a learned length that differs from one by more is taken to be wrong.
constexpr double most_hint_factor = 4;
constexpr std::size_t most_routes = 256;
// Some 120 bytes each, in each of two generations.
constexpr std::size_t most_kinds = 512;

double count_at(const moving_statistics& statistics, time_point now)
{
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - statistics.updated_at).count));
    return statistics.count * std::exp2(-age / sample_half_life_ms);
}

bool is_enough(const moving_statistics& statistics, time_point now)
{
    return count_at(statistics, now) >= enough_samples;
}

// Whether the learned lengths of the route have been closer than the stated ones.
bool is_better(const route_samples& route, time_point now)
{
    return count_at(route.learned_error, now) >= enough_errors &&
           route.learned_error.mean <= route.stated_error.mean;
}

void add_sample(moving_statistics& statistics, double value, double most, time_point now)
{
    statistics.count = std::min(count_at(statistics, now), most - 1) + 1;
    statistics.updated_at = now;
    const double weight = 1 / statistics.count;
    const double difference = value - statistics.mean;
    statistics.mean += weight * difference;
    statistics.variance = (1 - weight) * (statistics.variance + weight * difference * difference);
}

// Keys of the kinds within the route, the finest one first.
std::array<std::uint64_t, 2> kinds_of(const answer_query& query)
{
    const std::uint64_t route = hash_of(query.route);
    const std::uint64_t organisation = hash_of(query.organisation, route + 1);
    return {hash_of(query.segment, organisation + 1), organisation};
}

const answer_samples* find_kind(const cost_model& model, std::uint64_t kind)
{
    const auto recent = model.recent_kinds.find(kind);
    if (recent != model.recent_kinds.end()) {
        return &recent->second;
    }
    const auto older = model.older_kinds.find(kind);
    return older == model.older_kinds.end() ? nullptr : &older->second;
}

answer_samples& samples_of(cost_model& model, std::uint64_t kind)
{
    const auto recent = model.recent_kinds.find(kind);
    if (recent != model.recent_kinds.end()) {
        return recent->second;
    }
    if (model.recent_kinds.size() >= most_kinds) {
        model.older_kinds = std::exchange(model.recent_kinds, {});
    }
    const answer_samples* known = find_kind(model, kind);
    const answer_samples samples = known == nullptr ? answer_samples{} : *known;
    return model.recent_kinds.emplace(kind, samples).first->second;
}

time_point last_use(const route_samples& samples)
{
    return std::max(samples.answers.length.updated_at, samples.response_ms.updated_at);
}

route_samples& route_of(cost_model& model, const std::string& route)
{
    if (model.routes.size() >= most_routes && !model.routes.contains(route)) {
        model.routes.erase(std::ranges::min_element(
            model.routes, {}, [](const auto& entry) { return last_use(entry.second); }));
    }
    return model.routes[route];
}

// Organisations and segments that are rare for themselves are judged by all of the route.
const answer_samples* finest_known(const cost_model& model, const route_samples& route,
                                   const answer_query& query, time_point now)
{
    for (const std::uint64_t kind : kinds_of(query)) {
        const answer_samples* samples = find_kind(model, kind);
        if (samples != nullptr && is_enough(samples->length, now)) {
            return samples;
        }
    }
    return is_enough(route.answers.length, now) ? &route.answers : nullptr;
}

double log_of(std::int64_t tokens)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, tokens)));
}

// Logarithm of the median length. Where callers give hints, it is the mean of the lengths before and of the
// hint times its usual ratio, each weighted by the inverse of its variance.
double log_median(const answer_samples& samples, const answer_query& query, time_point now)
{
    const double usual = samples.length.mean;
    if (!query.hint || *query.hint <= 0 || !is_enough(samples.ratio, now)) {
        return usual;
    }
    const double hinted = log_of(*query.hint) + samples.ratio.mean;
    const double usual_weight = 1 / std::max(least_variance, samples.length.variance);
    const double hinted_weight = 1 / std::max(least_variance, samples.ratio.variance);
    return (usual * usual_weight + hinted * hinted_weight) / (usual_weight + hinted_weight);
}

void add_length(answer_samples& samples, const answer_query& query, std::int64_t tokens, time_point now)
{
    if (is_enough(samples.length, now)) {
        add_sample(samples.median_ratio, std::exp(log_of(tokens) - log_median(samples, query, now)),
                   most_samples, now);
    }
    add_sample(samples.length, log_of(tokens), most_samples, now);
    if (query.hint && *query.hint > 0) {
        add_sample(samples.ratio, log_of(tokens) - log_of(*query.hint), most_samples, now);
    }
}

void add_length(cost_model& model, route_samples& route, const answer_query& query, std::int64_t tokens,
                time_point now)
{
    add_length(route.answers, query, tokens, now);
    for (const std::uint64_t kind : kinds_of(query)) {
        add_length(samples_of(model, kind), query, tokens, now);
    }
}

// An estimate is compared with each answer before it learns from it.
void add_error(route_samples& route, const answer_query& query, double log_estimate, std::int64_t tokens,
               time_point now)
{
    const double actual = log_of(tokens);
    const double stated = log_of(stated_answer_tokens(query));
    add_sample(route.learned_error, std::abs(actual - log_estimate), most_error_samples, now);
    add_sample(route.stated_error, std::abs(actual - stated), most_error_samples, now);
}

// Load adds up by the mean length, while logarithms give the median.
double mean_to_median(const answer_samples& samples)
{
    if (samples.median_ratio.count <= 0) {
        return 1;
    }
    return std::clamp(samples.median_ratio.mean, least_median_ratio, most_median_ratio);
}

double near_hint(const answer_query& query, double tokens)
{
    if (!query.hint || *query.hint <= 0) {
        return tokens;
    }
    const auto hint = static_cast<double>(*query.hint);
    return std::clamp(tokens, hint / most_hint_factor, hint * most_hint_factor);
}

} // namespace

std::int64_t stated_answer_tokens(const answer_query& query)
{
    return std::min(query.most, query.hint.value_or(query.most));
}

std::int64_t expected_answer_tokens(const cost_model& model, const answer_query& query, time_point now)
{
    const std::int64_t stated = stated_answer_tokens(query);
    const auto route = model.routes.find(query.route);
    if (route == model.routes.end() || !is_better(route->second, now)) {
        return stated;
    }
    const answer_samples* samples = finest_known(model, route->second, query, now);
    if (samples == nullptr) {
        return stated;
    }
    const double mean =
        near_hint(query, std::exp(log_median(*samples, query, now)) * mean_to_median(*samples));
    const auto tokens = std::max<std::int64_t>(1, std::llround(mean));
    return query.most > 0 ? std::min(tokens, query.most) : tokens;
}

void note_answer(cost_model& model, const answer_query& query, std::int64_t tokens, time_point now)
{
    if (tokens <= 0) {
        return;
    }
    route_samples& route = route_of(model, query.route);
    const answer_samples* samples = finest_known(model, route, query, now);
    if (samples != nullptr) {
        add_error(route, query, log_median(*samples, query, now), tokens, now);
    }
    add_length(model, route, query, tokens, now);
}

// Callers leave long answers more often than short ones, so the length at which an answer was cut is no
// sample; but one that is already longer than expected shows that the expectation is too low.
void note_cut_answer(cost_model& model, const answer_query& query, std::int64_t tokens, time_point now)
{
    const auto route = model.routes.find(query.route);
    if (route == model.routes.end()) {
        return;
    }
    const answer_samples* samples = finest_known(model, route->second, query, now);
    if (samples != nullptr && log_of(tokens) > log_median(*samples, query, now)) {
        add_length(model, route->second, query, tokens, now);
    }
}

std::map<std::string, learned_answer> learned_answers(const cost_model& model, time_point now)
{
    constexpr double percent = 100;
    std::map<std::string, learned_answer> learned;
    for (const auto& [name, route] : model.routes) {
        if (is_enough(route.answers.length, now)) {
            const double mean = std::exp(route.answers.length.mean) * mean_to_median(route.answers);
            learned[name] = {std::llround(mean), std::llround(percent * std::expm1(route.learned_error.mean)),
                             std::llround(percent * std::expm1(route.stated_error.mean))};
        }
    }
    return learned;
}

void note_call(cost_model& model, const std::string& route, milliseconds took, time_point now)
{
    add_sample(route_of(model, route).response_ms, static_cast<double>(took.count), most_samples, now);
}

double expected_call_ms(const cost_model& model, const std::string& route, time_point now)
{
    const auto found = model.routes.find(route);
    const bool is_known = found != model.routes.end() && is_enough(found->second.response_ms, now);
    return is_known ? found->second.response_ms.mean : 0;
}

} // namespace dandelionstep
