#include "daemon/daemon.hpp"

#include "adapters/caller_server.hpp"
#include "adapters/log.hpp"
#include "daemon/answers.hpp"
#include "daemon/caller_routes.hpp"
#include "daemon/configuration_sync.hpp"
#include "daemon/context.hpp"
#include "daemon/group.hpp"
#include "daemon/leaving_watch.hpp"
#include "daemon/operator_port.hpp"
#include "daemon/report_store.hpp"
#include "daemon/suspect_share.hpp"
#include "daemon/target_observer.hpp"
#include "vm/planned_stop.hpp"

#include <csignal>
#include <memory>

namespace dandelionstep {
namespace {

constexpr milliseconds stop_check_interval{50};
constexpr milliseconds retry_after_stop{1000};

caller_limits limits_of(const settings& configured)
{
    caller_limits limits;
    limits.max_body_bytes = static_cast<std::size_t>(configured.max_body_bytes);
    limits.max_connections = static_cast<int>(configured.max_connections);
    return limits;
}

// All parts of a running daemon, in the order in which they depend on each other.
class running_daemon {
public:
    explicit running_daemon(const settings& configured)
        : configured(configured), http(loop),
          platform(http, configured.platform, configured.platform_timeout),
          engines(http), context{.loop = loop,
                                 .configured = configured,
                                 .http = http,
                                 .platform = platform,
                                 .engines = engines,
                                 .configuration = {},
                                 .start = {},
                                 .health = {},
                                 .leaving = {},
                                 .leaving_learned = {},
                                 .counters = {},
                                 .burn = {},
                                 .requests_in_flight = 0,
                                 .open = {},
                                 .stopping = false,
                                 .started = incarnation{event_loop::wall_now().count}},
          generations(context), gate(context, generations), lookups(context), orders(context),
          configuration(context, [this] { this->peers.spread_soon(); }), peers(context, configuration),
          reports(context),
          operators(context, peers, reports,
                    [this](const change_answer& answer) { this->configuration.take(answer); }),
          observer(context, peers), routes(context, gate, lookups, orders),
          callers(loop, limits_of(configured),
                  [this](const received_request& request, const std::shared_ptr<caller_reply>& reply) {
                      this->routes.handle(request, reply);
                  })
    {
        this->context.on_news = [this] { this->peers.spread_soon(); };
        this->context.engines.on_refusal = [this](const target_id& target, std::string_view body) {
            note_refusal(this->context, target, body);
        };
        this->peers.share(share_leaving_marks(this->context));
        this->peers.share(share_suspects(this->context));
    }

    absl::Status run()
    {
        if (this->configured.tls) {
            if (absl::Status status = this->callers.use_tls(*this->configured.tls); !status.ok()) {
                return status;
            }
        }
        // Who sees a port open may send signals; until the loop runs they wait.
        this->terminate = this->loop.on_signal(SIGTERM, [this] { this->stop(); });
        this->interrupt = this->loop.on_signal(SIGINT, [this] { this->stop(); });
        this->hang_up = this->loop.on_signal(SIGHUP, [this] { this->reload_key(); });
        for (const absl::Status& status :
             {this->peers.start(), this->operators.start(), this->callers.listen(this->configured.callers)}) {
            if (!status.ok()) {
                return status;
            }
        }
        this->configuration.start();
        log_event("started", {{"callers", to_string(this->configured.callers)},
                              {"peers", to_string(this->configured.peers)},
                              {"data_centre", this->configured.data_centre.value}});
        this->loop.run();
        log_event("stopped", {{"requests_cut_off", this->requests_cut_off}});
        return absl::OkStatus();
    }

private:
    // The peers' side watches its files by itself.
    void reload_key()
    {
        if (!this->configured.tls) {
            log_event("key_not_reloaded", {{"reason", "TLS is off"}});
            return;
        }
        const absl::Status status = this->callers.use_tls(*this->configured.tls);
        log_event(status.ok() ? "key_reloaded" : "key_not_reloaded",
                  {{"reason", std::string(status.message())}});
    }

    // First signal: finish what runs. Second signal: stop as soon as what runs was answered.
    void stop()
    {
        if (this->context.stopping) {
            this->hurry = true;
            return;
        }
        this->context.stopping = true;
        this->stopping.began = event_loop::now();
        log_event("stopping", {{"requests_in_flight", this->context.requests_in_flight}});
        this->peers.leave();
        this->stop_check = this->loop.run_every(stop_check_interval, [this] { this->check_stopped(); });
    }

    void check_stopped()
    {
        const remaining_work left{.requests_in_flight = this->context.requests_in_flight,
                                  .unwritten_orders = this->orders.unwritten(),
                                  .unsent_answers = this->callers.unfinished(),
                                  .unheard_notices = this->peers.is_leave_unheard() ? 1 : 0};
        const stop_limits limits{.balancer_notice = this->configured.balancer_notice,
                                 .drain_limit = this->configured.drain_limit};
        switch (advance(this->stopping, left, limits, this->hurry, event_loop::now())) {
        case stop_step::wait:
            return;
        case stop_step::give_up:
            this->give_up();
            return;
        case stop_step::exit:
            // What finished during the stop is counted too; the platform's timeout bounds the wait.
            this->stop_check = {};
            this->reports.write([this](bool) { this->loop.stop(); });
            return;
        }
    }

    void give_up()
    {
        for (const request_id& id : this->context.open.names()) {
            log_event("request_cut_off", {{"request", id.value}});
            ++this->requests_cut_off;
        }
        if (this->orders.unwritten() > 0) {
            log_event("order_answers_not_kept", {{"count", this->orders.unwritten()}});
        }
        this->context.open.give_up();
        const int refused = refuse_arriving(
            this->callers,
            execution_tracker{}.refuse(error_code::stopping, "this daemon is stopping", retry_after_stop));
        if (refused > 0) {
            log_event("arriving_requests_refused", {{"count", refused}});
        }
    }

    const settings& configured;
    event_loop loop;
    http_client http;
    platform_client platform;
    engine_client engines;
    daemon_context context;
    generation_runner generations;
    admission_gate gate;
    lookup_runner lookups;
    order_runner orders;
    configuration_sync configuration;
    group peers;
    report_store reports;
    operator_port operators;
    target_observer observer;
    caller_routes routes;
    caller_server callers;
    event_loop::timer terminate;
    event_loop::timer interrupt;
    event_loop::timer hang_up;
    event_loop::timer stop_check;
    stop_state stopping;
    bool hurry = false;
    std::int64_t requests_cut_off = 0;
};

} // namespace

absl::Status run_daemon(const settings& configured)
{
    const auto daemon = std::make_unique<running_daemon>(configured);
    return daemon->run();
}

} // namespace dandelionstep
