#pragma once

#include "entry/context/entry_context.hpp"
#include "entry/peers/peer_messages.hpp"

#include <functional>
#include <map>
#include <vector>

namespace dandelionstep {

//! Tells daemons of other data centres at once of suspects and of processes of targets that have ended. They
//! would learn the same from the store, later, and not at all while that is away.
class suspect_push {
public:
    explicit suspect_push(entry_context& context) : context(context) {}

    //! Whom to tell; nobody unless this daemon reads the store for others.
    std::function<std::vector<peer>()> readers;

    //! To be called when there is news.
    void push_soon();

private:
    //! What one daemon was told.
    struct told_state {
        std::int64_t suspects = 0;
        std::int64_t segments = 0;
        bool is_open = false;
        //! Whether there was news while a message was open.
        bool has_more = false;
    };

    void push();
    void tell(const peer& reader, told_state& told);
    void take(const peer& reader, const peer_question& message, bool is_told);

    entry_context& context;
    std::map<vm_id, told_state> told;
    event_loop::timer timer;
};

} // namespace dandelionstep
