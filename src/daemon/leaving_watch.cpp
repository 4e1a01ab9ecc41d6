#include "daemon/leaving_watch.hpp"

#include "adapters/log.hpp"

#include <peer.pb.h>

namespace dandelionstep {
namespace {

constexpr int unavailable_status = 503;

// Marks of targets that are gone from the declarations, or came back as a newer incarnation, need no telling.
bool matters(const daemon_context& context, const target_id& target, incarnation leaving)
{
    if (!context.configuration.declared.targets.contains(target)) {
        return false;
    }
    const auto found = context.health.find(target);
    return found == context.health.end() || leaving >= found->second.started;
}

void fill(const daemon_context& context, wire::ExchangeMessage& message)
{
    for (const auto& [target, leaving] : context.leaving) {
        if (matters(context, target, leaving)) {
            wire::LeavingMark& mark = *message.add_leaving();
            mark.set_target(target.value);
            mark.set_incarnation(leaving.value);
        }
    }
}

void take(daemon_context& context, const wire::ExchangeMessage& message)
{
    for (const wire::LeavingMark& mark : message.leaving()) {
        note_leaving(context, target_id(mark.target()), incarnation{mark.incarnation()},
                     leaving_source::peer);
    }
}

} // namespace

void note_leaving(daemon_context& context, const target_id& target, incarnation leaving,
                  leaving_source source)
{
    if (!mark_leaving(context.leaving, target, leaving)) {
        return;
    }
    target_health& state = context.health[target];
    state.leaving = is_marked(context.leaving, target, state.started);
    log_event("target_leaving", {{"target", target.value},
                                 {"incarnation", leaving.value},
                                 {"source", to_string(source)},
                                 {"in_flight", state.in_flight}});
    context.on_news();
}

void note_refusal(daemon_context& context, const target_id& target, std::string_view body)
{
    const auto said = parse_json(body);
    if (!said.ok() || !said->is_object() || !boolean_or(*said, "leaving", false)) {
        return;
    }
    const incarnation known = context.health[target].started;
    note_leaving(context, target, incarnation{integer_or(*said, "incarnation", known.value)},
                 leaving_source::refusal);
}

void note_answer(daemon_context& context, const target_id& target, const http_result& answer)
{
    if (answer.answered() && answer.status == unavailable_status) {
        note_refusal(context, target, answer.body);
    }
}

shared_kind share_leaving_marks(daemon_context& context)
{
    return {.fill = [&context](wire::ExchangeMessage& message) { fill(context, message); },
            .take = [&context](const wire::ExchangeMessage& message) { take(context, message); }};
}

} // namespace dandelionstep
