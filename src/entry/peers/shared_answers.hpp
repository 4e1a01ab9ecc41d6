#pragma once

#include "common/clock.hpp"
#include "target/load_reports.hpp"
#include "target/registry_update.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace dandelionstep {

//! Parts of answers that a daemon's followers get alike; each is written once for many of them.
struct shared_answers {
    //! All targets, as they were lately.
    struct full_list {
        std::string text;
        //! The same packed.
        std::string packed;
        //! The last change that the list contains; who got it asks for those after it.
        std::int64_t sequence = 0;
        //! Targets that were in doubt; a doubt is no change that is asked for.
        unconfirmed_targets unconfirmed;
        //! Time and version up to which the store's changes are in it.
        time_point as_of;
        std::int64_t position = 0;
        time_point written_at;
    };

    std::optional<full_list> all;
    //! The configuration of that version, packed.
    std::string config;
    std::optional<revision> config_version;
    std::string uses;
    //! When the sum was made that `uses` tells.
    std::optional<time_point> uses_summed_at;
};

//! What a daemon knows of the targets, and up to when.
struct known_targets {
    const registry_log& changes;
    const target_registry& registry;
    const unconfirmed_targets& unconfirmed;
    time_point as_of;
    //! The store's version of that time.
    std::int64_t position = 0;
};

//! The list of all targets, half a second old at most and of the present doubts.
const shared_answers::full_list& full_list_of(shared_answers& answers, const known_targets& known,
                                              time_point now);

//! The configuration packed.
const std::string& packed_config_of(shared_answers& answers, revision version, const std::string& text);

//! What the requests of all daemons take together: the sum of what the followers told, and `own`, which is
//! called when the sum is made.
const std::string& uses_text_of(shared_answers& answers, load_reports& told,
                                const std::function<engine_uses()>& own, time_point now);

} // namespace dandelionstep
