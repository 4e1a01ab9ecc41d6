#pragma once

#include "adapters/engine_client.hpp"
#include "adapters/event_loop.hpp"
#include "adapters/http_client.hpp"
#include "adapters/platform_client.hpp"
#include "configuration/applied.hpp"
#include "configuration/start_check.hpp"
#include "daemon/open_requests.hpp"
#include "report/burn_series.hpp"
#include "report/request_counters.hpp"
#include "request/suspects.hpp"
#include "route/retry_budget.hpp"
#include "route/route_index.hpp"
#include "target/health.hpp"
#include "vm/settings.hpp"

#include <functional>

namespace dandelionstep {

//! What all parts of one daemon share; touched by the loop alone.
struct daemon_context {
    event_loop& loop;
    const settings& configured;
    http_client& http;
    platform_client& platform;
    engine_client& engines;
    applied_configuration configuration;
    start_check start;
    health_map health;
    leaving_marks leaving;
    mark_times leaving_learned;
    //! Called when there is something that peers should hear soon.
    std::function<void()> on_news = [] {};
    request_counters counters;
    burn_table burn;
    //! Requests that were aboard targets that died, here or at other daemons.
    suspect_table suspects{};
    //! Requests of callers that are not answered yet.
    std::int64_t requests_in_flight = 0;
    open_requests open;
    //! Set by a planned stop: new requests are refused, running ones finish.
    bool stopping = false;
    incarnation started;
    route_cache routes{};

    //! The routes of the configuration in force.
    const route_index& current_routes()
    {
        return this->routes.at(this->configuration.number, this->configuration.declared);
    }
    retry_budget retries{};
    //! Chains chosen so far.
    std::uint64_t chains_chosen = 0;

    //! Whether the balancer may send callers here.
    [[nodiscard]] bool ready() const { return !this->stopping && this->start.passed; }
};

} // namespace dandelionstep
