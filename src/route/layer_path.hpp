#pragma once

#include "route/entry_config.hpp"
#include "target/engine_use.hpp"
#include "target/target_registry.hpp"

#include <optional>
#include <vector>

namespace dandelionstep {

//! An engine that a path may use, and its estimated load.
struct path_candidate {
    const registered_target* target = nullptr;
    //! Requests of all daemons that run on it.
    double running = 0;
    //! Share of its KV cache in use; may exceed 1.
    double kv_cache_used = 0;
    //! Share of its entry slots in use, by requests whose paths begin at it; may exceed 1.
    double entry_slots_used = 0;
    //! Factor on its processing times; above 1 for an engine that reports to be slow.
    double slowness = 1;
    //! Share of its time that it needs for prefill; may exceed 1.
    double prefill_load = 0;
    //! Random factor on its cost in the search, so that paths chosen at the same time spread over the
    //! engines.
    double cost_factor = 1;
    //! Whether paths may begin at it. An engine in backoff accepts no new requests, but still runs layers for
    //! requests that entered at another engine.
    bool may_enter = true;
    //! Tokens that the running requests are still expected to generate; nullopt if unknown.
    std::optional<double> remaining_tokens = std::nullopt;
    //! Those beside which the new request is expected to decode on average; `running` if not estimated.
    std::optional<double> running_meanwhile = std::nullopt;
};

//! An engine of a path and the layers that it runs there.
struct path_part {
    const registered_target* target = nullptr;
    held_layers layers;
};

//! Share of an engine's KV cache up to which its cost does not rise while load is controlled. Expected
//! lengths are close enough for a smaller reserve than without; with a large one, streams run on slow
//! accelerators while fast ones have room. With 0.85 more streams are in time, but engines reject twice as
//! many where nothing is known of their lengths (tests/route/learned_cost_differential_test.cpp).
inline constexpr double controlled_free_kv_cache_share = 0.7;

//! The layers that a path must cover, and where it begins.
struct path_query {
    const engine_profile* profile = nullptr;
    //! First layer to cover.
    std::int64_t from_layer = 0;
    //! End of the layers to cover; 0 for the end of the model.
    std::int64_t to_layer = 0;
    //! Engine that runs the layer before from_layer; null if the path begins with the request.
    const registered_target* previous = nullptr;
    //! Tokens of a moved stream, for which each engine of the path must first repeat the prefill; 0 for a new
    //! request. If set, the time of this prefill is minimised instead of that of a decode step.
    double moved_tokens = 0;
    //! Tokens of a new request's prompt, whose prefill counts with `prefill_weight`.
    double prompt_tokens = 0;
    //! Share of an engine's KV cache up to which its cost does not rise.
    double free_kv_cache_share = 0.5;
    //! Weight of the prefill's time against the time of one decode step.
    double prefill_weight = 0;
    //! Data centre where the request arrived; beginning the path in another one costs time.
    data_centre_id entry;
};

//! Finds the path with the least estimated time for one token, or for the prefill of the moved tokens. It
//! covers the layers [from_layer, to_layer) once and in order and uses no engine twice. Empty if the
//! candidates do not hold all of these layers.
std::vector<path_part> find_layer_path(const path_query& query,
                                       const std::vector<path_candidate>& candidates);

//! Whether the parts cover [from_layer, layers) without gap or overlap, and every engine holds its part.
bool is_valid_path(const std::vector<path_part>& path, std::int64_t from_layer, std::int64_t layers);

//! Time that each decoding request adds to a step over all layers, before the accelerator's factor.
double step_ms_of_request(const engine_profile& profile);

//! Estimated duration of one decode step over `layers` layers on an accelerator with `running` requests.
double step_time_ms(const engine_profile& profile, const accelerator_kind& kind, std::int64_t layers,
                    double running);

//! Duration of the prefill of `tokens` tokens over `layers` layers on an accelerator.
double prefill_time_ms(const engine_profile& profile, const accelerator_kind& kind, std::int64_t layers,
                       double tokens);

//! Factor by which a candidate's steps take longer than the profile states, because it is slow or spends part
//! of its time on prefill.
double step_time_factor(const path_candidate& candidate);

//! The engine as a candidate under this use by all requests, `slowness` times slower than usual.
path_candidate candidate_with(const engine_profile& profile, const registered_target& target,
                              const engine_use& use, double slowness);

//! Estimates beside how many requests one with an answer of this length would decode at each candidate.
void estimate_meanwhile(std::vector<path_candidate>& candidates, double answer_tokens);

//! Number of tokens whose KV cache over `held` layers fits into memory beside these layers.
double kv_cache_tokens(const engine_profile& profile, const accelerator_kind& kind, std::int64_t held);

} // namespace dandelionstep
