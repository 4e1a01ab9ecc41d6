#pragma once

#include "entry/context/entry_context.hpp"
#include "entry/context/http_calls.hpp"
#include "entry/peers/peer_exchange.hpp"
#include "entry/peers/peer_port.hpp"
#include "entry/peers/vm_rows.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/registry/store_watch.hpp"
#include "vm/reader_search.hpp"
#include "vm/reader_succession.hpp"
#include "vm/store_retry_schedule.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace dandelionstep {

//! How a daemon gets to know what the store holds.
enum class knowledge_source {
    search, //!< It looks for a reader.
    reader, //!< It learns from the reader of its data centre.
    store   //!< It reads the store itself, and answers those that follow it.
};

//! Lets this daemon learn from another one of its data centre what is new, so that not all of them read the
//! store. Reads the store itself when nobody else does, or when it is the next in line after a reader failed.
//! Its sources: peer_follower.cpp changes the source of knowledge; peer_line.cpp asks the reader and those in
//! line after it.
class peer_follower {
public:
    peer_follower(entry_context& context, store_watch& watch, vm_rows& rows);

    //! Whether this daemon must read the store itself, whoever else does.
    std::function<bool()> must_read;
    //! How the store answers this daemon.
    std::function<store_contact()> contact;
    //! Those that take over from this daemon while it reads the store.
    std::function<std::vector<peer>()> successors;

    void start();
    //! Callers wait for what this daemon does not know yet: unless a reader answers soon it reads the store.
    void hurry();
    //! Reads the store, as a daemon asks that has lost its reader.
    void take_over(const vm_id& left);
    //! Looks for a senior reader to follow; to be called after the rows of daemons were read.
    void consider_seniors();
    //! Since when this daemon reads the store, if it does.
    [[nodiscard]] time_point reads_since() const { return this->read_began; }
    [[nodiscard]] bool is_following() const { return this->source == knowledge_source::reader; }
    [[nodiscard]] bool is_reader() const { return this->source == knowledge_source::store; }
    //! The reader that is followed.
    [[nodiscard]] std::optional<peer> followed() const;

private:
    enum class ask_kind {
        usual,  // the reader that is followed
        repeat, // the same once more, as it was silent
        line,   // the next in line after a reader that failed, or a reader that was found in the store
        senior  // a reader that has read for longer than this daemon
    };

    struct asking {
        peer reader;
        ask_kind kind = ask_kind::usual;
        milliseconds wait{0};
        milliseconds timeout{0};
    };

    void search(std::string_view reason, bool is_urgent);
    //! Reads the rows of the daemons; `done` is not called when the source has changed meanwhile.
    void look_at_rows(std::function<void(bool could_read)> done);
    void look();
    void decide(const search_decision& decision);
    void read_store(std::string_view reason);
    void follow(const asking& asked, const peer_answer& answer);
    void check_knowledge();
    void step();
    void end_round();
    void try_store();
    void ask_usual();
    void ask_in_line();
    void ask(const asking& asked);
    void take(const asking& asked, time_point asked_at, const peer_question& question,
              const http_answer& answered);
    void take_failure(const asking& asked, const http_answer& answered);
    void take_answer(const asking& asked, time_point asked_at, const peer_answer& answer);
    void announce();
    //! Tells the reader of suspects while it has yet to answer the last question.
    void tell_soon();
    void tell_reader();
    void after(milliseconds pause, void (peer_follower::*next)());
    [[nodiscard]] double draw() { return this->context.draw(); }
    [[nodiscard]] bool knows_enough() const;
    [[nodiscard]] milliseconds share_of_drain(std::int64_t percent) const;

    entry_context& context;
    store_watch& watch;
    vm_rows& rows;
    peer_exchange exchange;
    knowledge_source source = knowledge_source::search;
    reader_search searching;
    int failed_looks = 0;
    reader_succession succession;
    store_retry_schedule trials;
    //! The reader that failed; empty while none did.
    vm_id left;
    //! Whether a question is open or the next step is due.
    bool is_busy = false;
    //! Grows when the source changes; what was begun before is not looked at.
    std::int64_t turn = 0;
    //! How old the reader's knowledge was at its last answer.
    knowledge_age reader_age;
    //! Senior readers that did not answer well, and until when they are left alone.
    std::map<vm_id, time_point> failed;
    //! Whether the others in line are to be told as soon as this daemon knows what is new.
    bool announce_due = false;
    time_point started_at;
    time_point read_began{0};
    event_loop::timer timer;
    event_loop::timer check_timer;
    event_loop::timer hurry_timer;
    event_loop::timer tell_timer;
};

} // namespace dandelionstep
