#pragma once

#include "vm/peer.hpp"

#include <cstddef>
#include <vector>

namespace dandelionstep {

//! What asking a daemon for news brought.
enum class reader_reply {
    current,    //!< What it knows is new enough.
    outdated,   //!< It answers, but has not reached the store lately.
    unavailable //!< No usable answer.
};

//! Who reads the store for a data centre when its reader fails. The reader tells its followers an order; they
//! ask the daemons in it one after the other, and who is asked begins to read. Answers the load of a reader
//! that dies, freezes or loses the store before dozens of followers: none of them reads the store meanwhile
//! but the few that are in line.
struct reader_succession {
    //! The reader, then those that take over from it.
    std::vector<peer> line;
    //! Place in the line of the daemon that is asked next.
    std::size_t next = 0;
    //! Whether any daemon answered since the line was begun.
    bool any_answered = false;
};

//! What a daemon does after its reader failed.
enum class succession_step {
    ask,   //!< Asks the next one in line.
    read,  //!< Is the next one in line itself, and reads the store.
    pause, //!< Nobody in line reaches the store; asks them again after a pause.
    search //!< Nobody in line answers; looks for a reader in the store.
};

//! Begins anew with a reader and those that it named.
void set_successors(reader_succession& succession, const peer& reader, const std::vector<peer>& successors);

//! Notes what asking the next one in line brought.
void note_reply(reader_succession& succession, reader_reply reply);

//! Has `other` asked next, as the one that was asked last named it; not if it was asked already.
void add_referral(reader_succession& succession, const peer& other);

//! What the daemon `self` does now; `reads`: whether it reads the store already.
succession_step next_step(reader_succession& succession, const vm_id& self, bool is_reader);

} // namespace dandelionstep
