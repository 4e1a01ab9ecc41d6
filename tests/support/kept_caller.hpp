#pragma once

#include "adapters/http_client.hpp"
#include "support/entry_cluster.hpp"

namespace dandelionstep::testing {

//! A caller that keeps its connections from one request to the next, until the other side ends them.
class kept_caller {
public:
    //! Sends the request and waits for its answer.
    caller_answer ask(const endpoint& to, http_request request);

private:
    event_loop loop;
    http_client client{this->loop};
};

} // namespace dandelionstep::testing
