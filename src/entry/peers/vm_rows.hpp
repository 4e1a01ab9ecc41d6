#pragma once

#include "entry/store/store_client.hpp"
#include "vm/peer.hpp"
#include "vm/vm_directory.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! Name of the product's table in the store.
inline constexpr const char* own_table = "dandelionstep";
//! Key of the lease of the daemon that places layers.
inline constexpr const char* lease_key = "placement";
//! What the keys of the daemons' rows begin with; the vm's id follows.
inline constexpr std::string_view vm_row_prefix = "vm/";

//! Reads the product's own rows in the store, and keeps this daemon's row there while it reads the store for
//! others.
class vm_rows {
public:
    vm_rows(entry_context& context, store_client& store, std::uint64_t process);

    //! Called with all rows each time they were read.
    std::function<void(const stored_rows&)> on_rows;
    //! Whether this daemon holds the lease: it then removes the rows of daemons that are gone, and others of
    //! its data centre follow it first.
    std::function<bool()> holds_lease;
    //! Daemons that follow this one.
    std::function<std::set<vm_id>()> followers;

    //! Reads the rows once; `done` tells whether they could be read.
    void look(std::function<void(bool could_read)> done);
    //! Writes this daemon's row, and from then on reads the rows and renews it regularly.
    void keep();
    //! Stops that, as another daemon does so for this one. Its row lapses.
    void pause();
    //! Reads the rows again and writes this daemon's own, as the store came back from an older copy.
    void begin_era();
    //! Removes this daemon's row.
    void stop();
    //! Reads the rows soon, for example after a write whose outcome is not known.
    void read_soon();
    //! Other daemons of the data centre that read the store by their rows, the senior one first.
    [[nodiscard]] std::vector<peer> readers(const std::set<vm_id>& excluded) const;
    //! The same, only those senior to this daemon, which reads the store.
    [[nodiscard]] std::vector<peer> senior_readers(const std::set<vm_id>& excluded) const;
    //! One daemon of each other data centre that reads the store by its row.
    [[nodiscard]] std::vector<peer> readers_elsewhere() const;
    //! Whether there is a row of an earlier process of this vm.
    [[nodiscard]] bool has_earlier_row() const { return this->earlier_row; }

private:
    void read();
    void read_after(milliseconds pause);
    void take(const stored_rows& rows);
    void renew();
    void write_row();
    void count_daemons();
    void remove_outdated();

    entry_context& context;
    store_client& store;
    vm_record self;
    vm_directory directory;
    //! Since when this daemon reads the store, as long as it does.
    std::optional<std::int64_t> reads_since;
    std::int64_t newest_version = 0;
    event_loop::timer read_timer;
    event_loop::timer renew_timer;
    bool keeping = false;
    bool stopped = false;
    bool earlier_row = false;
    //! Grows with each pause; answers to calls from before are not looked at.
    std::int64_t generation = 0;
};

} // namespace dandelionstep
