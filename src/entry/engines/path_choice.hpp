#pragma once

#include "entry/context/entry_context.hpp"

#include <set>
#include <string>
#include <vector>

namespace dandelionstep {

//! What a path is wanted for.
struct path_wish {
    const entry_service* service = nullptr;
    //! First layer that is still to be placed.
    std::int64_t from_layer = 0;
    //! End of the layers to be placed; all of the model's when 0.
    std::int64_t to_layer = 0;
    //! Engine that runs the layer before; null at the start.
    const hop* previous = nullptr;
    std::set<target_id> excluded;
    //! Tokens that have to be read again, of a stream that moves; 0 for a new request.
    std::int64_t moved_tokens = 0;
    //! Longest pause between events for which the stream is on time.
    milliseconds gap_objective{200};
    //! Tokens of a new request's prompt, and of its prompt and answer together; 0 if unknown.
    std::int64_t prompt_tokens = 0;
    std::int64_t total_tokens = 0;
    //! Longest time to the first event for which the stream is on time.
    milliseconds latency_objective{1'000};
};

//! What a request was noted to take of each engine on its path.
struct path_booking {
    //! Its prompt and answer once it is complete.
    std::int64_t total_tokens = 0;
    //! Tokens of the answer that are still expected; 0 if not estimated.
    std::int64_t remaining_tokens = 0;

    friend bool operator==(const path_booking&, const path_booking&) = default;
};

//! A path and how a new request is expected to fare on it now.
struct path_estimate {
    //! Empty if there is no path.
    std::vector<hop> path;
    //! Highest share in use of the KV cache of its engines, or of the first one's entry slots, with the
    //! request; may exceed 1.
    double use = 0;
    //! Of that, the share of the first one's entry slots.
    double entry_use = 0;
    //! Until the first event arrives at this daemon.
    milliseconds first_event{0};
    //! Between two events of the answer.
    milliseconds event_gap{0};
};

//! Chooses a path as choose_path does and estimates how the request fares on it.
path_estimate plan_path(entry_context& context, const path_wish& wish);

//! Chooses engines for the layers; empty when there is no path.
std::vector<hop> choose_path(entry_context& context, const path_wish& wish);

//! The path without the lost engine, which is not its first one: if possible with the same engines for all
//! other layers, which then keep what they have read. Empty when there is none.
std::vector<hop> repair_path(entry_context& context, path_wish wish, const std::vector<hop>& path,
                             const target_id& lost);

//! Whether the engine is registered to hold the part's layers for new requests; one that leaves, or gives the
//! layers up for others, serves those that run for a while.
bool is_offered(const entry_context& context, const hop& part);

//! Notes that the engines now read `tokens` over their layers of the hops.
void note_prefill(entry_context& context, const std::vector<hop>& hops, std::int64_t tokens);

//! Notes that a request runs along the hops.
void occupy_path(entry_context& context, const std::vector<hop>& hops, const path_booking& booking);
//! Notes that it no longer does; `booking` is what was noted last.
void release_path(entry_context& context, const std::vector<hop>& hops, const path_booking& booking);
//! Notes that it takes something else from now on.
void rebook_path(entry_context& context, const std::vector<hop>& hops, const path_booking& before,
                 const path_booking& booking);

//! A path as it stands in logs: each engine with its layers.
std::string path_text(const std::vector<hop>& path);

} // namespace dandelionstep
