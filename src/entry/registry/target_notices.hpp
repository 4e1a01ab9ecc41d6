#pragma once

#include "entry/context/entry_context.hpp"

namespace dandelionstep {

//! A process of a target that answered.
struct answering_target {
    target_id id;
    incarnation started;
    //! Whether the request was sent to find out whether the target still wants none.
    bool was_backoff_trial = false;
};

//! Whether that process of a target may be the one that is registered now. What is found out late about an
//! earlier one, for example by an engine that waited for it, says nothing of the one that runs.
bool may_run(const entry_context& context, const target_id& target, incarnation started);

//! Notes a failure of that process of a target.
void note_failure_of(entry_context& context, const target_id& target, incarnation started,
                     target_failure failure);

//! Takes what a target says of itself in an answer: that it leaves, or for how long it wants no requests.
void take_notices(entry_context& context, const answering_target& from, const response_facts& facts);

//! Notes that a request is sent to the target. True if the target wants none, and this one is to find out
//! whether that still holds.
bool note_send(entry_context& context, const target_id& target);

//! Notes that a process of a target leaves, whoever says so. `origin` tells the log who did.
void note_leaving(entry_context& context, const answering_target& target, std::string_view origin);

} // namespace dandelionstep
