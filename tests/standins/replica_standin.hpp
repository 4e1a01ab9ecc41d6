#pragma once

#include "absl/status/status.h"
#include "target/endpoint.hpp"

#include <string>

namespace dandelionstep::standins {

//! A replica on the users' platform; an engine when it has an accelerator kind.
struct replica_options {
    endpoint listen;
    endpoint store;
    //! Where others reach it; its own address unless a proxy stands before it.
    endpoint registered;
    std::string id = "i-1";
    std::string service = "service";
    std::string data_centre = "n";
    std::string kind;
    std::int64_t layers = 8;
    std::int64_t slots = 16;
    std::int64_t heartbeat_ms = 200;
    std::int64_t event_ms = 20;
    std::int64_t stall_ms = 3000;
    std::int64_t load_ms = 50;
    //! A request whose body or path holds this text ends the process as soon as it begins to run, one whose
    //! prompt has a segment with it as soon as its answer would begin; none when empty.
    std::string crashes_on;
    //! Whether it ends the later engines of its path instead of the first one.
    bool crashes_later_engines = false;
    //! Whether streams have neither a length nor chunks.
    bool streams_end_with_connection = false;
};

//! The data of event `index` of the stream that answers the body; the same on every replica.
std::string event_data(const std::string& body, std::int64_t index);
//! Number of events of the stream that answers the body.
std::int64_t event_count(const std::string& body);

//! Runs a stand-in for a replica until SIGTERM: it registers itself in the store, answers calls with the echo
//! of their body, answers streams along a path of engines, takes orders and reports. Layers that an order
//! makes it give up wait for the streams that pass through them before new ones are loaded.
//!
//! `GET /ledger` tells what it ran: for each attempt how often, with which organisation, path and body; and
//! when requests arrived. Fault switches: `draining`, `says_leaving` (in each answer, but not in its
//! registration), `rests` (count of refusals that ask for a rest of `rest_s` seconds, a text), `refuse`
//! (count), `hang` (count), `drop_answers` (count), `delay_ms`, `unsigned` (count), `refuse_paths` (count: a
//! new path is refused for the sake of its second engine), `endless` (count: the body of the answer, or the
//! first event of the stream, goes on until the connection is closed), `holds_events` (streams wait, as
//! behind other requests), `event_ms` (another pace of the streams that enter here).
absl::Status run_replica(const replica_options& options);

} // namespace dandelionstep::standins
