#pragma once

#include "entry/config_watch.hpp"
#include "entry/target_watch.hpp"

#include <functional>

namespace dandelionstep {

//! Keeps the configuration and the registry of targets in step with the store.
class store_watch {
public:
    store_watch(entry_context& context, store_client& store);

    //! Called after each new configuration.
    std::function<void()> on_config;
    //! Called once, when configuration and targets are known.
    std::function<void()> on_first_known;

    //! Begins to read, after the changes that are known already where the context's position tells them; does
    //! nothing when it reads.
    void start();
    //! Stops reading, as the same is learnt from another daemon.
    void pause();
    //! To be called when the configuration or the targets may have become known.
    void note_readiness();

private:
    entry_context& context;
    config_watch config;
    target_watch targets;
    bool is_reading = false;
};

} // namespace dandelionstep
