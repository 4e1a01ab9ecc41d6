#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! How a daemon that has just started, or lost everyone in line, finds the reader of its data centre or
//! becomes it. Answers the load of many daemons that start at once: each looks at the store's rows of readers
//! once or twice, and the vms that can carry the most offer themselves first.
struct reader_search {
    //! How often the rows were read.
    int looks = 0;
    //! Whether this vm was a reader before its daemon started anew: the others will ask it first.
    bool was_reader = false;
    //! Whether this daemon knew what the store holds and lost those that told it: its knowledge grows old.
    bool is_urgent = false;
    //! How long readers that do not answer are asked again before the rows are read again.
    time_point retry_until{0};
    //! Whether one of them said that it is about to know.
    bool reader_is_starting = false;
};

//! What the rows of readers showed.
struct reader_look {
    //! Whether another daemon of the data centre reads the store by its row.
    bool has_reader = false;
    //! Whether there is a row of an earlier process of this vm.
    bool has_own_row = false;
};

enum class search_step {
    ask,  //!< Asks the readers.
    look, //!< Reads the rows after the pause.
    read  //!< Reads the store for the data centre from now on.
};

struct search_decision {
    search_step step = search_step::read;
    milliseconds pause{0};
};

//! How long a daemon waits before it looks first when all of them start for the first time; `draw` is uniform
//! in [0, 1), `hesitation` at least 1.
milliseconds first_look_pause(double election_delay_factor, double draw);

//! What to do after the rows were read.
search_decision after_look(reader_search& search, const reader_look& seen, double election_delay_factor,
                           double draw, time_point now);

//! Notes that a reader lives and knows in a moment what the store holds.
void note_reader_starting(reader_search& search, time_point now);

//! What to do after no reader that the rows named has answered.
search_decision after_no_answer(const reader_search& search, double draw, time_point now);

//! How long to wait after the store did not let the rows be read `failures` times.
milliseconds failed_look_pause(int failures, double draw);

} // namespace dandelionstep
