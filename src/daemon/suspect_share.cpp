#include "daemon/suspect_share.hpp"

#include "request/suspects.hpp"

#include <peer.pb.h>

namespace dandelionstep {
namespace {

// A report weighs some 150 bytes at most of its takedowns, so a message grows by a few kilobytes at most.
constexpr std::size_t max_reports_in_message = 16;

void add_report(wire::ExchangeMessage& message, const suspect_report& report)
{
    wire::SuspectReport& out = *message.add_suspects();
    out.set_fingerprint(report.fingerprint.value);
    out.set_age_ms(report.age.count);
    out.set_finished(report.finished);
    for (const auto& [takedown, place] : report.takedowns) {
        wire::Takedown& each = *out.add_takedowns();
        each.set_id(takedown.value);
        each.set_given_tokens(place.delivered.value);
        each.set_first_layer(place.layer.value);
    }
}

suspect_report read_report(const wire::SuspectReport& in)
{
    suspect_report report{.fingerprint = request_fingerprint{in.fingerprint()},
                          .takedowns = {},
                          .age = {in.age_ms()},
                          .finished = in.finished()};
    for (const wire::Takedown& each : in.takedowns()) {
        const crash_place place{token_count{each.given_tokens()}, layer_index{each.first_layer()}};
        report.takedowns.emplace_back(crash_id{each.id()}, place);
    }
    return report;
}

void fill(const daemon_context& context, wire::ExchangeMessage& message)
{
    for (const suspect_report& report :
         reports_of(context.suspects, max_reports_in_message, event_loop::now())) {
        add_report(message, report);
    }
}

void take(daemon_context& context, const wire::ExchangeMessage& message)
{
    std::vector<suspect_report> reports;
    for (const wire::SuspectReport& report : message.suspects()) {
        reports.push_back(read_report(report));
    }
    if (reports.empty()) {
        return;
    }
    const time_point now = event_loop::now();
    if (merge(context.suspects, reports, now)) {
        context.on_news();
    }
}

} // namespace

shared_kind share_suspects(daemon_context& context)
{
    return {.fill = [&context](wire::ExchangeMessage& message) { fill(context, message); },
            .take = [&context](const wire::ExchangeMessage& message) { take(context, message); }};
}

} // namespace dandelionstep
