#pragma once

#include "route/entry_config.hpp"
#include "target/entry_target.hpp"

#include <optional>
#include <vector>

namespace dandelionstep {

//! An engine that may be part of a path, with its present load.
struct path_candidate {
    const registered_target* target = nullptr;
    //! Requests that are estimated to run on it, of all daemons.
    double running = 0;
    //! Estimated share of its memory for requests that is taken, 0 to 1 and above.
    double kv_cache_used = 0;
    //! Estimated share of the requests that it can take in as the first engine of their paths.
    double entry_slots_used = 0;
    //! Factor on its times; above 1 for an engine that was found slow.
    double slowness = 1;
    //! Share of its time that it spends on reading prompts, 0 to 1 and above.
    double reading = 0;
    //! Factor on its cost alone. Drawn anew for each choice, it spreads many that choose at the same time.
    double cost_factor = 1;
    //! Whether requests may enter there; an engine that rests is passed through by those that entered
    //! elsewhere.
    bool may_enter = true;
};

//! One engine's part of a path.
struct path_part {
    const registered_target* target = nullptr;
    held_layers layers;
};

//! What a path is to cover.
struct path_query {
    const engine_profile* profile = nullptr;
    //! First layer that is still to be placed.
    std::int64_t from_layer = 0;
    //! End of the layers to be placed; all of the model's when 0.
    std::int64_t to_layer = 0;
    //! Engine that runs the layer before; null at the start.
    const registered_target* previous = nullptr;
    //! Tokens that each engine of the path has to read first, of a stream that moves; 0 for a new request.
    //! They decide instead of the time of a token step.
    double moved_tokens = 0;
    //! Where the request enters; paths begin there when that is as fast.
    data_centre_id entry;
};

//! The path of least estimated time for one token, or for reading the moved tokens, over layers [from_layer,
//! to_layer), every layer once and in order and no engine twice. Empty when some layer is held by no
//! candidate.
std::vector<path_part> find_layer_path(const path_query& query,
                                       const std::vector<path_candidate>& candidates);

//! Whether the parts cover [from_layer, layers) without gap or overlap, within what their engines hold.
bool is_valid_path(const std::vector<path_part>& path, std::int64_t from_layer, std::int64_t layers);

//! What each writing request adds to a step over all layers, before the accelerator's factor.
double step_ms_of_request(const engine_profile& profile);

//! Estimated time of one token step over `layers` layers on an accelerator with `running` requests.
double step_time_ms(const engine_profile& profile, const accelerator_kind& kind, std::int64_t layers,
                    double running);

//! Time to read `tokens` of a prompt over `layers` layers on an accelerator.
double prefill_time_ms(const engine_profile& profile, const accelerator_kind& kind, std::int64_t layers,
                       double tokens);

//! Factor by which a candidate's steps take longer than its kind's: it is slow, or reads prompts meanwhile.
double step_time_factor(const path_candidate& candidate);

//! Tokens of requests that fit beside `held` layers, each over all the held layers.
double kv_cache_tokens(const engine_profile& profile, const accelerator_kind& kind, std::int64_t held);

} // namespace dandelionstep
