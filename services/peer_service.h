#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "kernel/periodic_task.h"
#include "kernel/service.h"
#include "libraries/configuration/roster.h"
#include "libraries/health/evidence_report.h"
#include "libraries/limits/loan.h"
#include "libraries/peers/envelope_codec.h"
#include "libraries/peers/messages.h"
#include "libraries/peers/peer_client.h"
#include "libraries/peers/peer_server.h"
#include "libraries/peers/traffic_counters.h"
#include "services/configuration_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::services {

struct peer_service_settings {
    kernel::socket_address listen_address;
    peers::fleet_secret secret;
    /// Peer addresses that are asked while the roster is empty or no peer answers.
    std::vector<kernel::socket_address> seeds;
    kernel::duration pull_interval = std::chrono::milliseconds{250};
};

struct peer_traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t envelopes_dropped = 0;
    std::uint64_t channels_retired = 0;
    std::uint64_t pulls_answered = 0;
    std::uint64_t pulls_failed = 0;
};

/// Exchanges messages with the other hosts. Thread-safe.
class peer_service : public kernel::service {
public:
    static constexpr std::string_view service_name = "peers";

    using evidence_source = std::function<health::evidence_report()>;
    using evidence_sink = std::function<void(const health::evidence_report&, kernel::time_point now)>;
    using loan_handler = std::function<std::vector<limits::loan>(const kernel::instance_id& borrower,
                                                                 const std::vector<limits::loan_request>&)>;

    /// The configuration service outlives this service and is started before it.
    peer_service(peer_service_settings settings, configuration_service& configuration,
                 kernel::clock_source clock = kernel::boot_clock::now);
    ~peer_service() override;

    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;

    [[nodiscard]] std::string_view name() const override { return service_name; }

    /// Fails with `listen_failed`.
    kernel::result<void> start() override;

    /// Tells some peers that this instance has stopped for good; services that act on the configuration have stopped.
    void stop() override;

    /// Hooks are set before `start` and called on threads of this service, several at once.
    void set_evidence_source(evidence_source source) { evidence_source_ = std::move(source); }

    void set_evidence_sink(evidence_sink sink) { evidence_sink_ = std::move(sink); }

    void set_loan_handler(loan_handler handle) { loan_handler_ = std::move(handle); }

    /// Asks a home host for loans and blocks for at most the call's deadline.
    kernel::result<std::vector<limits::loan>> request_loans(const configuration::roster_entry& lender,
                                                            std::vector<limits::loan_request> requests);

    /// From now on peers and the host list see this host as leaving.
    void begin_draining();

    /// Whether the instance has said, here or to a peer, that it is draining or has stopped.
    [[nodiscard]] bool is_draining(const kernel::instance_id& instance) const;

    [[nodiscard]] peer_traffic traffic() const;

private:
    struct failing_peer {
        kernel::time_point avoid_until;
        kernel::duration pause{};
    };

    kernel::duration pull();
    [[nodiscard]] std::optional<kernel::socket_address> choose_peer(kernel::time_point now);
    [[nodiscard]] bool is_avoided(const kernel::socket_address& address, kernel::time_point now) const;
    void pull_from(const kernel::socket_address& address);
    void note_failure(const kernel::socket_address& address, const kernel::failure& reason);
    void take_response(const kernel::socket_address& address, const peers::peer_response& response,
                       kernel::time_point sent);
    void fetch_records(const kernel::socket_address& address, kernel::version_number wanted);
    kernel::result<peers::message_content> answer(const kernel::instance_id& sender,
                                                  const peers::message_content& request);
    peers::message_content answer_pull(const kernel::instance_id& sender, const peers::pull_request& request);
    [[nodiscard]] peers::pull_request make_pull_request() const;
    [[nodiscard]] health::evidence_report collect_evidence() const;
    void pass_evidence(const kernel::instance_id& sender, const health::evidence_report& report) const;
    void announce_departure();

    peer_service_settings settings_;
    configuration_service& configuration_;
    kernel::clock_source clock_;
    evidence_source evidence_source_;
    evidence_sink evidence_sink_;
    loan_handler loan_handler_;

    peers::traffic_counters counters_;
    std::atomic<std::uint64_t> pulls_answered_{0};
    std::atomic<std::uint64_t> pulls_failed_{0};
    peers::envelope_codec codec_;
    peers::peer_client client_;

    /// Used by the pull task only.
    std::mt19937_64 random_;
    std::map<std::string, failing_peer> failing_peers_;
    std::optional<kernel::time_point> last_answer_;

    std::unique_ptr<peers::peer_server> server_;
    std::unique_ptr<kernel::periodic_task> pull_task_;
};

} // namespace wisterialane::services
