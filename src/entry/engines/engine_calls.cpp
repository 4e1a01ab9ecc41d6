#include "entry/engines/engine_calls.hpp"

#include "adapters/log.hpp"
#include "entry/registry/target_notices.hpp"

namespace dandelionstep {

void ask_report(entry_context& context, const target_id& id, const endpoint& to, milliseconds timeout,
                std::function<void(const std::optional<engine_report>&)> done)
{
    constexpr int status_ok = 200;
    const auto take = [&context, id, done = std::move(done)](const http_answer& answer) {
        if (answer.status != status_ok) {
            done(std::nullopt);
            return;
        }
        const absl::StatusOr<engine_report> report = context.dialect.parse_report(answer.body);
        if (!report.ok()) {
            log_event("report_unreadable",
                      {{"target", id.value}, {"reason", std::string(report.status().message())}});
            done(std::nullopt);
            return;
        }
        done(*report);
    };
    call_engine(context, id, to, context.dialect.report_call(id), timeout, take);
}

void call_engine(entry_context& context, const target_id& id, const endpoint& to, const outgoing_call& call,
                 milliseconds timeout, http_answer_callback done)
{
    // The engine that answers is the process that is registered now.
    const auto known = context.targets.find(id);
    const incarnation started = known == context.targets.end() ? incarnation{} : known->second.started;
    const auto take = [&context, id, started, done = std::move(done)](const http_answer& answer) {
        const auto condition = context.conditions.find(id);
        if (answer.status != 0 && condition != context.conditions.end()) {
            ++condition->second.calls_answered;
        }
        if (started != incarnation{}) {
            const response_facts facts = context.dialect.read_response(answer.status, answer.headers);
            if (facts.is_leaving) {
                note_leaving(context, {id, started}, "report");
            }
        }
        done(answer);
    };
    send_call(context, to, call, timeout, take);
}

} // namespace dandelionstep
