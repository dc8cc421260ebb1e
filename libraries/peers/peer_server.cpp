#include "libraries/peers/peer_server.h"

#include "kernel/event_log.h"
#include "libraries/peers/peers_events.h"
#include "libraries/peers/wire_envelope.h"

#include <chrono>
#include <string>
#include <utility>

#include <grpcpp/server_builder.h>
#include <peer.grpc.pb.h>

namespace wisterialane::peers {
namespace {

// Room for the fields around the payload. A payload that is too large but within this bound is counted by the codec;
// gRPC itself refuses what is larger, before it is in memory.
constexpr int maximum_message_bytes = 2 * static_cast<int>(maximum_payload_bytes);

constexpr std::chrono::milliseconds shutdown_grace{500};

void configure(grpc::ServerBuilder& builder)
{
    // Two processes must never share the address: the freshness tracker takes the other instances with the address of
    // a listening one as stopped.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 500);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, 1000);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2000);
    builder.SetMaxReceiveMessageSize(maximum_message_bytes);
    builder.SetMaxSendMessageSize(maximum_message_bytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
}

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

class peer_server::implementation : public wire::Peer::Service {
public:
    implementation(const envelope_codec& codec, handler answer, traffic_counters& traffic)
        : codec_{codec}, answer_{std::move(answer)}, traffic_{traffic}
    {}

    ~implementation() override
    {
        if (server_) {
            server_->Shutdown(std::chrono::system_clock::now() + shutdown_grace);
            server_->Wait();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    /// The port in use, or 0.
    int listen(const std::string& address)
    {
        int port = 0;
        grpc::ServerBuilder builder;
        configure(builder);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
        return server_ ? port : 0;
    }

    grpc::Status Deliver(grpc::ServerContext* context, const wire::Envelope* request, wire::Envelope* response) override
    {
        traffic_.bytes_received += request->ByteSizeLong();
        const auto opened = codec_.open(detail::from_wire(*request));
        if (!opened) {
            return drop(opened.error(), context->peer());
        }
        auto content = answer_(opened->sender, opened->body.content);
        if (!content) {
            return drop(content.error(), context->peer());
        }
        auto sealed = codec_.seal({opened->body.request_id, std::move(*content)});
        if (!sealed) {
            return drop(sealed.error(), context->peer());
        }
        *response = detail::to_wire(std::move(*sealed));
        traffic_.bytes_sent += response->ByteSizeLong();
        return grpc::Status::OK;
    }

private:
    grpc::Status drop(const kernel::failure& reason, const std::string& peer)
    {
        ++traffic_.envelopes_dropped;
        kernel::log_event(kernel::severity::warning, peers_event::envelope_dropped,
                          {{"reason", std::string{reason.name()}}, {"subject", reason.subject()}, {"peer", peer}});
        return {grpc::StatusCode::INVALID_ARGUMENT, std::string{reason.name()}};
    }

    const envelope_codec& codec_;
    handler answer_;
    traffic_counters& traffic_;
    std::unique_ptr<grpc::Server> server_;
};

kernel::result<std::unique_ptr<peer_server>> peer_server::start(const kernel::socket_address& address,
                                                                const envelope_codec& codec, handler answer,
                                                                traffic_counters& traffic)
{
    auto listener = std::make_unique<implementation>(codec, std::move(answer), traffic);
    const int port = listener->listen(address.value());
    if (port == 0) {
        return kernel::fail(peers_event::listen_failed, address.value());
    }
    kernel::socket_address in_use{host_of(address.value()) + ":" + std::to_string(port)};
    return std::unique_ptr<peer_server>{new peer_server{std::move(listener), std::move(in_use)}};
}

peer_server::peer_server(std::unique_ptr<implementation> listener, kernel::socket_address address)
    : implementation_{std::move(listener)}, address_{std::move(address)}
{}

peer_server::~peer_server() = default;

} // namespace wisterialane::peers
