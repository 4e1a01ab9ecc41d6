#pragma once

#include "entry/context/entry_context.hpp"
#include "entry/context/http_calls.hpp"

#include <functional>

namespace dandelionstep {

//! What became of a call to the store.
enum class store_result {
    ok,
    conflict,        //!< A condition did not hold; nothing was written. Rows are the present ones.
    history_is_gone, //!< The changes that were asked for are no longer kept.
    refused,         //!< Certainly not executed.
    unsure,          //!< May have been executed, now or later.
};

//! What a call to the store is made for.
enum class store_reason {
    config,         //!< The whole configuration.
    config_changes, //!< Its changes, as they come.
    targets,        //!< A page of all registrations.
    target_changes, //!< Their changes.
    rows,           //!< The daemons' rows.
    own_row,        //!< Writing rows of daemons.
    lease,          //!< Writing the lease.
    suspects,       //!< The rows of requests that end targets, and their changes.
    suspect_write,  //!< Writing and removing those.
    trial           //!< Claiming the trial of a suspected segment.
};

std::string_view name_of(store_reason reason);

//! How the store answers a daemon that reads it.
enum class store_contact {
    unknown, //!< It has just begun, and no call was answered or failed yet.
    reached,
    lost //!< Calls fail one after the other.
};

struct store_answer {
    store_result result = store_result::refused;
    stored_rows rows;
    //! Whether the call was not even made, as the store did not answer a moment ago; asking again soon costs
    //! nothing.
    bool held_back = false;
    //! When it was asked.
    time_point asked_at{0};
    //! Whether the store has come back from an older copy since it was asked. What was read is true all the
    //! same; what was written may have met another row than the one that was meant.
    bool has_crossed_eras = false;
};

//! The daemon's only client of the store. While the store does not answer it makes one call now and then,
//! whatever is asked of it, and holds back the others.
class store_client {
public:
    using done_callback = std::function<void(const store_answer&)>;

    explicit store_client(entry_context& context) : context(context) {}

    //! Makes a call; `done` is called exactly once, at the latest after the timeout.
    void call(const outgoing_call& call, milliseconds timeout, store_reason reason, done_callback done);
    //! Whether the store answered the last call.
    [[nodiscard]] bool is_reachable() const { return this->reachable; }
    //! Whether calls fail one after the other, so that most are held back.
    [[nodiscard]] bool holds_back() const;
    //! When it answered last.
    [[nodiscard]] time_point answered_at() const { return this->last_answer_at; }
    //! How it answers a daemon that has read it since `began`.
    [[nodiscard]] store_contact contact_since(time_point began) const;
    //! The last outage of the store that is over.
    [[nodiscard]] const store_outage& last_outage() const { return this->outage; }

private:
    //! Whether the answer is of the present era; notes a new one.
    bool take_era(const http_answer& answered);
    void note(const store_answer& answer, std::int64_t number);
    void note_failure(time_point asked_at);
    void note_return();
    [[nodiscard]] bool must_hold_back() const;
    [[nodiscard]] bool is_from_before_pause(std::int64_t number) const;

    entry_context& context;
    bool reachable = true;
    int failures_in_a_row = 0;
    //! While the store does not answer: when the next call may be made.
    time_point next_try_at{0};
    //! When the pause after the last failure ends.
    time_point pause_ends_at{0};
    //! Calls are numbered as they are made: the last one before the present pause, the last one that was
    //! answered.
    std::int64_t last_number = 0;
    std::int64_t last_before_pause = 0;
    std::int64_t last_answered = 0;
    time_point last_answer_at{0};
    time_point last_failure_at{0};
    //! When the store last answered before the present outage.
    time_point answered_before{0};
    store_outage outage;
};

//! What is left of a pause between two calls when the first has failed after so long a wait. `spread`, drawn
//! around 1, keeps daemons that lost the store together from returning together.
milliseconds left_of_pause(milliseconds pause, milliseconds shortest, milliseconds waited, double spread);

//! The key from which the page after these rows begins; nullopt when they were the last.
std::optional<std::string> next_page_key(const stored_rows& rows);

} // namespace dandelionstep
