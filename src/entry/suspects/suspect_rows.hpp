#pragma once

#include "entry/store/watch_calls.hpp"
#include "entry/suspects/suspect_messages.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionstep {

//! Name of the table of suspects in the store.
inline constexpr const char* suspects_table = "dandelionstep-suspects";

//! Keeps the shared suspects in step with the store, through which data centres tell each other and daemons
//! that start learn of them: all rows once, then their changes by a long call, and the rows that are missing.
class suspect_rows {
public:
    suspect_rows(entry_context& context, store_client& store) : context(context), calls(context, store) {}

    //! Whether this daemon holds the lease: it then removes rows that have lapsed.
    std::function<bool()> holds_lease;

    void start();
    void pause();
    //! Reads the rows again, and writes those that are missing, as the store came back from an older copy.
    void begin_era();
    //! To be called when a suspect is to be told.
    void write_soon();

private:
    //! A row as it stands in the store.
    struct kept_row {
        std::string key;
        std::string text;
        wall_time at;
    };

    void read(const std::string& from_key);
    void follow();
    void retry(const store_answer& answer);
    void take(const std::vector<stored_row>& rows);
    //! What rows tell, for the daemon's state.
    struct told_rows {
        std::vector<suspect_report> requests;
        std::vector<segment_report> segments;
        std::vector<ended_report> ended;
    };
    absl::Status take_row(const stored_row& row, told_rows& told);
    [[nodiscard]] milliseconds lifetime_of(std::string_view key) const;
    void write();
    void remove_lapsed();
    void send(const std::vector<conditional_write>& writes, std::function<void(bool is_written)> done);
    //! Rows that are to be written; a few at a time.
    [[nodiscard]] std::vector<kept_row> missing_rows() const;
    void add_missing_ended(std::vector<kept_row>& missing) const;
    void add_missing_suspects(std::vector<kept_row>& missing) const;
    void add_missing_segments(std::vector<kept_row>& missing) const;

    entry_context& context;
    watch_calls calls;
    bool is_reading = false;
    bool is_writing = false;
    //! Whether all rows were read.
    bool is_known = false;
    std::int64_t position = 0;
    //! When each row in the store was written.
    std::map<std::string, wall_time> stored;
    event_loop::timer timer;
    event_loop::timer write_timer;
    event_loop::timer removal_timer;
};

} // namespace dandelionstep
