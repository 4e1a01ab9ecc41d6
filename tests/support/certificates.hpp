#pragma once

#include "support/child_process.hpp"
#include "vm/settings.hpp"

#include <string>

namespace dandelionstep::testing {

//! Makes an authority and a certificate that it signed; the files' names begin with `name`.
tls_files make_certificate(const scratch_folder& folder, const std::string& name);

//! Overwrites the certificate and key at the same paths by new ones of a new authority; returns the new
//! authority.
std::string replace_certificate(const scratch_folder& folder, const tls_files& files);

//! Sends an HTTP GET over TLS and returns the answer; empty when the handshake or the call failed.
std::string get_over_tls(std::uint16_t port, const std::string& path, const std::string& authority);

} // namespace dandelionstep::testing
