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

//! A daemon's word on one target.
struct drain_reply {
    //! Whether it may still send new work there.
    bool gives_new_work = true;
    //! Its requests that the target is working on.
    std::int64_t in_flight = 0;
};

//! A daemon that has to confirm, and what came of asking it.
struct polled_daemon {
    vm_id vm;
    member_state state = member_state::alive;
    //! Absent when it did not answer.
    std::optional<drain_reply> reply;
    //! Its port refused the connection, so no process listens there.
    bool refused_connection = false;
};

//! Why a daemon has not confirmed.
enum class drain_blocker { no_answer, gives_new_work, in_flight };

//! The reason's name for operators.
std::string_view to_string(drain_blocker blocker);

//! A daemon without whose word stopping the target is not safe.
struct blocking_daemon {
    vm_id vm;
    drain_blocker blocker = drain_blocker::no_answer;
    std::int64_t in_flight = 0;
};

//! How far a drain has come.
struct drain_progress {
    std::int64_t confirmed = 0;
    std::int64_t in_flight = 0;
    std::vector<blocking_daemon> blocking;

    //! Whether every daemon that may still hold work has confirmed that it holds none.
    [[nodiscard]] bool safe_to_stop() const { return this->blocking.empty() && this->confirmed > 0; }
};

//! Judges the words of all known daemons; those in `without` are known to be gone and need not confirm.
drain_progress assess_drain(const std::vector<polled_daemon>& polled, const std::set<vm_id>& without);

//! A daemon as some daemon knows it.
struct known_daemon {
    endpoint operators;
    incarnation started;
    member_state state = member_state::alive;
};

//! Takes what one daemon knows of another; the newer incarnation and the later state win.
void merge_known_daemon(std::map<vm_id, known_daemon>& known, const vm_id& vm, const known_daemon& said);

} // namespace dandelionstep
