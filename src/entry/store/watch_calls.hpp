#pragma once

#include "entry/store/store_client.hpp"

namespace dandelionstep {

//! Calls of one watch of the store; answers to calls from before it paused are not looked at.
class watch_calls {
public:
    watch_calls(entry_context& context, store_client& store) : context(context), store(store) {}

    void call(const outgoing_call& call, milliseconds timeout, store_reason reason,
              store_client::done_callback done);
    //! Forgets the calls that are not answered yet.
    void pause();
    //! Notes that the store answered.
    void note_answer() { this->failures = 0; }
    //! How long the next call may stay open for news: not at all while it is in doubt whether the store
    //! answers.
    [[nodiscard]] milliseconds wait_for_news(milliseconds usual) const;
    //! How long to wait after a call that failed: counted from when it was made, and longer with each one.
    [[nodiscard]] milliseconds retry_pause(const store_answer& answer);

private:
    entry_context& context;
    store_client& store;
    int failures = 0;
    //! Grows with each pause.
    std::int64_t generation = 0;
};

//! What a call may take beyond its wait; the store answers within milliseconds, under strain within 400.
inline constexpr milliseconds store_call_slack{700};

} // namespace dandelionstep
