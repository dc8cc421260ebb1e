#include "libraries/peers/peer_client.h"

#include "kernel/event_log.h"
#include "kernel/random_id.h"
#include "libraries/peers/peers_events.h"
#include "libraries/peers/wire_envelope.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <grpcpp/create_channel.h>
#include <peer.grpc.pb.h>

namespace wisterialane::peers {
namespace {

constexpr int keepalive_time_ms = 1000;
constexpr int keepalive_timeout_ms = 2000;

std::shared_ptr<grpc::Channel> make_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    // Otherwise a new channel to the same address would take up the connection of the retired one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(2 * static_cast<int>(maximum_payload_bytes));
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

// Request ids of two runs must differ, or a recorded response of an earlier run could answer a new request.
std::uint64_t random_request_id()
{
    return std::stoull(kernel::random_hex(15), nullptr, 16);
}

peers_event to_event(grpc::StatusCode code)
{
    switch (code) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return peers_event::call_timeout;
    case grpc::StatusCode::INVALID_ARGUMENT:
        return peers_event::request_refused;
    default:
        return peers_event::call_failed;
    }
}

} // namespace

class peer_client::channel_cache {
public:
    explicit channel_cache(std::size_t limit) : limit_{std::max<std::size_t>(limit, 1)} {}

    std::shared_ptr<wire::Peer::Stub> get(const std::string& address)
    {
        const std::lock_guard lock{mutex_};
        auto& found = channels_[address];
        if (!found.stub) {
            found.stub = wire::Peer::NewStub(make_channel(address));
        }
        found.last_use = ++uses_;
        auto stub = found.stub;
        if (channels_.size() > limit_) {
            channels_.erase(std::min_element(channels_.begin(), channels_.end(), [](const auto& a, const auto& b) {
                return a.second.last_use < b.second.last_use;
            }));
        }
        return stub;
    }

    /// Whether the stub was in use; another caller may have retired it before.
    bool retire(const std::string& address, const std::shared_ptr<wire::Peer::Stub>& stub)
    {
        const std::lock_guard lock{mutex_};
        const auto found = channels_.find(address);
        if (found == channels_.end() || found->second.stub != stub) {
            return false;
        }
        channels_.erase(found);
        return true;
    }

    std::size_t size() const
    {
        const std::lock_guard lock{mutex_};
        return channels_.size();
    }

private:
    struct entry {
        std::shared_ptr<wire::Peer::Stub> stub;
        std::uint64_t last_use = 0;
    };

    mutable std::mutex mutex_;
    std::map<std::string, entry> channels_;
    std::size_t limit_;
    std::uint64_t uses_ = 0;
};

peer_client::peer_client(const envelope_codec& codec, traffic_counters& traffic, std::chrono::milliseconds deadline,
                         std::size_t channel_limit)
    : codec_{codec}, traffic_{traffic}, deadline_{deadline},
      next_request_id_{random_request_id()}, channels_{std::make_unique<channel_cache>(channel_limit)}
{}

peer_client::~peer_client() = default;

kernel::result<peer_response> peer_client::call(const kernel::socket_address& address, message_content request)
{
    const auto id = next_request_id_++;
    auto sealed = codec_.seal({id, std::move(request)});
    if (!sealed) {
        return tl::unexpected{sealed.error()};
    }
    const auto outgoing = detail::to_wire(std::move(*sealed));
    wire::Envelope incoming;
    const auto stub = channels_->get(address.value());
    grpc::ClientContext context;
    // A monotonic deadline, because a step of the wall clock must not lengthen a call.
    context.set_deadline(gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                                      gpr_time_from_millis(static_cast<int64_t>(deadline_.count()), GPR_TIMESPAN)));
    traffic_.bytes_sent += outgoing.ByteSizeLong();
    const auto status = stub->Deliver(&context, outgoing, &incoming);
    if (!status.ok()) {
        const auto event = to_event(status.error_code());
        if (event != peers_event::request_refused && channels_->retire(address.value(), stub)) {
            ++traffic_.channels_retired;
        }
        return kernel::fail(event, address.value());
    }
    traffic_.bytes_received += incoming.ByteSizeLong();
    auto opened = codec_.open(detail::from_wire(std::move(incoming)));
    if (!opened) {
        ++traffic_.envelopes_dropped;
        kernel::log_event(kernel::severity::warning, peers_event::envelope_dropped,
                          {{"reason", std::string{opened.error().name()}}, {"peer", address.value()}});
        return tl::unexpected{opened.error()};
    }
    if (opened->body.request_id != id) {
        ++traffic_.envelopes_dropped;
        return kernel::fail(peers_event::request_id_mismatch, address.value());
    }
    return peer_response{std::move(opened->sender), std::move(opened->body.content)};
}

std::size_t peer_client::channel_count() const
{
    return channels_->size();
}

} // namespace wisterialane::peers
