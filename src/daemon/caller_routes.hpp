#pragma once

#include "adapters/caller_server.hpp"
#include "daemon/admission_gate.hpp"
#include "daemon/context.hpp"
#include "daemon/lookup_runner.hpp"
#include "daemon/order_runner.hpp"

#include <memory>

namespace dandelionstep {

//! Directs each caller's request by its path, after checking who sends it.
class caller_routes {
public:
    caller_routes(daemon_context& context, admission_gate& generations, lookup_runner& lookups,
                  order_runner& orders)
        : context(context), generations(generations), lookups(lookups), orders(orders)
    {}

    void handle(const received_request& request, const std::shared_ptr<caller_reply>& reply);

private:
    void handle_completion(const received_request& request, const organisation_id& organisation,
                           const std::shared_ptr<caller_reply>& reply);
    void handle_service(const received_request& request, const organisation_id& organisation,
                        const std::shared_ptr<caller_reply>& reply);
    [[nodiscard]] const organisation* find_organisation(const received_request& request) const;

    daemon_context& context;
    admission_gate& generations;
    lookup_runner& lookups;
    order_runner& orders;
};

} // namespace dandelionstep
