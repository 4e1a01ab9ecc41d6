#pragma once

#include "entry/store_client.hpp"
#include "entry/vm_directory.hpp"

#include <functional>

namespace dandelionstep {

//! Name of the product's table in the store.
inline constexpr const char* own_table = "dandelionstep";
//! Key of the lease of the daemon that places layers.
inline constexpr const char* lease_key = "placement";

//! Reads the product's own rows in the store regularly, and keeps this daemon's row there.
class own_rows {
public:
    own_rows(entry_context& context, store_client& store, std::uint64_t process);

    //! Called with all rows each time they were read.
    std::function<void(const stored_rows&)> on_rows;
    //! Whether this daemon is to remove the rows of daemons that are gone.
    std::function<bool()> removes_outdated;

    void start();
    //! Removes this daemon's row.
    void stop();
    //! Reads the rows soon, for example after a write whose outcome is not known.
    void read_soon();

private:
    void read();
    void read_after(milliseconds pause);
    void take(const stored_rows& rows);
    void renew();
    void remove_outdated();

    entry_context& context;
    store_client& store;
    vm_record self;
    vm_directory directory;
    event_loop::timer read_timer;
    event_loop::timer renew_timer;
    bool stopped = false;
};

} // namespace dandelionstep
