#include "entry/registry/known_state.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

// Whether the registrations differ in more than a heartbeat.
bool says_the_same(const registered_target& a, const registered_target& b)
{
    return a.service == b.service && a.address == b.address && a.data_centre == b.data_centre &&
           a.slots == b.slots && a.leaving == b.leaving && a.kind == b.kind && a.layers == b.layers &&
           a.started == b.started;
}

void log_target(const registered_target& target)
{
    log_event("target_changed", {{"target", target.id.value},
                                 {"service", target.service.value},
                                 {"address", to_string(target.address)},
                                 {"data_centre", target.data_centre.value},
                                 {"leaving", target.leaving ? "yes" : "no"},
                                 {"layers_begin", target.layers.begin},
                                 {"layers_end", target.layers.end}});
}

} // namespace

void tell_change(entry_context& context, const target_id& target)
{
    note_change(context.changes, target);
    if (context.on_change) {
        context.on_change();
    }
}

namespace {

// A process that leaves does so to its end, whatever an older registration or another daemon says.
registered_target with_known_leaving(entry_context& context, registered_target target)
{
    if (target.leaving) {
        mark_leaving(context.leaving, target.id, target.started);
    }
    target.leaving = is_marked(context.leaving, target.id, target.started);
    return target;
}

} // namespace

void put_target(entry_context& context, const registered_target& registered)
{
    const registered_target target = with_known_leaving(context, registered);
    const auto known = context.targets.find(target.id);
    if (known != context.targets.end() && says_the_same(known->second, target)) {
        known->second = target;
        return;
    }
    log_target(target);
    if (known != context.targets.end() && known->second.started != target.started) {
        context.conditions.erase(target.id);
        context.channels.forget(target.address);
    }
    if (const std::optional<saved_backoff> rest = take_saved_backoff(context.rests, target)) {
        resume_saved_backoff(context.conditions[target.id], *rest);
    }
    context.targets.insert_or_assign(target.id, target);
    tell_change(context, target.id);
}

void drop_target(entry_context& context, const target_id& id)
{
    const auto known = context.targets.find(id);
    if (known == context.targets.end()) {
        return;
    }
    log_event("target_gone", {{"target", id.value}, {"service", known->second.service.value}});
    context.channels.forget(known->second.address);
    save_backoff(context.rests, known->second, condition_of(context.conditions, id), event_loop::now());
    context.conditions.erase(id);
    if (known->second.started == incarnation{}) {
        // The next registration may be that of another process.
        context.leaving.erase(id);
    }
    context.targets.erase(known);
    tell_change(context, id);
}

bool put_config(entry_context& context, const std::string& text, std::string_view origin)
{
    absl::StatusOr<entry_config> parsed = context.dialect.parse_config(text);
    if (!parsed.ok()) {
        log_event("config_unreadable",
                  {{"from", origin}, {"reason", std::string(parsed.status().message())}});
        return false;
    }
    const revision known = context.config ? context.config->version : revision{-1};
    if (parsed->version <= known) {
        return false;
    }
    parsed->calls_for_load_control = needs_load_control(*parsed);
    log_event("config_applied",
              {{"version", parsed->version.value},
               {"before", known.value},
               {"from", origin},
               {"hosts", static_cast<std::int64_t>(parsed->routes.size())},
               {"keys", static_cast<std::int64_t>(parsed->keys.size())},
               {"calls_for_load_control", parsed->calls_for_load_control ? "yes" : "no"},
               {"idle_timeout_ms", parsed->bounds.idle_timeout},
               {"header_timeout_ms", parsed->bounds.header_timeout},
               {"max_body_bytes", static_cast<std::int64_t>(parsed->bounds.max_body_bytes)}});
    context.config = std::make_shared<const entry_config>(*std::move(parsed));
    context.config_text = text;
    if (context.on_change) {
        context.on_change();
    }
    return true;
}

knowledge_age present_age(const entry_context& context, time_point now)
{
    return {now - context.targets_as_of, now - config_known_at(context, now)};
}

bool is_current(const entry_settings& settings, const knowledge_age& age)
{
    // The rest is left for the way to the follower, and for finding another reader.
    const milliseconds oldest_targets = settings.drain_time * 6 / 10;
    const milliseconds oldest_config = settings.configuration_time / 2;
    return age.targets <= oldest_targets && age.config <= oldest_config;
}

bool can_route(const entry_context& context)
{
    return context.config && context.targets_known;
}

} // namespace dandelionstep
