#pragma once

#include "common/ids.hpp"
#include "vm/member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! What a daemon answers about one target.
struct drain_reply {
    //! Whether the daemon may still send new requests to the target.
    bool gives_new_work = true;
    //! Requests of the daemon that the target is working on.
    std::int64_t in_flight = 0;
};

//! A daemon that has to confirm the drain, and the result of asking it.
struct polled_daemon {
    vm_id vm;
    member_state state = member_state::alive;
    //! Absent when the daemon did not answer.
    std::optional<drain_reply> reply;
    //! Whether its port refused the connection, which shows that no process listens there.
    bool refused_connection = false;
};

//! Why a daemon has not confirmed the drain.
enum class drain_blocker { no_answer, gives_new_work, in_flight };

//! The reason as operators see it.
std::string_view to_string(drain_blocker blocker);

//! A daemon whose confirmation is still needed before the target may be stopped.
struct blocking_daemon {
    vm_id vm;
    drain_blocker blocker = drain_blocker::no_answer;
    std::int64_t in_flight = 0;
};

//! How far the drain of a target has come.
struct drain_progress {
    std::int64_t confirmed = 0;
    std::int64_t in_flight = 0;
    std::vector<blocking_daemon> blocking;

    //! Whether every daemon that may have requests on the target has confirmed that it has none.
    [[nodiscard]] bool safe_to_stop() const { return this->blocking.empty() && this->confirmed > 0; }
};

//! Evaluates the answers of all known daemons. Daemons in `without` are known to be gone and need not
//! confirm.
drain_progress assess_drain(const std::vector<polled_daemon>& polled, const std::set<vm_id>& without);

//! A daemon as another daemon knows it.
struct known_daemon {
    endpoint operators;
    incarnation started;
    member_state state = member_state::alive;
};

//! Merges what one daemon knows of another into `known`. The newer incarnation wins, then the later state.
void merge_known_daemon(std::map<vm_id, known_daemon>& known, const vm_id& vm, const known_daemon& reported);

} // namespace dandelionstep
