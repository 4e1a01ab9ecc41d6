#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! A daemon's search for the reader of its data centre, after its start or after the reader and all its
//! successors failed. If there is no reader, the daemon becomes it. This limits the store's load when many
//! daemons start at once: each reads the readers' rows in the store once or twice, and daemons on the VMs
//! with the most capacity offer themselves first.
struct reader_search {
    //! How often the readers' rows have been read.
    int looks = 0;
    //! Whether this VM was a reader before its daemon restarted, so that the other daemons ask it first.
    bool was_reader = false;
    //! Whether this daemon had current data and lost its sources, so that its data gets older during the
    //! search.
    bool is_urgent = false;
    //! Until when readers that do not answer are asked again; after that, the rows are read again.
    time_point retry_until{0};
    //! Whether one of the readers answered that it is starting and will have the store's data soon.
    bool reader_is_starting = false;
};

//! What the readers' rows showed.
struct reader_look {
    //! Whether another daemon of the data centre reads the store, according to its row.
    bool has_reader = false;
    //! Whether there is a row of an earlier process of this VM.
    bool has_own_row = false;
};

//! What a searching daemon does next.
enum class search_step {
    ask,  //!< Ask the readers after the pause.
    look, //!< Read the rows after the pause.
    read  //!< Become the reader of the data centre.
};

struct search_decision {
    search_step step = search_step::read;
    milliseconds pause{0};
};

//! How long a daemon waits before it first reads the rows when all daemons start for the first time. `draw`
//! is a uniform random number in [0, 1), `election_delay_factor` is at least 1.
milliseconds first_look_pause(double election_delay_factor, double draw);

//! Decides what to do after the rows were read.
search_decision after_look(reader_search& search, const reader_look& seen, double election_delay_factor,
                           double draw, time_point now);

//! Records that a reader answered that it is starting and will have the store's data soon.
void note_reader_starting(reader_search& search, time_point now);

//! Decides what to do after none of the readers that the rows name has answered.
search_decision after_no_answer(const reader_search& search, double draw, time_point now);

//! How long to wait after reading the rows has failed `failures` times in a row.
milliseconds failed_look_pause(int failures, double draw);

} // namespace dandelionstep
