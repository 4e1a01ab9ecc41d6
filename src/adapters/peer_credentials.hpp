#pragma once

#include "vm/settings.hpp"

#include <memory>
#include <optional>

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace dandelionstep {

//! How a daemon proves itself to its peers, and checks them.
struct peer_credentials {
    std::shared_ptr<grpc::ChannelCredentials> client;
    std::shared_ptr<grpc::ServerCredentials> server;
};

//! Mutual TLS with the files, which are read again when they change; plain TCP without them.
peer_credentials make_peer_credentials(const std::optional<tls_files>& tls);

} // namespace dandelionstep
