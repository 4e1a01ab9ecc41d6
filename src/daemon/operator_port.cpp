#include "daemon/operator_port.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"
#include "adapters/random.hpp"
#include "common/hash.hpp"
#include "daemon/answers.hpp"
#include "daemon/configuration_operations.hpp"
#include "daemon/drain_operations.hpp"
#include "daemon/order_operations.hpp"

namespace dandelionstep {
operator_port::operator_port(daemon_context& context, group& peers, report_store& reports,
                             std::function<void(const change_answer&)> on_change)
    : context(context), peers(peers), reports(reports), on_change(std::move(on_change)),
      server(context.loop, [this](const received_request& request, const std::shared_ptr<http_reply>& reply) {
          this->handle(request, reply);
      })
{}

absl::Status operator_port::start()
{
    return this->server.listen(this->context.configured.operators).status();
}

bool operator_port::is_authorised(const received_request& request) const
{
    const std::optional<std::string> hash = bearer_token_hash(request);
    return hash && equal_in_constant_time(*hash, this->context.configured.operator_token_sha256);
}

void operator_port::handle(const received_request& request, const std::shared_ptr<http_reply>& reply)
{
    if (!this->is_authorised(request)) {
        send_refusal(*reply, execution_tracker{}.refuse(error_code::unauthorised,
                                                        "the operators' token is missing or wrong", {}));
    } else if (request.method == "GET" && request.path == "/v1/status") {
        reply->send(200, dump(this->status()));
    } else if (answer_in_flight(this->context, this->peers, request, *reply)) {
        return;
    } else if (request.method == "POST" && request.path == "/v1/configuration/apply") {
        this->apply(request, reply);
    } else if (request.method == "GET" && request.path == "/v1/report/burn") {
        this->report_burn(request, reply);
    } else if (request.method == "POST" && request.path == "/v1/report/write") {
        this->reports.write([reply](bool stored) { reply->send(200, dump({{"stored", stored}})); });
    } else if (!handle_configuration_operation(this->context, request, reply) &&
               !handle_order_operation(this->context, request, reply)) {
        send_refusal(*reply, execution_tracker{}.refuse(
                                 error_code::unknown_route,
                                 absl::StrCat("no operation ", request.method, " ", request.path), {}));
    }
}

void operator_port::apply(const received_request& request, const std::shared_ptr<http_reply>& reply)
{
    const auto change = parse_received_change(request.body, random_id());
    if (!change.ok()) {
        send_refusal(*reply, execution_tracker{}.refuse(error_code::bad_request,
                                                        std::string(change.status().message()), {}));
        return;
    }
    commit_change(
        this->context.platform, *change, this->peers.schema_readers(),
        [this, reply, id = change->change.id](const change_answer& answer) {
            log_event("change_answered", {{"change", id.value},
                                          {"outcome", to_string(answer.result)},
                                          {"revision", answer.number.value}});
            if (answer.result == outcome::completed) {
                this->on_change(answer);
                reply->send(200, dump({{"change_id", id.value}, {"revision", answer.number.value}}));
                return;
            }
            execution_tracker change;
            if (answer.result != outcome::not_run) {
                change.begin_send();
            }
            send_refusal(*reply, change.refuse(answer.code, answer.message, {}));
        });
}

void operator_port::report_burn(const received_request& request, const std::shared_ptr<http_reply>& reply)
{
    std::vector<vm_id> vms;
    for (const auto& [vm, each] : this->peers.members()) {
        vms.push_back(vm);
    }
    this->reports.read_all(vms, [reply, format = request.parameter("format")](const burn_report& report) {
        if (format == "html") {
            reply->send(200, to_html(report), "text/html; charset=utf-8");
        } else if (format == "text") {
            reply->send(200, to_text(report), "text/plain; charset=utf-8");
        } else {
            reply->send(200, dump(to_json(report)));
        }
    });
}

json operator_port::status() const
{
    json members = json::array();
    for (const auto& [vm, each] : this->peers.members()) {
        members.push_back({{"vm", vm.value},
                           {"data_centre", each.data_centre.value},
                           {"incarnation", each.started.value},
                           {"state", to_string(each.state)}});
    }
    json targets = json::array();
    const time_point now = event_loop::now();
    for (const auto& [id, each] : this->context.configuration.declared.targets) {
        const auto found = this->context.health.find(id);
        const target_health health = found == this->context.health.end() ? target_health{} : found->second;
        targets.push_back({{"target", id.value},
                           {"data_centre", each.data_centre.value},
                           {"in_flight", health.in_flight},
                           {"reported_load", health.reported_load},
                           {"leaving", health.leaving},
                           {"draining", this->context.configuration.declared.draining.contains(id)},
                           {"eligible", is_eligible(this->context.health, id, now)}});
    }
    return {{"vm", this->context.configured.vm.value},
            {"data_centre", this->context.configured.data_centre.value},
            {"revision", this->context.configuration.number.value},
            {"ready", this->context.ready()},
            {"stopping", this->context.stopping},
            {"requests_in_flight", this->context.requests_in_flight},
            {"members", members},
            {"group_messages", this->peers.traffic().messages},
            {"group_bytes_sent", this->peers.traffic().sent.value},
            {"group_bytes_received", this->peers.traffic().received.value},
            {"targets", targets}};
}

} // namespace dandelionstep
