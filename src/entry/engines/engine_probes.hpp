#pragma once

#include "entry/engines/engine_calls.hpp"

#include <vector>

namespace dandelionstep {

//! Finds engines that no longer answer by asking them directly, once for all streams that wait for them.
//! What is found stands in the engines' conditions: a silent one is out of use until it answers again.
class engine_probes {
public:
    explicit engine_probes(entry_context& context) : context(context) {}

    //! Asks those of the path's engines that were not heard of lately.
    void ask(const std::vector<hop>& path);
    //! Asks one engine that a request was refused or dropped for.
    void ask_one(const target_id& id, const endpoint& address);
    //! Asks one engine that has to be known alive at this moment, however lately it was heard of.
    void ask_now(const target_id& id, const endpoint& address);

private:
    void take_answer(const target_id& id, time_point sent_at, const std::optional<engine_report>& report);
    void ask_data_centre_of(const target_id& silent);
    [[nodiscard]] int newly_silent_in(const data_centre_id& data_centre) const;
    void ask_silent_ones();

    entry_context& context;
    event_loop::timer repeat_timer;
    bool repeating = false;
};

} // namespace dandelionstep
