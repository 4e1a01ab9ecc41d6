#include "route/local_path.hpp"
#include "support/mixed_engines.hpp"
#include "target/target_condition.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr double latency_objective_ms = 500;
constexpr double running = 40;
constexpr double slowness = 5;

//! Engines that run one prefill at a time, and streams that arrive at a steady rate.
class prefill_simulation {
public:
    explicit prefill_simulation(bool considers_prefill_in) : considers_prefill(considers_prefill_in)
    {
        for (const char* centre : {"n", "p", "q"}) {
            const std::string name = centre;
            this->engines.push_back(engine_with(name + "1", "middle", name, 0, 40));
            this->engines.push_back(engine_with(name + "2", "middle", name, 40, 80));
        }
        this->conditions.resize(this->engines.size());
        this->free_at.resize(this->engines.size());
    }

    //! Returns the sorted times until the prefill is complete on the whole path.
    std::vector<double> run(int streams, std::int64_t interval_ms)
    {
        const std::vector<std::string> centres{"n", "p", "q"};
        std::vector<double> waits;
        for (int stream = 0; stream < streams; ++stream) {
            const time_point now{1'000 + stream * interval_ms};
            waits.push_back(
                this->send_request(centres[static_cast<std::size_t>(stream) % centres.size()], now));
        }
        std::ranges::sort(waits);
        return waits;
    }

private:
    [[nodiscard]] double engine_prefill_ms(std::size_t engine, std::int64_t layers, double tokens) const
    {
        const double slow = engine == 0 ? slowness : 1;
        return slow * prefill_time_ms(this->profile, this->profile.kinds.at("middle"), layers, tokens);
    }

    [[nodiscard]] std::vector<path_candidate> candidates(time_point now) const
    {
        std::vector<path_candidate> result;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            path_candidate candidate{&this->engines[i], running, 0, 0, i == 0 ? slowness : 1};
            if (this->considers_prefill) {
                candidate.prefill_load =
                    this->engine_prefill_ms(i, 1, current_prefill_load(this->conditions[i], now));
            }
            result.push_back(candidate);
        }
        return result;
    }

    double send_request(const std::string& centre, time_point now)
    {
        path_query query;
        query.profile = &this->profile;
        query.entry = data_centre_id(centre);
        const auto path = choose_layer_path(query, this->candidates(now), {100, 0.8});
        REQUIRE(is_valid_path(path, 0, this->profile.layers));
        auto done = static_cast<double>(now.count);
        for (const path_part& part : path) {
            const auto engine = static_cast<std::size_t>(part.target - this->engines.data());
            const auto layers = part.layers.size();
            note_prefill(this->conditions[engine],
                         this->profile.mean_prompt_tokens * static_cast<double>(layers), now);
            done = std::max(done, this->free_at[engine]) +
                   this->engine_prefill_ms(engine, layers, this->profile.mean_prompt_tokens);
            this->free_at[engine] = done;
        }
        return done - static_cast<double>(now.count);
    }

    engine_profile profile = mixed_profile();
    std::vector<registered_target> engines;
    std::vector<target_condition> conditions;
    std::vector<double> free_at;
    bool considers_prefill;
};

double percentile_95(const std::vector<double>& sorted)
{
    return sorted[sorted.size() * 95 / 100];
}

} // namespace

// An engine has become slow. Its decode steps are still in time, but it can no longer run the prefill of all
// prompts in its data centre.
TEST_CASE("a slow engine gets no more prompts than it can prefill, although its decode steps are in time")
{
    constexpr int streams = 1'200;
    constexpr std::int64_t interval_ms = 13;
    const double considering_prefill = percentile_95(prefill_simulation(true).run(streams, interval_ms));
    const double ignoring_prefill = percentile_95(prefill_simulation(false).run(streams, interval_ms));
    MESSAGE("95th percentile of the prefill: ", considering_prefill, " ms, ", ignoring_prefill,
            " ms if the choice of paths ignores it");
    CHECK(considering_prefill <= latency_objective_ms);
    CHECK(ignoring_prefill > latency_objective_ms);
}
