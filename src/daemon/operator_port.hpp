#pragma once

#include "adapters/http_server.hpp"
#include "daemon/context.hpp"
#include "daemon/group.hpp"
#include "daemon/report_store.hpp"

namespace dandelionstep {

//! The operators' HTTP port: status and changes of configuration; every call needs the operators' token.
class operator_port {
public:
    operator_port(daemon_context& context, group& peers, report_store& reports,
                  std::function<void()> on_change);

    absl::Status start();

private:
    void handle(const received_request& request, const std::shared_ptr<http_reply>& reply);
    void apply(const received_request& request, const std::shared_ptr<http_reply>& reply);
    void report_burn(const received_request& request, const std::shared_ptr<http_reply>& reply);
    [[nodiscard]] bool is_authorised(const received_request& request) const;
    [[nodiscard]] json status() const;

    daemon_context& context;
    group& peers;
    report_store& reports;
    std::function<void()> on_change;
    http_server server;
};

} // namespace dandelionstep
