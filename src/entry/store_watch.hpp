#pragma once

#include "entry/store_client.hpp"

#include <functional>
#include <set>

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
    void call(const outgoing_call& call, milliseconds timeout, store_reason reason,
              store_client::done_callback done);
    void read_config();
    void check_config();
    void ask_config(const outgoing_call& call, store_reason reason);
    void config_failed(const store_answer& answer);
    void follow_config();
    void take_config_rows(const stored_rows& rows);
    void read_targets(const std::string& from_key);
    void poll_targets();
    void poll_targets_after(time_point last_began);
    void take_target_row(const stored_row& row);
    void remove_target(const target_id& id);
    void finish_full_read();
    void note_returned(const target_id& id);
    void await_doubtful();
    void drop_doubtful();
    void forget_doubts();
    [[nodiscard]] milliseconds retry_pause(const store_answer& answer);

    entry_context& context;
    store_client& store;
    //! Targets that a full read in progress has seen.
    std::set<target_id> seen;
    std::int64_t full_read_version = 0;
    time_point full_read_began{0};
    event_loop::timer config_timer;
    event_loop::timer targets_timer;
    event_loop::timer doubt_timer;
    int failures = 0;
    bool is_reading = false;
    //! Grows with each pause; answers to calls from before are not looked at.
    std::int64_t generation = 0;
};

} // namespace dandelionstep
