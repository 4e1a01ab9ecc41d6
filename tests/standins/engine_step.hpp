#pragma once

#include "common/json.hpp"
#include "fake_model.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionstep::standins {

//! The way of one token, and of the positions that are rebuilt before it, through a chain of engines.
struct step_work {
    std::string request;
    std::int64_t attempt = 0;
    //! The position whose token is wanted.
    std::int64_t index = 0;
    std::int64_t next_layer = 0;
    //! The first position that the activations belong to; the last one is `index`.
    std::int64_t first_index = 0;
    std::vector<std::uint64_t> activations;
    std::int64_t prompt_tokens = 0;
    //! Whether it is the attempt's first step, which may prefill.
    bool first = false;
    //! The engine itself comes first.
    json hops = json::array();
};

struct step_result {
    bool ok = false;
    std::string token;
    //! When not ok: the target at fault and why.
    std::string culprit;
    std::string reason;
    //! When ok: the time at each hop after this one, with the link to it, in milliseconds.
    std::vector<std::int64_t> hop_ms{};

    //! Adds the hop that needed `whole_ms` together with those after it.
    void add_hop(std::int64_t whole_ms);
};

using step_callback = std::function<void(const step_result&)>;

json step_json(const step_work& work);
step_work parse_step(const json& body);

//! Leaves out the positions before `from`, which the next hop's cache holds.
void skip_held_positions(step_work& step, std::int64_t from);

//! Tokens that the step prefills; 0 for an ordinary step.
std::int64_t prefill_tokens(const step_work& work);

//! Which positions of each request an engine has run, and for which attempt.
class engine_cache {
public:
    explicit engine_cache(std::int64_t begin_layer, std::int64_t end_layer)
        : begin_layer(begin_layer), end_layer(end_layer)
    {}

    //! The reason why the step can't run now; empty when it can. A newer attempt shuts out the older ones.
    std::string refusal(const step_work& work);
    //! Runs this engine's layers for every position of the step; the result holds the activations after them.
    step_work run(const step_work& work);
    //! Ends the attempt; a cache that is not kept is freed, unless a newer attempt uses it.
    void cancel(const std::string& request, std::int64_t attempt, bool keep);
    json export_layers(const std::string& request) const;
    void import_layers(const std::string& request, const json& layers);
    [[nodiscard]] bool holds(const std::string& request) const { return this->entries.contains(request); }

private:
    struct entry {
        std::int64_t attempt = 0;
        std::int64_t cancelled = 0;
        std::int64_t used = 0;
        layer_cache layers;
    };

    void evict();

    std::int64_t begin_layer;
    std::int64_t end_layer;
    std::int64_t uses = 0;
    std::map<std::string, entry> entries;
};

} // namespace dandelionstep::standins
