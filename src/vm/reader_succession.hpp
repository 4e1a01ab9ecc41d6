#pragma once

#include "vm/peer.hpp"

#include <cstddef>
#include <vector>

namespace dandelionstep {

//! The result of asking a daemon for updates.
enum class reader_reply {
    current,    //!< It answers, and its data is recent enough.
    outdated,   //!< It answers, but has not reached the store lately.
    unavailable //!< It gives no usable answer.
};

//! Failover from the reader of a data centre to a successor. The reader tells its followers a line of
//! successors. When it fails, they ask the daemons in that line one after the other, and a daemon that is
//! asked starts to read the store. This limits the store's load when a reader with dozens of followers
//! crashes, freezes or loses the store: only the few daemons in the line start to read it.
struct reader_succession {
    //! The reader, followed by its successors.
    std::vector<peer> line;
    //! Index in the line of the daemon that is asked next.
    std::size_t next = 0;
    //! Whether any daemon has answered since the first one in the line was asked.
    bool any_answered = false;
};

//! What a daemon does after its reader failed.
enum class succession_step {
    ask,   //!< Ask the next daemon in the line.
    read,  //!< Start to read the store, as this daemon is the next one in the line.
    pause, //!< No daemon in the line reaches the store; ask them again after a pause.
    search //!< No daemon in the line answers; look for a reader in the store.
};

//! Starts over with a reader and the successors that it named.
void set_successors(reader_succession& succession, const peer& reader, const std::vector<peer>& successors);

//! Records the reply of the daemon that was asked.
void note_reply(reader_succession& succession, reader_reply reply);

//! Makes `other` the next daemon to ask, because the one that was asked last referred to it. Does nothing if
//! `other` has been asked already.
void add_referral(reader_succession& succession, const peer& other);

//! Decides what the daemon `self` does now; `is_reader` says whether it already reads the store.
succession_step next_step(reader_succession& succession, const vm_id& self, bool is_reader);

} // namespace dandelionstep
