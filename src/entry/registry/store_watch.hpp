#pragma once

#include "entry/registry/config_watch.hpp"
#include "entry/registry/target_watch.hpp"
#include "entry/suspects/suspect_rows.hpp"

#include <functional>

namespace dandelionstep {

//! Keeps the configuration, the registry of targets and the suspects in step with the store.
class store_watch {
public:
    store_watch(entry_context& context, store_client& store);

    //! Called after each new configuration.
    std::function<void()> on_config;
    //! Called once, when configuration and targets are known.
    std::function<void()> on_first_known;
    //! Whether this daemon holds the lease, and with it tidies the suspects' rows.
    std::function<bool()> holds_lease;

    //! Begins to read, after the changes that are known already where the context's position tells them; does
    //! nothing when it reads.
    void start();
    //! The same for a daemon that others learn from: it keeps the suspects in step as well.
    void start_for_others();
    //! To be called when there is news of suspects.
    void write_suspects_soon() { this->suspects.write_soon(); }
    //! Reads everything again, as the store came back from an older copy.
    void begin_era();
    //! Stops reading, as the same is learnt from another daemon.
    void pause();
    //! To be called when the configuration or the targets may have become known.
    void note_readiness();

private:
    entry_context& context;
    config_watch config;
    target_watch targets;
    suspect_rows suspects;
    bool is_reading = false;
};

} // namespace dandelionstep
