#pragma once

#include "entry/context/entry_context.hpp"
#include "entry/peers/peer_messages.hpp"

#include <functional>
#include <set>
#include <vector>

namespace dandelionstep {

//! Under load control, tells the readers of other data centres regularly what this data centre's daemons use
//! of engines. Streams that find no room at home run on engines of other data centres, whose daemons would
//! take these engines for idle.
class use_push {
public:
    explicit use_push(entry_context& context) : context(context) {}

    //! Whom to tell; nobody unless this daemon reads the store for others.
    std::function<std::vector<peer>()> readers;
    //! What the daemons of this data centre use.
    std::function<engine_uses()> uses;

    void start();

private:
    void push();
    void tell(const peer& reader, const peer_question& message);

    entry_context& context;
    //! Readers that have yet to answer the last message.
    std::set<vm_id> open;
    event_loop::timer timer;
};

} // namespace dandelionstep
