#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "route/chain_policy.hpp"
#include "target/endpoint.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstep {

//! Where a daemon's certificate, its key and the authority of its peers are; PEM files.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority;
};

//! A daemon's own settings, as its TOML file gives them.
struct settings {
    vm_id vm;
    data_centre_id data_centre;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    endpoint platform;
    milliseconds platform_timeout{1000};
    //! Peer addresses to meet first; any that answers is enough.
    std::vector<endpoint> seeds;
    //! Absent only when the settings say `tls.enabled = false`.
    std::optional<tls_files> tls;
    //! SHA-256 of the operators' bearer token, in hexadecimal.
    std::string operator_token_sha256;
    std::int64_t max_body_bytes = 1024LL * 1024;
    std::int64_t max_connections = 4096;
    std::int64_t max_requests = 2048;
    milliseconds token_gap{400};
    milliseconds first_token_gap{1500};
    std::int64_t max_attempts = 8;
    //! Mean time between tokens up to which more requests are let in at once.
    milliseconds token_target{45};
    chain_policy policy = chain_policy::least_cost;
    //! Longest time that a planned stop waits for requests to finish.
    milliseconds drain_limit{60'000};
    //! How long the balancer is given to see that the daemon is leaving.
    milliseconds balancer_notice{1000};
};

//! Parses and checks the text of a settings file. The error names file, line, key and reason for each fault.
absl::StatusOr<settings> parse_settings(const std::string& toml_text, const std::string& file_name);

//! Every key with its default, as a settings file.
std::string default_settings();

} // namespace dandelionstep
