#include "adapters/peer_node.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/peer_credentials.hpp"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <map>
#include <peer.grpc.pb.h>
#include <thread>

namespace dandelionstep {
namespace {

constexpr int max_message_bytes = 64 * 1024 * 1024;

// A tag of the completion queue; runs on the loop.
class pending_call {
public:
    pending_call() = default;
    virtual ~pending_call() = default;
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;
    pending_call(pending_call&&) = delete;
    pending_call& operator=(pending_call&&) = delete;
    virtual void complete(bool ok) = 0;
};

class outgoing_call final : public pending_call {
public:
    void complete(bool ok) override
    {
        const std::unique_ptr<outgoing_call> self(this);
        this->done(ok && this->status.ok() ? &this->answer : nullptr);
    }

    grpc::ClientContext context;
    wire::ExchangeMessage answer;
    grpc::Status status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::ExchangeMessage>> reader;
    peer_node::done_callback done;
};

class incoming_call final : public pending_call {
public:
    incoming_call(wire::Peer::AsyncService& service, grpc::ServerCompletionQueue& queue,
                  const peer_node::handler& handle)
        : service(service), queue(queue), handle(handle), writer(&this->context)
    {
        service.RequestExchange(&this->context, &this->question, &this->writer, &queue, &queue, this);
    }

    void complete(bool ok) override
    {
        if (!ok || this->answered) {
            delete this;
            return;
        }
        new incoming_call(this->service, this->queue, this->handle);
        this->answered = true;
        this->writer.Finish(this->handle(this->question), grpc::Status::OK, this);
    }

private:
    wire::Peer::AsyncService& service;
    grpc::ServerCompletionQueue& queue;
    const peer_node::handler& handle;
    grpc::ServerContext context;
    wire::ExchangeMessage question;
    grpc::ServerAsyncResponseWriter<wire::ExchangeMessage> writer;
    bool answered = false;
};

} // namespace

struct peer_node::state {
    event_loop& loop;
    handler handle;
    wire::Peer::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
    std::map<endpoint, std::unique_ptr<wire::Peer::Stub>> stubs;
    std::thread waiter;
    peer_credentials credentials;

    state(event_loop& loop_in, const std::optional<tls_files>& tls, handler handle_in)
        : loop(loop_in), handle(std::move(handle_in)), credentials(make_peer_credentials(tls))
    {}

    void wait_for_calls(const std::weak_ptr<state>& watch)
    {
        void* tag = nullptr;
        bool ok = false;
        while (this->queue->Next(&tag, &ok)) {
            auto* call = static_cast<pending_call*>(tag);
            this->loop.post([watch, call, ok] {
                if (!watch.expired()) {
                    call->complete(ok);
                }
            });
        }
    }

    wire::Peer::Stub& stub(const endpoint& to)
    {
        std::unique_ptr<wire::Peer::Stub>& stub = this->stubs[to];
        if (!stub) {
            grpc::ChannelArguments arguments;
            constexpr int max_backoff_ms = 2000;
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_backoff_ms);
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
            arguments.SetMaxReceiveMessageSize(max_message_bytes);
            stub = wire::Peer::NewStub(
                grpc::CreateCustomChannel(to_string(to), this->credentials.client, arguments));
        }
        return *stub;
    }
};

peer_node::peer_node(event_loop& loop, const std::optional<tls_files>& tls, handler handle)
    : self(std::make_shared<state>(loop, tls, std::move(handle)))
{}

peer_node::~peer_node()
{
    if (this->self->server) {
        this->self->server->Shutdown(std::chrono::system_clock::now());
    }
    if (this->self->queue) {
        this->self->queue->Shutdown();
        this->self->waiter.join();
    }
}

absl::Status peer_node::listen(const endpoint& at)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(to_string(at), this->self->credentials.server, &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.RegisterService(&this->self->service);
    this->self->queue = builder.AddCompletionQueue();
    this->self->server = builder.BuildAndStart();
    this->self->waiter = std::thread(
        [raw = this->self.get(), watch = std::weak_ptr(this->self)] { raw->wait_for_calls(watch); });
    if (!this->self->server || port == 0) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", to_string(at)));
    }
    new incoming_call(this->self->service, *this->self->queue, this->self->handle);
    return absl::OkStatus();
}

void peer_node::exchange(const endpoint& to, const wire::ExchangeMessage& message, milliseconds timeout,
                         done_callback done)
{
    auto call = std::make_unique<outgoing_call>();
    call->context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeout.count));
    call->done = std::move(done);
    call->reader = this->self->stub(to).AsyncExchange(&call->context, message, this->self->queue.get());
    outgoing_call* raw = call.release();
    raw->reader->Finish(&raw->answer, &raw->status, raw);
}

void peer_node::forget(const endpoint& peer)
{
    this->self->stubs.erase(peer);
}

} // namespace dandelionstep
