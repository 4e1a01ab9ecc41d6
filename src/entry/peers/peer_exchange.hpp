#pragma once

#include "entry/context/entry_context.hpp"
#include "entry/peers/peer_messages.hpp"

#include <functional>

namespace dandelionstep {

//! What is asked in a question beside what is new.
struct question_wish {
    //! How long the answer may wait for a change.
    milliseconds wait{0};
    //! Whether the daemon that is asked is the one whose numbers are known.
    bool same_reader = false;
    //! The reader that failed; empty in usual questions.
    vm_id left;
    bool reads_store = false;
    //! Whether the question only tells what this daemon knows.
    bool only_tells = false;
};

//! Asks daemons of the same data centre what is new and takes their answers into the daemon's state.
class peer_exchange {
public:
    explicit peer_exchange(entry_context& context) : context(context) {}

    //! Called after a new configuration.
    std::function<void()> on_config;
    //! Called after the targets were told.
    std::function<void()> on_targets;

    [[nodiscard]] peer_question question(const question_wish& wish);
    //! Takes an answer to a question that was asked at that time. What a daemon knew long ago, which is not
    //! `is_fresh`, does not replace newer knowledge.
    void take(const peer_answer& answer, time_point asked_at, bool is_fresh);
    //! Notes that the reader has answered the question, and so knows what it told.
    void note_told(const peer_question& question);
    //! Forgets the numbers of the reader that was followed.
    void forget_reader() { this->reader_process = 0; }

private:
    void take_targets(const peer_answer& answer);
    void take_position(const store_position& told);
    [[nodiscard]] leaving_marks untold_leaving() const;

    entry_context& context;
    //! Whose numbering of changes the registry here follows.
    std::uint64_t reader_process = 0;
    std::int64_t reader_sequence = 0;
    std::int64_t reader_suspects = -1;
    std::int64_t reader_segments = -1;
    //! The last change of suspects, and of segments, here that a reader was told.
    std::int64_t told_suspects = 0;
    std::int64_t told_segments = 0;
    //! Targets that the reader was told to leave.
    leaving_marks told_leaving;
    //! When a reader was last told what one's own requests take.
    time_point told_uses_at{0};
};

//! The call that carries a question.
outgoing_call peer_call(const peer_question& question);

} // namespace dandelionstep
