#pragma once

#include "absl/status/status.h"
#include "target/endpoint.hpp"

namespace dandelionstep::standins {

struct row_store_options {
    endpoint listen;
    //! Loopback addresses, from 127.0.0.1 on, at which it listens on the same port.
    int addresses = 1;
    //! Whether its answers tell its era.
    bool tells_era = true;
};

//! Runs a stand-in for the users' store until SIGTERM: rows with versions from one counter, transactions with
//! conditions, a feed of changes. Writes to the tables `op` and `servers` need the header `Writer`.
//!
//! Fault switches: `busy` (503), `busy_at` (503 to whoever calls one of these addresses, a list),
//! `lists_busy` (503 to whoever reads all replicas or the configuration), `reset`, `silent` (no answer),
//! `lose_answers` (writes are done, not answered), `late_ms` (writes are done so much later, not answered),
//! `delay_ms`, `forget` (the history is dropped, once), `restore_ms` (the store comes back from a copy so
//! old, once: later versions are given out again, reads from one that it does not have get 410, and the era
//! rises by one).
absl::Status run_row_store(const row_store_options& options);

} // namespace dandelionstep::standins
