#pragma once

#include "adapters/channel_pool.hpp"
#include "adapters/event_loop.hpp"
#include "common/gathered_text.hpp"
#include "common/hash.hpp"
#include "entry/context/dialect.hpp"
#include "entry/context/entry_metrics.hpp"
#include "entry/context/store_position.hpp"
#include "organisation/fair_share.hpp"
#include "report/log_budget.hpp"
#include "request/cost_model.hpp"
#include "request/segment_suspects.hpp"
#include "request/shared_suspects.hpp"
#include "route/entry_config.hpp"
#include "route/retry_budget.hpp"
#include "route/return_time.hpp"
#include "route/sharer_count.hpp"
#include "target/ended_processes.hpp"
#include "target/engine_use.hpp"
#include "target/kept_rests.hpp"
#include "target/leaving.hpp"
#include "target/registry_update.hpp"
#include "target/target_condition.hpp"
#include "target/target_registry.hpp"
#include "vm/planned_stop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace dandelionstep {

//! Daemons that are assumed until the store has been read: many, so that a share is rather too small.
inline constexpr std::int64_t unknown_daemons = 96;
inline constexpr std::int64_t unknown_siblings = 3;

//! The part of the vm's memory that answers may take while they are gathered; and again while they wait for
//! their callers.
byte_budget answer_budget(const entry_settings& settings);

//! The part that callers' requests may take. With the two for answers it leaves a fifth for all else.
byte_budget request_budget(const entry_settings& settings);

//! What all parts of an entry daemon share; touched by the loop alone.
struct entry_context {
    event_loop& loop;
    const entry_dialect& dialect;
    entry_settings settings;
    //! For answers while they are gathered.
    std::shared_ptr<byte_budget> answer_bytes;
    //! For answers that wait for callers to read them.
    std::shared_ptr<byte_budget> unread_bytes;
    //! For callers' requests, from their first byte until they are answered.
    std::shared_ptr<byte_budget> request_bytes;
    channel_pool channels;
    //! Null until the first configuration is known.
    std::shared_ptr<const entry_config> config;
    //! The same as the operators wrote it.
    std::string config_text;
    //! Up to when all changes of the configuration are known, and until when an open call to the store would
    //! tell a newer one.
    time_point config_as_of{0};
    time_point config_watched_until{0};
    target_registry targets;
    //! Processes of targets that leave, by their registration or their own answers. No older registration
    //! undoes it.
    leaving_marks leaving;
    //! Targets that vanished from the registry around an outage of the store, and until when they are kept
    //! all the same, as they may have lapsed with it.
    unconfirmed_targets unconfirmed;
    //! The registry's changes, for the daemons that follow this one.
    registry_log changes;
    //! Requests under which targets died.
    shared_suspects suspects;
    //! Prompt segments of requests under which targets died.
    segment_suspects segments;
    //! Processes of targets that daemons found ended.
    ended_processes ended;
    //! Called when one more is known.
    std::function<void()> on_ended;
    //! Called when there is news for the daemons that follow this one.
    std::function<void()> on_change;
    //! Called when there is news of suspects for the store.
    std::function<void()> on_suspects;
    //! Called when other daemons need to know of a suspect at once.
    std::function<void()> on_urgent;
    //! Up to when all changes of the registry are known.
    time_point targets_as_of{0};
    //! When the store last answered a reader that this daemon followed, as far as that told.
    time_point reader_answered_at{0};
    //! From where the store's changes go on that are not known yet.
    store_position position;
    //! The newest era of the store that is known, and since when.
    store_era era;
    time_point era_began_at{0};
    //! Called when a new one has begun: what was read of the store may be gone, and versions of the one
    //! before mean nothing any more.
    std::function<void()> on_new_era;
    //! Whether the registry was read at least once.
    bool targets_known = false;
    target_conditions conditions;
    //! Rests of processes of targets that are not registered now and may be so again.
    saved_backoffs rests;
    //! When anything last came from a target or the store.
    time_point heard_at{0};
    std::map<service_id, retry_budget> retry_budgets;
    //! From when this daemon has its share of the retry slack: before, one that ran here may have used it.
    time_point slack_from{0};
    //! When all daemons start together: no window that begins before has a whole one before it.
    time_point first_window_until{0};
    //! How organisations share each service while that turns requests away.
    std::map<service_id, fair_share> shares;
    //! Of each service, since when its requests are refused; under no name, of requests that know none yet.
    std::map<service_id, refusal_streak> refusals;
    //! Daemons that share the retry budget with this one, itself included.
    std::int64_t daemons = unknown_daemons;
    //! Those of them in this data centre.
    std::int64_t siblings = unknown_siblings;
    //! Numbers of daemons that count for the retry budget.
    daemon_count_history sharers;
    //! What the requests of the data centre's other daemons take of engines, and when that was known.
    engine_uses others;
    time_point others_at{0};
    //! Until when not all of those daemons have told: they have just started, or their reader has.
    time_point others_partial_until{0};
    //! Lengths of answers and response times of calls, learned while load is controlled.
    cost_model costs;
    entry_metrics metrics;
    log_budget logs;
    std::mt19937_64 random;
    //! Set while the daemon stops as planned.
    std::optional<stop_state> stop;
    stop_limits stop_bounds;
    //! Mean time between two events of the streams that pass through this daemon.
    double event_gap_ms = 100;
    //! Whether a stream has been asked for since this daemon started.
    bool has_streams = false;

    entry_context(event_loop& loop_in, const entry_dialect& dialect_in, entry_settings settings_in)
        : loop(loop_in), dialect(dialect_in), settings(std::move(settings_in)),
          answer_bytes(std::make_shared<byte_budget>(answer_budget(this->settings))),
          unread_bytes(std::make_shared<byte_budget>(answer_budget(this->settings))),
          request_bytes(std::make_shared<byte_budget>(request_budget(this->settings))),
          channels(loop_in, this->answer_bytes),
          slack_from(this->settings.is_first_start ? time_point{0}
                                                   : event_loop::now() + this->settings.retry_window),
          first_window_until(this->settings.is_first_start
                                 ? event_loop::now() + this->settings.retry_window / 2
                                 : time_point{0}),
          random(hash_of(this->settings.vm.value, static_cast<std::uint64_t>(event_loop::now().count)))
    {}

    //! Whether requests are scheduled by priority, cost and remaining work.
    [[nodiscard]] bool controls_load() const;
    //! Whether new streams also wait for room, and retries are counted by windows.
    [[nodiscard]] bool queues_streams() const;

    //! Uniform in [0, 1).
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
};

//! Up to when all changes of the configuration are known.
time_point config_known_at(const entry_context& context, time_point now);

//! Takes the number of daemons, and of those in this data centre, as it was heard now.
void know_daemons(entry_context& context, std::int64_t all, std::int64_t in_data_centre);

//! The daemons among which the retry budget is divided.
std::int64_t retry_sharers(const entry_context& context);

//! The service's retry budget, this daemon's share of it.
retry_budget& budget_of(entry_context& context, const service_id& service);

} // namespace dandelionstep
