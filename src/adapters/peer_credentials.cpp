#include "adapters/peer_credentials.hpp"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace dandelionstep {
namespace {

constexpr unsigned key_check_interval_s = 10;

template <class Options>
void watch_files(Options& options)
{
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    // Peers are met by IP number, so the authority alone vouches for them, not a host name.
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<grpc::experimental::NoOpCertificateVerifier>());
}

} // namespace

peer_credentials make_peer_credentials(const std::optional<tls_files>& tls)
{
    if (!tls) {
        return {grpc::InsecureChannelCredentials(), grpc::InsecureServerCredentials()};
    }
    const auto provider = std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
        tls->key, tls->certificate, tls->authority, key_check_interval_s);

    grpc::experimental::TlsChannelCredentialsOptions client;
    client.set_certificate_provider(provider);
    watch_files(client);

    grpc::experimental::TlsServerCredentialsOptions server(provider);
    watch_files(server);
    server.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return {grpc::experimental::TlsCredentials(client), grpc::experimental::TlsServerCredentials(server)};
}

} // namespace dandelionstep
