#pragma once

#include "configuration/change_commit.hpp"
#include "configuration/poll_schedule.hpp"
#include "daemon/context.hpp"
#include "platform/configuration_rows.hpp"

#include <deque>
#include <functional>

namespace dandelionstep {

//! Keeps the configuration of one daemon as new as the platform's table and its peers.
class configuration_sync {
public:
    //! `on_applied` is called after the applied revision has grown.
    configuration_sync(daemon_context& context, std::function<void()> on_applied);

    //! Starts polling the table.
    void start();
    //! Whether this daemon is one of those in its data centre that poll often.
    void set_poller(bool poller);
    //! Takes a change that was accepted here.
    void take(const change_answer& answer);
    //! Takes a change or snapshot that a peer sent.
    apply_result take(const accepted_change& change);
    apply_result take(const configuration_snapshot& snapshot);
    //! Takes note that a peer has this revision.
    void observe_revision(revision number);
    //! Every peer that was to be met first has answered, or could not be reached.
    void peers_were_asked();
    //! Changes that directly follow the revision; empty when they are no longer kept.
    [[nodiscard]] std::vector<accepted_change> changes_after(revision known) const;

private:
    void poll_soon();
    void poll();
    void read_log();
    void read_snapshot();
    void read_snapshot_page(const revision_state& state, const std::string& after,
                            std::vector<configuration_record> records);
    void finish_poll(bool answered);
    void check_start();
    void note(apply_result result);

    daemon_context& context;
    std::function<void()> on_applied;
    std::deque<accepted_change> recent;
    std::size_t recent_records = 0;
    poll_schedule schedule;
    bool polling = false;
    event_loop::timer next;
};

} // namespace dandelionstep
