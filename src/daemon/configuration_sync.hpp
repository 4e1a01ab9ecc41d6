#pragma once

#include "daemon/context.hpp"

#include <functional>

namespace dandelionstep {

//! Keeps the configuration of one daemon as new as the platform's table and its peers.
class configuration_sync {
public:
    //! `on_applied` is called after the applied revision has grown.
    configuration_sync(daemon_context& context, std::function<void()> on_applied);

    //! Starts polling the table.
    void start();
    //! Reads the table at once, for example after a change was accepted here.
    void poll_soon();
    //! Takes a change or snapshot that a peer sent.
    void take(const accepted_change& change);
    void take(const configuration_snapshot& snapshot);
    //! Changes that directly follow the revision; empty when they are no longer kept.
    [[nodiscard]] std::vector<accepted_change> changes_after(revision known) const;

private:
    void poll();
    void read_log();
    void read_snapshot();
    void read_snapshot_page(revision number, const std::string& after,
                            std::vector<configuration_record> records);
    void finish_poll();
    void note(apply_result result);

    daemon_context& context;
    std::function<void()> on_applied;
    std::vector<accepted_change> recent;
    event_loop::timer next_poll;
};

} // namespace dandelionstep
