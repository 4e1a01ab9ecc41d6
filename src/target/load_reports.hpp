#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/engine_use.hpp"

#include <map>
#include <optional>

namespace dandelionstep {

//! What the daemons of a data centre told of the engines that their requests take.
struct load_reports {
    struct part {
        engine_uses uses;
        time_point told_at;
    };

    std::map<vm_id, part> parts;
    //! The parts' sum as it was lately.
    engine_uses total;
    std::optional<time_point> summed_at;
};

//! Notes what a daemon told.
void note_engine_uses(load_reports& shared, const vm_id& vm, const engine_uses& uses, time_point now);

//! What the requests of all together take, a quarter of a second ago at most; parts that are old are left
//! out.
const engine_uses& total_use(load_reports& shared, time_point now);

//! Adds what more requests take.
void add_uses(engine_uses& sum, const engine_uses& added);

//! What is left of the sum without one part; never less than nothing, as the part may be newer than the sum.
engine_uses subtract(const engine_uses& sum, const engine_uses& part);

} // namespace dandelionstep
