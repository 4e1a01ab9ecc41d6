#include "entry/request_relay.hpp"

#include "adapters/log.hpp"
#include "entry/calls/call_runner.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/requests/refusal.hpp"
#include "entry/streams/stream_runner.hpp"
#include "organisation/request_rank.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
// Time from the start within which requests wait for the first configuration when the store is away.
constexpr milliseconds usual_first_read{400};
// The same while no call fails: two answers in a row, late ones.
constexpr milliseconds longest_first_read{900};
// Another daemon takes the request at once.
constexpr milliseconds retry_after_stop{50};

} // namespace

struct request_relay::state {
    entry_context& context;
    request_tools& tools;
    stream_gate& gate;
    const store_client& store;
    // Requests that came before the first configuration was read.
    std::vector<std::shared_ptr<caller_exchange>> early;
    event_loop::timer early_timer;
    time_point started_at;

    // The first configuration usually comes within some milliseconds of the start; a caller that is refused
    // instead would come back much later. How long a request may still wait for it.
    [[nodiscard]] milliseconds left_to_wait() const
    {
        if (this->context.stop && this->context.stop->gave_up) {
            return milliseconds{0};
        }
        const milliseconds passed = event_loop::now() - this->started_at;
        if (passed < usual_first_read) {
            return usual_first_read - passed;
        }
        return this->store.holds_back() ? milliseconds{0}
                                        : std::max(longest_first_read - passed, milliseconds{0});
    }

    void keep_early(const std::shared_ptr<caller_exchange>& caller, milliseconds longest)
    {
        this->early.push_back(caller);
        caller->on_time_up = [this] { this->take_early(); };
        if (this->early.size() == 1) {
            this->early_timer = this->context.loop.run_after(longest, [this] { this->take_early(); });
        }
    }

    void take_early()
    {
        this->early_timer = {};
        const std::vector<std::shared_ptr<caller_exchange>> due = std::move(this->early);
        this->early.clear();
        for (const std::shared_ptr<caller_exchange>& caller : due) {
            if (!caller->gone()) {
                this->take(caller);
            }
        }
    }

    // Finds the organisation; false when the key is unknown.
    bool identify(accepted_request& request) const
    {
        request.priority = request.route->priority;
        if (!request.config->has_organisations || request.route->is_public) {
            return true;
        }
        const auto owner = request.config->keys.find(request.facts.key);
        if (owner == request.config->keys.end()) {
            return false;
        }
        request.organisation = owner->second.organisation;
        request.priority = this->context.controls_load()
                               ? request_rank(owner->second.priority, request.route->priority)
                               : owner->second.priority.value_or(request.priority);
        return true;
    }

    void take(const std::shared_ptr<caller_exchange>& caller)
    {
        const milliseconds left = can_route(this->context) ? milliseconds{0} : this->left_to_wait();
        if (left > milliseconds{0}) {
            this->keep_early(caller, left);
            return;
        }
        accepted_request request;
        request.caller = caller;
        request.facts = this->context.dialect.read_request(caller->head.headers);
        request.config = this->context.config;
        request.deadline = caller->began;
        if (!can_route(this->context)) {
            refuse_for_now(this->context, request, "no_configuration_yet", std::nullopt);
            return;
        }
        request.route = find_route(*request.config, caller->head.header("Host"), caller->head.target);
        if (request.route == nullptr) {
            refuse(this->context, request, status_not_found, "no_route", {0});
            return;
        }
        if (!this->identify(request)) {
            refuse(this->context, request, status_unauthorised, "unknown_key", {0});
            return;
        }
        milliseconds allowed = request.route->timeout;
        if (request.facts.patience) {
            allowed = std::min(allowed, *request.facts.patience);
        }
        request.deadline = caller->began + allowed;
        if (request.deadline <= event_loop::now()) {
            // A target would run it for nobody.
            refuse(this->context, request, status_unavailable, "deadline", {0});
            return;
        }
        if (!this->may_begin(request)) {
            refuse(this->context, request, status_unavailable, "stopping", retry_after_stop);
            return;
        }
        this->dispatch(request);
    }

    // What the balancer sent before it noticed the stop is always taken in; later on, what its time limit
    // ends before the daemon does. How long a stream will take isn't known: its engines may become slower.
    [[nodiscard]] bool may_begin(const accepted_request& request) const
    {
        const time_point now = event_loop::now();
        if (!this->context.stop ||
            now - this->context.stop->began < this->context.stop_bounds.balancer_notice) {
            return true;
        }
        return ends_in_time(*this->context.stop, this->context.stop_bounds, request.deadline - now, now);
    }

    // Targets died each time that they ran the request; it would end the next one as well.
    void refuse_held(const accepted_request& request, milliseconds held) const
    {
        const time_point now = event_loop::now();
        const auto& suspects = this->context.suspects.table.suspects;
        const auto found = suspects.find(request.fingerprint);
        if (found != suspects.end() && may_log(this->context.logs, log_weight::failure, now)) {
            log_event("request_held", {{"id", request.facts.attempt_id},
                                       {"fingerprint", request.fingerprint.value},
                                       {"deaths", static_cast<std::int64_t>(found->second.takedowns.size())},
                                       {"last_death_ms", now - found->second.last},
                                       {"retry_after_ms", held}});
        }
        refuse(this->context, request, status_unavailable, "ends_targets", held);
    }

    [[nodiscard]] bool is_within_share(const accepted_request& request) const
    {
        if (!request.organisation) {
            return true;
        }
        fair_share& share = this->context.shares[request.service];
        const time_point now = event_loop::now();
        note_organisation_request(share, *request.organisation, now);
        return this->context.draw() < admitted_fraction(share, *request.organisation, now);
    }

    // Its organisation asks for more than the others leave, and there is no room for all.
    void refuse_over_share(const accepted_request& request) const
    {
        const time_point now = event_loop::now();
        if (may_log(this->context.logs, log_weight::failure, now)) {
            const fair_share& share = this->context.shares[request.service];
            log_event("request_over_share",
                      {{"id", request.facts.attempt_id},
                       {"organisation", request.organisation->value},
                       {"part_sent_percent", static_cast<std::int64_t>(
                                                 100 * admitted_fraction(share, *request.organisation, now))},
                       {"organisations", static_cast<std::int64_t>(share.requests.size())},
                       {"full_ms_ago", now - share.overloaded_at}});
        }
        refuse_for_now(this->context, request, "organisation_over_share", std::nullopt);
    }

    void dispatch(accepted_request& request) const
    {
        const service_id* service = pick_service(*request.route, this->context.draw());
        if (service == nullptr) {
            refuse_for_now(this->context, request, "route_without_service", std::nullopt);
            return;
        }
        request.service = *service;
        request.fingerprint = fingerprint_of(request.organisation.value_or(organisation_id()),
                                             request.caller->head.target, request.caller->body);
        request.segments = distinct_segments(request.service, request.facts.shared_segments);
        note_request(budget_of(this->context, request.service), event_loop::now());
        const milliseconds held = this->tools.guard.held_for(request.fingerprint);
        if (held > milliseconds{0}) {
            this->refuse_held(request, held);
            return;
        }
        if (!this->is_within_share(request)) {
            this->refuse_over_share(request);
            return;
        }
        const auto known = request.config->services.find(request.service);
        const bool has_engines = known != request.config->services.end() && known->second.engine.has_value();
        if (has_engines && request.facts.attempt_id.empty()) {
            refuse(this->context, request, status_bad_request, "no_attempt_id", {0});
            return;
        }
        if (request.route->kind == route_kind::stream) {
            run_stream(this->context, this->tools, this->gate, std::move(request));
        } else {
            run_call(this->context, this->tools, std::move(request));
        }
    }
};

request_relay::request_relay(entry_context& context, request_tools& tools, stream_gate& gate,
                             const store_client& store)
    : self(std::make_unique<state>(state{context, tools, gate, store, {}, {}, event_loop::now()}))
{}

request_relay::~request_relay() = default;

void request_relay::take_early()
{
    this->self->take_early();
}

void request_relay::take(const std::shared_ptr<caller_exchange>& caller)
{
    if (!can_route(this->self->context) && this->on_early) {
        this->on_early();
    }
    this->self->take(caller);
}

} // namespace dandelionstep
