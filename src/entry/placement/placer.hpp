#pragma once

#include "entry/engines/engine_calls.hpp"
#include "entry/peers/vm_rows.hpp"
#include "entry/store/store_client.hpp"
#include "target/engine_arrivals.hpp"
#include "target/layer_placement.hpp"
#include "vm/lease.hpp"

#include <map>

namespace dandelionstep {

//! Gives engines their layers, on the one daemon that holds the lease.
class placer {
public:
    placer(entry_context& context, store_client& store, std::uint64_t process);

    void start();
    //! Takes the product's rows as they were read.
    void take_rows(const stored_rows& rows);
    //! Whether this daemon holds the lease now.
    [[nodiscard]] bool is_holder() const { return holds_lease(this->lease, event_loop::now()); }
    //! Whether this daemon may become the holder: it must see the rows of the others.
    std::function<bool()> may_contend;
    //! Called when the rows should be read again soon.
    std::function<void()> on_unsure;
    //! Gives the lease up, as the store came back from an older copy: it has to be taken anew.
    void begin_era();
    //! Lets another daemon take the lease over at once.
    void stop();

private:
    //! An engine that was asked or ordered, and what is assumed of it meanwhile.
    struct pending_order {
        held_layers layers;
        time_point until;
        incarnation started;
    };

    void take_lease_row(const stored_row& row, time_point now);
    void write_lease();
    void plan();
    [[nodiscard]] bool is_serving();
    void plan_service(const entry_service& service);
    [[nodiscard]] std::vector<registered_target> assumed_engines(const service_id& service, time_point now);
    void place(const registered_target& engine, held_layers wanted, const engine_profile& profile);
    void order(const registered_target& engine, held_layers wanted, const engine_report& report,
               const engine_profile& profile);
    void assume(const registered_target& engine, held_layers layers, milliseconds lasting);

    entry_context& context;
    store_client& store;
    lease_state lease;
    lease_times times;
    lease_record self;
    std::map<target_id, pending_order> pending;
    engine_arrivals arrivals;
    event_loop::timer plan_timer;
    bool stopped = false;
};

} // namespace dandelionstep
