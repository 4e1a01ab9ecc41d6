#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/engine_use.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace dandelionstep {

//! Reports of the daemons of a data centre on what their requests use of engines.
struct load_reports {
    struct report {
        engine_uses uses;
        time_point received_at;
    };

    //! The last report of each daemon.
    std::map<vm_id, report> latest;
    //! The sum of the reports as of `summed_at`.
    engine_uses total;
    std::optional<time_point> summed_at;
};

//! Notes the report of a daemon, which replaces its last one.
void note_engine_uses(load_reports& reports, const vm_id& vm, const engine_uses& uses, time_point now);

//! What the requests of all daemons use of engines, at most a quarter of a second old. Reports that are too
//! old are left out.
const engine_uses& total_use(load_reports& reports, time_point now);

//! Adds the use by more requests.
void add_uses(engine_uses& sum, const engine_uses& added);

//! The `most` engines of which the largest part is used, by KV cache that is needed.
engine_uses most_used(const engine_uses& uses, std::size_t most);

//! The sum without one part of it. Never less than zero, although the part may be newer than the sum.
engine_uses subtract(const engine_uses& sum, const engine_uses& part);

} // namespace dandelionstep
