#pragma once

#include "adapters/caller_port.hpp"
#include "entry/context/entry_context.hpp"

#include <functional>

namespace dandelionstep {

//! Carries out a planned stop: callers get their answers, up to the limit.
class stop_runner {
public:
    stop_runner(entry_context& context, caller_port& callers);

    //! Called once all is done.
    std::function<void()> on_exit;

    void begin();

private:
    void step();
    void give_up();

    entry_context& context;
    caller_port& callers;
    event_loop::timer timer;
};

} // namespace dandelionstep
