#include "adapters/certificate.hpp"

#include "absl/strings/str_cat.h"

#include <memory>
#include <openssl/err.h>
#include <openssl/ssl.h>

namespace dandelionstep {

absl::Status check_certificate(const tls_files& files)
{
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> scratch(SSL_CTX_new(TLS_server_method()),
                                                                    SSL_CTX_free);
    return load_certificate(scratch.get(), files);
}

absl::Status load_certificate(SSL_CTX* context, const tls_files& files)
{
    ERR_clear_error();
    if (SSL_CTX_use_certificate_chain_file(context, files.certificate.c_str()) != 1) {
        return absl::InvalidArgumentError(
            absl::StrCat("\"", files.certificate, "\" cannot be read as a certificate"));
    }
    if (SSL_CTX_use_PrivateKey_file(context, files.key.c_str(), SSL_FILETYPE_PEM) != 1) {
        return absl::InvalidArgumentError(
            absl::StrCat("\"", files.key, "\" cannot be read as the key of \"", files.certificate, "\""));
    }
    if (SSL_CTX_check_private_key(context) != 1) {
        return absl::InvalidArgumentError(
            absl::StrCat("key \"", files.key, "\" does not fit certificate \"", files.certificate, "\""));
    }
    return absl::OkStatus();
}

} // namespace dandelionstep
