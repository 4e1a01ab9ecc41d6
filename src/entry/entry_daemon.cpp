#include "entry/entry_daemon.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/caller_port.hpp"
#include "adapters/log.hpp"
#include "entry/caller_reports.hpp"
#include "entry/context/entry_context.hpp"
#include "entry/peers/peer_follower.hpp"
#include "entry/peers/peer_port.hpp"
#include "entry/peers/suspect_push.hpp"
#include "entry/peers/use_push.hpp"
#include "entry/placement/placer.hpp"
#include "entry/registry/known_state.hpp"
#include "entry/registry/store_watch.hpp"
#include "entry/request_relay.hpp"
#include "entry/requests/accepted_request.hpp"
#include "entry/settings_watch.hpp"
#include "entry/status_port.hpp"
#include "entry/stop_runner.hpp"
#include "entry/streams/stream_gate.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <malloc.h>
#include <sstream>

namespace dandelionstep {
namespace {

constexpr std::uint16_t metrics_port = 9464;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr milliseconds housekeeping_interval{250};
constexpr milliseconds least_room_return{250};
constexpr milliseconds longest_room_return{1'000};
// Larger pieces of memory go back to the system at once. By default the limit rises to the size of bodies
// that were freed, and what is freed among others stays with the process.
constexpr int mapped_bytes = 128 * 1024;

class entry_daemon {
public:
    entry_daemon(const entry_dialect& dialect, entry_settings settings, std::string settings_path_in)
        : settings_path(std::move(settings_path_in)), context(this->loop, dialect, std::move(settings)),
          store(this->context), watch(this->context, this->store), process(this->context.random()),
          rows(this->context, this->store, this->process),
          placement(this->context, this->store, this->process), claims(this->context, this->store),
          streams(this->context), gate(this->context),
          relay(this->context, this->streams, this->gate, this->store), peers(this->context, this->process),
          follower(this->context, this->watch, this->rows), push(this->context), use_sharing(this->context),
          callers(this->loop, this->context.unread_bytes,
                  [this](const std::shared_ptr<caller_exchange>& caller) { this->relay.take(caller); }),
          stopping(this->context, this->callers), readiness(this->loop), metrics(this->loop),
          settings_file(this->settings_path)
    {}

    absl::Status run()
    {
        // Who sees the port open may send signals; until the loop runs they wait.
        const auto stop = [this] { this->begin_stop(); };
        const event_loop::timer on_term = this->loop.on_signal(SIGTERM, stop);
        const event_loop::timer on_int = this->loop.on_signal(SIGINT, stop);
        const event_loop::timer on_hup = this->loop.on_signal(SIGHUP, [this] { this->reload(); });
        absl::Status status = this->listen();
        if (!status.ok()) {
            return status;
        }
        log_event("started", {{"callers", to_string(this->context.settings.callers)},
                              {"store", to_string(this->context.settings.store)},
                              {"data_centre", this->context.settings.data_centre.value},
                              {"process", static_cast<std::int64_t>(getpid())}});
        this->report_overlong();
        report_callers(this->context, this->callers);
        this->callers.bound_requests(this->context.request_bytes, [this] { return this->return_later(); });
        this->callers.set_bounds({.are_preliminary = true});
        this->watch.on_config = [this] { this->callers.set_bounds(this->context.config->bounds); };
        this->watch.on_first_known = [this] { this->relay.take_early(); };
        this->rows.on_rows = [this](const stored_rows& read) {
            this->placement.take_rows(read);
            this->follower.consider_seniors();
        };
        this->context.on_suspects = [this] {
            this->watch.write_suspects_soon();
            this->push.push_soon();
        };
        this->use_sharing.readers = [this] {
            return this->follower.is_reader() ? this->rows.readers_elsewhere() : std::vector<peer>();
        };
        this->use_sharing.uses = [this] { return this->peers.data_centre_uses(); };
        this->use_sharing.start();
        this->push.readers = [this] {
            return this->follower.is_reader() ? this->rows.readers_elsewhere() : std::vector<peer>();
        };
        this->context.on_new_era = [this] { this->begin_era(); };
        this->rows.holds_lease = [this] { return this->placement.is_holder(); };
        this->watch.holds_lease = [this] { return this->placement.is_holder(); };
        this->rows.followers = [this] { return this->peers.followers(); };
        this->peers.is_reader = [this] { return this->follower.is_reader(); };
        this->peers.contact = [this] { return this->contact_with_store(); };
        this->peers.store_answered_at = [this] { return this->store.answered_at(); };
        this->follower.contact = [this] { return this->contact_with_store(); };
        this->peers.on_left = [this](const vm_id& left) { this->follower.take_over(left); };
        this->peers.own_reader = [this] { return this->follower.followed(); };
        this->follower.must_read = [this] {
            return this->placement.is_holder() && this->store.is_reachable();
        };
        this->follower.successors = [this] { return this->peers.successors(); };
        this->relay.on_early = [this] { this->follower.hurry(); };
        this->placement.may_contend = [this] { return this->follower.is_reader(); };
        this->streams.guard.segments().claim = [this](const trial_name& trial) {
            return this->claims.claim(trial);
        };
        this->placement.on_unsure = [this] { this->rows.read_soon(); };
        this->stopping.on_exit = [this] { this->loop.stop(); };
        this->follower.start();
        this->placement.start();
        const event_loop::timer housekeeping =
            this->loop.run_every(housekeeping_interval, [this] { this->keep_house(); });
        this->loop.run();
        log_event("stopped", {{"unfinished", this->callers.unfinished()}});
        flush_log();
        return absl::OkStatus();
    }

private:
    void report_overlong()
    {
        this->context.channels.on_overlong([this](const endpoint& from, std::size_t bytes) {
            if (may_log(this->context.logs, log_weight::failure, event_loop::now())) {
                log_event("response_overlong",
                          {{"from", to_string(from)}, {"bytes", static_cast<std::int64_t>(bytes)}});
            }
        });
    }

    // Callers that found no room come back spread over a second; another daemon may take them at once.
    http_headers return_later()
    {
        const auto spread = static_cast<std::int64_t>(this->context.draw() * longest_room_return.count);
        return {{"Retry-After", seconds_text(least_room_return + milliseconds{spread})}};
    }

    absl::Status listen()
    {
        const entry_settings& settings = this->context.settings;
        this->readiness.serve("/readiness", [this] { return this->readiness_page(); });
        this->metrics.serve("/metrics", [this] { return this->metrics_page(); });
        absl::Status status = this->callers.listen(settings.callers);
        status.Update(this->readiness.listen(settings.readiness));
        this->listen_to_peers();
        if (!settings.own_address.empty()) {
            const absl::Status metrics_status = this->metrics.listen({settings.own_address, metrics_port});
            if (!metrics_status.ok()) {
                // Serving requests does not depend on it.
                log_event("metrics_unavailable", {{"reason", std::string(metrics_status.message())}});
            }
        }
        return status;
    }

    // Without the port this daemon reads the store itself, and no other asks it.
    void listen_to_peers()
    {
        endpoint& at = this->context.settings.peers;
        if (at.port == 0) {
            return;
        }
        const absl::Status status = this->peers.listen(at);
        if (!status.ok()) {
            log_event("peers_unavailable", {{"reason", std::string(status.message())}});
            at.port = 0;
        }
    }

    [[nodiscard]] bool is_ready() const { return can_route(this->context) && !this->context.stop; }

    status_port::page readiness_page()
    {
        return this->is_ready() ? status_port::page{status_ok, "ready\n"}
                                : status_port::page{status_unavailable, "not ready\n"};
    }

    status_port::page metrics_page()
    {
        std::map<std::string, std::int64_t>& gauges = this->context.metrics.gauges;
        gauges["config_version"] = this->context.config ? this->context.config->version.value : -1;
        gauges["live_daemons"] = this->context.daemons;
        gauges["store_era"] = this->context.era.value;
        gauges["retry_sharers"] = retry_sharers(this->context);
        gauges["follows_reader"] = this->follower.is_following() ? 1 : 0;
        gauges["followers"] = static_cast<std::int64_t>(this->peers.followers().size());
        gauges["suspects"] = static_cast<std::int64_t>(this->context.suspects.table.suspects.size());
        gauges["suspected_segments"] = static_cast<std::int64_t>(this->context.segments.suspects.size());
        gauges["targets"] = static_cast<std::int64_t>(this->context.targets.size());
        gauges["caller_connections"] = this->callers.connections();
        gauges["target_connections"] = this->context.channels.open_connections();
        gauges["target_connections_opened"] = this->context.channels.counts().opened;
        gauges["responses_skipped"] = this->context.channels.counts().skipped_responses;
        gauges["responses_overlong"] = this->context.channels.counts().overlong_responses;
        gauges["responses_cut_by_death"] = this->context.channels.counts().unconfirmed_ends;
        gauges["answer_bytes_held"] = static_cast<std::int64_t>(this->context.answer_bytes->held);
        gauges["request_bytes_held"] = static_cast<std::int64_t>(this->context.request_bytes->held);
        gauges["requests_without_room"] = this->callers.paused();
        gauges["unread_bytes_held"] = static_cast<std::int64_t>(this->context.unread_bytes->held);
        gauges["log_lines_dropped"] =
            dropped_log_lines() + this->context.logs.dropped_failures + this->context.logs.dropped_successes;
        for (const auto& [service, budget] : this->context.retry_budgets) {
            this->context.metrics.retries_saved[service.value] =
                static_cast<std::int64_t>(std::max(0.0, retries_allowed(budget, event_loop::now())));
        }
        this->note_learned();
        return {status_ok, to_prometheus(this->context.metrics)};
    }

    // Without load control nothing is learned, and what was learned before is not used.
    void note_learned()
    {
        entry_metrics& metrics = this->context.metrics;
        metrics.answer_tokens.clear();
        metrics.answer_error_percent.clear();
        metrics.stated_error_percent.clear();
        for (const auto& [route, learned] : learned_answers(this->context.costs, event_loop::now())) {
            metrics.answer_tokens[route] = learned.tokens;
            metrics.answer_error_percent[route] = learned.learned_error_percent;
            metrics.stated_error_percent[route] = learned.stated_error_percent;
        }
    }

    void reload()
    {
        const absl::StatusOr<entry_settings> read =
            read_entry_settings(this->context.dialect, this->settings_path);
        if (!read.ok()) {
            log_event("reload_failed", {{"reason", std::string(read.status().message())}});
            return;
        }
        // Listening addresses stay until the next start.
        entry_settings next = *read;
        next.callers = this->context.settings.callers;
        next.readiness = this->context.settings.readiness;
        next.peers = this->context.settings.peers;
        next.load_control = this->context.settings.load_control;
        next.queues_streams = this->context.settings.queues_streams;
        this->context.settings = next;
        log_event("reloaded", {{"store", to_string(next.store)}});
    }

    // The store came back from an older copy.
    void begin_era()
    {
        this->placement.begin_era();
        this->claims.begin_era();
        this->rows.begin_era();
        this->watch.begin_era();
        this->push.push_soon();
        this->context.on_change();
    }

    void begin_stop()
    {
        if (this->context.stop) {
            return;
        }
        this->stopping.begin();
        this->placement.stop();
        this->rows.stop();
    }

    void keep_house()
    {
        flush_log();
        const time_point now = event_loop::now();
        if (this->settings_file.has_changed(now)) {
            this->reload();
        }
        this->add_up_uses(now);
    }

    [[nodiscard]] store_contact contact_with_store() const
    {
        return this->store.contact_since(this->follower.reads_since());
    }

    // A reader knows what the others' requests take once all of its data centre follow it.
    void add_up_uses(time_point now)
    {
        const auto followers = static_cast<std::int64_t>(this->peers.followers().size());
        if (this->follower.is_reader() && followers + 1 >= this->context.siblings) {
            this->context.others = this->peers.others_uses();
            this->context.others_at = now;
        }
    }

    std::string settings_path;
    event_loop loop;
    entry_context context;
    store_client store;
    store_watch watch;
    std::uint64_t process;
    vm_rows rows;
    placer placement;
    trial_claims claims;
    request_tools streams;
    stream_gate gate;
    request_relay relay;
    peer_port peers;
    peer_follower follower;
    suspect_push push;
    use_push use_sharing;
    caller_port callers;
    stop_runner stopping;
    status_port readiness;
    status_port metrics;
    settings_watch settings_file;
};

} // namespace

absl::StatusOr<entry_settings> read_entry_settings(const entry_dialect& dialect, const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(absl::StrCat(path, ": cannot be read"));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return dialect.parse_settings(text.str(), path);
}

absl::Status run_entry_daemon(const entry_dialect& dialect, const entry_settings& settings,
                              const std::string& settings_path)
{
    start_logging_to_output(settings.vm.value);
    mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    return entry_daemon(dialect, settings, settings_path).run();
}

} // namespace dandelionstep
