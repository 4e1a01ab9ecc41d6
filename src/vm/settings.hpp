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

//! Paths of PEM files: a daemon's certificate, its private key, and the certificate authority of its peers.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority;
};

//! A daemon's settings, as read from its TOML file.
struct settings {
    vm_id vm;
    data_centre_id data_centre;
    //! Address of the port for callers.
    endpoint callers;
    //! Address of the port for operators.
    endpoint operators;
    //! Address of the port for other daemons.
    endpoint peers;
    //! Address of the platform's API.
    endpoint platform;
    milliseconds platform_timeout{1000};
    //! Peer addresses through which the daemon joins the group; one that answers is enough.
    std::vector<endpoint> seeds;
    //! Unset only if the file says `tls.enabled = false`.
    std::optional<tls_files> tls;
    //! SHA-256 of the operators' bearer token, in hexadecimal.
    std::string operator_token_sha256;
    std::int64_t max_body_bytes = 1024LL * 1024;
    std::int64_t max_connections = 4096;
    std::int64_t max_requests = 2048;
    //! Longest time without progress before an attempt fails, once it has answered.
    milliseconds token_gap{400};
    //! The same for an attempt that has not answered yet.
    milliseconds first_token_gap{1500};
    std::int64_t max_attempts = 8;
    //! Mean time between tokens up to which further requests are admitted at once.
    milliseconds token_target{45};
    chain_policy policy = chain_policy::least_cost;
    //! Longest time that a planned stop waits for requests to finish.
    milliseconds drain_limit{60'000};
    //! How long the load balancer has to notice that the daemon is leaving.
    milliseconds balancer_notice{1000};
};

//! Parses and checks the text of a settings file. The status names file, line, key and reason of each error.
absl::StatusOr<settings> parse_settings(const std::string& toml_text, const std::string& file_name);

//! The text of a settings file that lists every key with its default.
std::string default_settings();

} // namespace dandelionstep
