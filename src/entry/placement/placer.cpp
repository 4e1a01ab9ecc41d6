#include "entry/placement/placer.hpp"

#include "adapters/log.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds write_timeout{1'000};
constexpr milliseconds plan_interval{300};
constexpr milliseconds engine_timeout{700};
// Registrations show new layers after a heartbeat and its way through the store.
constexpr milliseconds registration_lag{2'500};
// An engine that refused an order or is busy is left alone for this time.
constexpr milliseconds pause_after_refusal{600};

constexpr int status_ok = 200;
constexpr int status_accepted = 202;

std::vector<registered_target> emptied(std::vector<registered_target> engines)
{
    for (registered_target& engine : engines) {
        engine.layers = {};
    }
    return engines;
}

} // namespace

placer::placer(entry_context& context_in, store_client& store_in, std::uint64_t process)
    : context(context_in), store(store_in)
{
    this->self.holder = context_in.settings.vm;
    this->self.process = process;
    // Engines that have ended are registered for some seconds more, in which no path may be left.
    context_in.on_ended = [this] { this->plan(); };
}

void placer::start()
{
    this->plan_timer = this->context.loop.run_every(plan_interval, [this] {
        this->write_lease();
        this->plan();
    });
}

void placer::begin_era()
{
    if (this->is_holder()) {
        log_event("lease_lost",
                  {{"fencing_number", this->lease.known.fencing_number}, {"era", this->context.era.value}});
    }
    dandelionstep::begin_era(this->lease, this->context.era, event_loop::now());
    this->plan();
}

void placer::stop()
{
    this->stopped = true;
    this->plan_timer = {};
    if (!holds_lease(this->lease, event_loop::now())) {
        return;
    }
    this->lease.mine_until = {0};
    conditional_write release;
    release.row = {own_table, lease_key, to_text(released_lease(this->lease)), 0, false};
    release.expected_version = this->lease.row_version;
    this->store.call(
        this->context.dialect.write_call({release}), write_timeout, store_reason::lease,
        [](const store_answer& answer) {
            log_event("lease_given_up", {{"accepted", answer.result == store_result::ok ? "yes" : "no"}});
        });
}

void placer::take_rows(const stored_rows& rows)
{
    const time_point now = event_loop::now();
    bool found = false;
    for (const stored_row& row : rows.rows) {
        if (row.key == lease_key) {
            found = true;
            this->take_lease_row(row, now);
        }
    }
    if (!found) {
        note_lease_absent(this->lease, rows.version, now);
    }
}

void placer::take_lease_row(const stored_row& row, time_point now)
{
    const absl::StatusOr<lease_record> record = parse_lease(row.value);
    if (!record.ok()) {
        log_event("lease_unreadable", {{"reason", std::string(record.status().message())}});
        return;
    }
    if (record->fencing_number != this->lease.known.fencing_number) {
        log_event("lease_seen", {{"holder", record->holder.value},
                                 {"fencing_number", record->fencing_number},
                                 {"row_version", row.version}});
    }
    note_lease_row(this->lease, *record, row.version, now);
}

void placer::write_lease()
{
    const time_point now = event_loop::now();
    if (!this->is_holder() && this->may_contend && !this->may_contend()) {
        this->lease.is_known = false;
        return;
    }
    if (this->stopped || !should_write_lease(this->lease, this->times, this->self, now)) {
        return;
    }
    this->lease.era = this->context.era;
    const lease_record next = next_lease(this->lease, this->self);
    conditional_write write;
    write.row = {own_table, lease_key, to_text(next), 0, false};
    write.expected_version = this->lease.row_version;
    this->lease.writing = true;
    const bool held = holds_lease(this->lease, now);
    this->store.call(this->context.dialect.write_call({write}), write_timeout, store_reason::lease,
                     [this, next, now, held](const store_answer& answer) {
                         this->lease.writing = false;
                         if (answer.result == store_result::ok && !answer.has_crossed_eras) {
                             note_lease_written(this->lease, next, answer.rows.version, this->times, now,
                                                event_loop::now());
                             if (!held) {
                                 log_event("lease_taken", {{"fencing_number", next.fencing_number}});
                             }
                             return;
                         }
                         if (answer.result == store_result::conflict && !answer.has_crossed_eras) {
                             this->take_rows(answer.rows);
                         } else if (this->on_unsure) {
                             this->on_unsure();
                         }
                         log_event("lease_write_failed",
                                   {{"result", answer.has_crossed_eras                   ? "older_era"
                                               : answer.result == store_result::conflict ? "conflict"
                                                                                         : "no_answer"},
                                    {"held", held ? "yes" : "no"}});
                     });
}

void placer::plan()
{
    const time_point now = event_loop::now();
    note_engines(this->arrivals, this->context.targets, this->is_serving(), now);
    const bool is_holder = holds_lease(this->lease, now);
    this->context.metrics.gauges["lease_held"] = is_holder ? 1 : 0;
    this->context.metrics.gauges["lease_fencing_number"] = this->lease.known.fencing_number;
    if (!is_holder || !has_settled(this->arrivals, now) || !this->context.config ||
        !this->context.targets_known) {
        return;
    }
    const std::shared_ptr<const entry_config> config = this->context.config;
    for (const auto& [id, service] : config->services) {
        if (service.engine) {
            this->plan_service(service);
        }
    }
}

std::vector<registered_target> placer::assumed_engines(const service_id& service, time_point now)
{
    std::vector<registered_target> engines;
    for (const auto& [id, target] : this->context.targets) {
        if (target.service != service || has_ended(this->context.ended, id, target.started, now)) {
            continue;
        }
        engines.push_back(target);
        const auto found = this->pending.find(id);
        if (found == this->pending.end()) {
            continue;
        }
        const bool is_over = now >= found->second.until || found->second.started != target.started ||
                             found->second.layers == target.layers;
        if (is_over) {
            this->pending.erase(found);
        } else {
            engines.back().layers = found->second.layers;
        }
    }
    return engines;
}

bool placer::is_serving()
{
    const bool others_serve = !this->context.others.empty();
    this->self.serving = this->self.serving || this->context.has_streams || others_serve;
    return this->self.serving || this->lease.known.serving;
}

void placer::plan_service(const entry_service& service)
{
    const time_point now = event_loop::now();
    const std::vector<registered_target> engines = this->assumed_engines(service.id, now);
    const bool is_anew = !this->is_serving() && needs_full_replan(engines);
    const layer_placement plan = plan_layers(*service.engine, is_anew ? emptied(engines) : engines);
    for (const registered_target& engine : engines) {
        const auto wanted = plan.find(engine.id);
        if (wanted == plan.end() || wanted->second == engine.layers || this->pending.contains(engine.id)) {
            continue;
        }
        this->place(engine, wanted->second, *service.engine);
    }
}

void placer::assume(const registered_target& engine, held_layers layers, milliseconds lasting)
{
    this->pending[engine.id] = {layers, event_loop::now() + lasting, engine.started};
}

// The report gives the sequence that the order must name, so that a late one of an earlier holder or of this
// daemon is refused by the engine.
void placer::place(const registered_target& engine, held_layers wanted, const engine_profile& profile)
{
    this->assume(engine, wanted, engine_timeout * 2);
    ++this->context.metrics.probes["placement"];
    ask_report(this->context, engine.id, engine.address, engine_timeout,
               [this, engine, wanted, profile](const std::optional<engine_report>& report) {
                   if (!report) {
                       this->assume(engine, engine.layers, pause_after_refusal);
                       return;
                   }
                   if (report->is_busy) {
                       this->assume(engine, wanted, pause_after_refusal);
                       return;
                   }
                   if (!(report->layers == engine.layers)) {
                       // The registration lags behind; the next plan sees what is there.
                       this->assume(engine, report->layers, registration_lag);
                       return;
                   }
                   this->order(engine, wanted, *report, profile);
               });
}

void placer::order(const registered_target& engine, held_layers wanted, const engine_report& report,
                   const engine_profile& profile)
{
    if (!holds_lease(this->lease, event_loop::now())) {
        this->pending.erase(engine.id);
        return;
    }
    const std::int64_t load_ms =
        profile.load_time.count * wanted.size() / std::max<std::int64_t>(1, profile.layers);
    const milliseconds lasting = milliseconds{load_ms * 2} + registration_lag;
    const place_order order{wanted, report.order_sequence, this->lease.known.fencing_number};
    log_event("place_order", {{"target", engine.id.value},
                              {"layers_begin", wanted.begin},
                              {"layers_end", wanted.end},
                              {"held_begin", report.layers.begin},
                              {"held_end", report.layers.end},
                              {"order_sequence", report.order_sequence},
                              {"fencing_number", order.fencing_number}});
    this->assume(engine, wanted, lasting);
    call_engine(this->context, engine.id, engine.address, this->context.dialect.place_call(engine.id, order),
                engine_timeout, [this, engine, lasting, wanted](const http_answer& answer) {
                    const bool accepted = answer.status == status_ok || answer.status == status_accepted;
                    ++this->context.metrics.orders[accepted ? "accepted" : "failed"];
                    if (accepted) {
                        return;
                    }
                    log_event("place_order_failed", {{"target", engine.id.value}, {"status", answer.status}});
                    // Without an answer the order may still be carried out.
                    if (answer.status == 0) {
                        this->assume(engine, wanted, lasting);
                    } else {
                        this->assume(engine, engine.layers, pause_after_refusal);
                    }
                });
}

} // namespace dandelionstep
