#pragma once

#include "entry/store/watch_calls.hpp"

#include <functional>
#include <set>
#include <string>

namespace dandelionstep {

//! Keeps the registry of targets in step with the store: all registrations once, then their changes again and
//! again.
class target_watch {
public:
    target_watch(entry_context& context, store_client& store)
        : context(context), store(store), calls(context, store)
    {}

    //! Called when all registrations were read.
    std::function<void()> on_known;

    //! Begins after the changes that are known, where the context's position tells them.
    void start();
    void pause();
    //! Reads the registrations again, as the store came back from an older copy.
    void begin_era();

private:
    void read_targets(const std::string& from_key);
    void poll_targets();
    void take_changes(const stored_rows& changes, time_point asked_at);
    void poll_targets_after(time_point last_began);
    void take_target_row(const stored_row& row);
    //! Whether the row, from a copy of the store, tells less than what is known.
    [[nodiscard]] bool is_outdated(const stored_row& row) const;
    [[nodiscard]] time_point doubts_end() const;
    void note_unreadable(const stored_row& row, std::string_view reason);
    void note_heartbeat(const stored_row& row);
    void remove_target(const target_id& id);
    [[nodiscard]] bool is_doubtful(const registered_target& target) const;
    void finish_full_read();
    void note_returned(const target_id& id);
    void await_doubtful();
    void drop_doubtful();
    void forget_doubts();

    entry_context& context;
    store_client& store;
    watch_calls calls;
    //! Targets that a full read in progress has seen.
    std::set<target_id> seen;
    //! Entries that name no target, with the reason that was logged.
    std::map<std::string, std::string> unreadable;
    //! The earliest time of each target's last heartbeat that was seen; of others, up to when the registry
    //! was known when this daemon began to read it.
    std::map<target_id, time_point> heartbeats;
    time_point taken_over_as_of{0};
    std::int64_t full_read_version = 0;
    time_point full_read_began{0};
    //! Whether the full read in progress is the first one since the store came back from an older copy, and
    //! how many of its rows told less than what was known.
    bool reads_copy = false;
    std::int64_t outdated_rows = 0;
    event_loop::timer timer;
    event_loop::timer doubt_timer;
};

} // namespace dandelionstep
