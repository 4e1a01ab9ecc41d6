#pragma once

#include "absl/status/status.h"
#include "vm/settings.hpp"

typedef struct ssl_ctx_st SSL_CTX;

namespace dandelionstep {

//! Whether the files hold a certificate and the key that fits it. InvalidArgument: names the file.
absl::Status check_certificate(const tls_files& files);

//! Puts the certificate and its key into the context. InvalidArgument: names the file.
absl::Status load_certificate(SSL_CTX* context, const tls_files& files);

} // namespace dandelionstep
