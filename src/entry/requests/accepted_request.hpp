#pragma once

#include "adapters/caller_port.hpp"
#include "entry/context/entry_context.hpp"
#include "request/prompt_segments.hpp"
#include "request/suspects.hpp"

#include <memory>
#include <optional>
#include <string_view>

namespace dandelionstep {

//! A caller's request with the route and the organisation that it belongs to.
struct accepted_request {
    std::shared_ptr<caller_exchange> caller;
    request_facts facts;
    //! Keeps `route` alive.
    std::shared_ptr<const entry_config> config;
    const entry_route* route = nullptr;
    service_id service;
    std::optional<organisation_id> organisation;
    int priority = 5;
    //! The same for each copy of the request that its caller sends, at whatever daemon.
    request_fingerprint fingerprint;
    //! The segments of its prompt that other requests may share.
    segment_list segments;
    //! When its caller or its route give it up.
    time_point deadline;
};

//! Answers with a failure of the router's own and records it. `retry_after` of zero sends no such header.
void refuse(entry_context& context, const accepted_request& request, int status, std::string_view reason,
            milliseconds retry_after);

//! A time as it stands in Retry-After, in seconds.
std::string seconds_text(milliseconds span);

//! Records what became of a request in the metrics and, within bounds, in the log.
void record_request(entry_context& context, const accepted_request& request, int status,
                    std::string_view result, const target_id& target);

//! Whether the request may be sent once more after `sent_count` attempts; if so, the send is taken from the
//! retry budget and counted under the reason.
bool take_another_send(entry_context& context, const accepted_request& request, int sent_count,
                       const char* reason);

//! Whether its caller still waits and has time for an answer that takes `answer_margin`; asked right before
//! each send, as timers and ends of connections are noticed late after a standstill.
bool is_wanted(const accepted_request& request, milliseconds answer_margin);

//! Whether it may run more than once.
bool is_repeatable(const accepted_request& request);

//! The kind's name in metrics and logs.
std::string_view name_of(route_kind kind);

} // namespace dandelionstep
