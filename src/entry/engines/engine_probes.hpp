#pragma once

#include "entry/engines/engine_calls.hpp"

#include <memory>
#include <vector>

namespace dandelionstep {

//! A running stream, whose events show that the engines of its path live.
class event_witness {
public:
    virtual ~event_witness() = default;

    //! When the latest event came through the engine; time_point{0} if none did.
    [[nodiscard]] virtual time_point last_event_through(const target_id& engine) const = 0;
};

//! Finds engines that no longer answer by asking them directly, once for all streams that wait for them.
//! What is found stands in the engines' conditions: a silent one is out of use until it answers again.
class engine_probes {
public:
    explicit engine_probes(entry_context& context) : context(context) {}

    //! Adds a stream that has begun to be watched.
    void add_witness(std::weak_ptr<const event_witness> stream);
    //! Asks those of the path's engines that were not heard of lately, for a stream that is silent. With load
    //! control, engines through which an event of any stream has come after that time are left out.
    void ask(const std::vector<hop>& path, time_point telling_since);
    //! Whether, with load control, events of other streams have come through all engines of the path after
    //! that time.
    bool are_heard(const std::vector<hop>& path, time_point after);
    //! Asks one engine that a request was refused or dropped for. The reason is the one in the metrics.
    void ask_one(const target_id& id, const endpoint& address, const char* reason);
    //! Asks one engine that has to be known alive at this moment, however lately it was heard of.
    void ask_now(const target_id& id, const endpoint& address, const char* reason);

private:
    //! Whether the engine has not been asked for as long as its answers, or its silence, call for.
    [[nodiscard]] bool is_due(const target_id& id) const;
    void ask_due(const target_id& id, const endpoint& address, const char* reason);
    void send(const target_id& id, const endpoint& address, const char* reason);
    //! Whether the engine need not be asked, as an event has come through it after that time.
    bool is_vouched_for(const target_id& id, time_point after, const char* reason);
    //! When an event last came through the engine, as far as needed to tell whether one did after that time.
    time_point last_event_through(const target_id& id, target_condition& condition, time_point after);
    void count_saved(target_condition& condition, const char* reason);
    bool take_spare_probe();
    void take_answer(const target_id& id, time_point sent_at, const std::optional<engine_report>& report);
    void ask_data_centre_of(const target_id& silent, time_point asked_at);
    [[nodiscard]] int newly_silent_in(const data_centre_id& data_centre) const;
    void ask_silent_ones();

    entry_context& context;
    std::vector<std::weak_ptr<const event_witness>> witnesses;
    //! Probes that may be sent though events have come through the engine.
    double spare_probes = 0;
    event_loop::timer repeat_timer;
    bool repeating = false;
};

} // namespace dandelionstep
