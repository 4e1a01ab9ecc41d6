#pragma once

#include "entry/store/watch_calls.hpp"

#include <functional>

namespace dandelionstep {

//! Keeps the configuration in step with the store: a long call that ends with the next change.
class config_watch {
public:
    config_watch(entry_context& context, store_client& store) : context(context), calls(context, store) {}

    //! Called after each new configuration.
    std::function<void()> on_config;
    //! Called when a configuration was read, new or not.
    std::function<void()> on_known;

    //! Begins after the changes that are known, where the context's position tells them.
    void start();
    void pause();
    //! Reads the configuration again, as the store came back from an older copy.
    void begin_era();

private:
    void read_config();
    void check_config();
    void ask_config(const outgoing_call& call, store_reason reason);
    void config_failed(const store_answer& answer);
    void follow_config();
    void take_config_rows(const stored_rows& rows);

    entry_context& context;
    watch_calls calls;
    event_loop::timer timer;
};

} // namespace dandelionstep
