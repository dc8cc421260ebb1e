#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "kernel/periodic_task.h"
#include "kernel/service.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/configuration/log_store.h"
#include "libraries/configuration/roster.h"
#include "libraries/peers/accepted_version_store.h"
#include "libraries/peers/freshness_tracker.h"
#include "libraries/peers/messages.h"
#include "libraries/platform/host_list.h"
#include "libraries/platform/object_store.h"
#include "libraries/platform/table.h"

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::services {

/// Machines that the host list shows as leaving.
struct leaving_hosts {
    std::vector<kernel::instance_id> instances;
    std::vector<kernel::socket_address> upstreams;
};

struct configuration_service_settings {
    /// This host as it appears in the host list and the roster.
    configuration::roster_entry self;
    /// The host list must differ from the roster for this long before a new roster is appended.
    kernel::duration roster_delay = std::chrono::seconds{3};
    kernel::duration announce_interval = std::chrono::seconds{1};
    /// Shortest time between two polls; large fleets poll more slowly.
    kernel::duration poll_interval = std::chrono::seconds{1};
};

/// Keeps the configuration in force on this host: polls the platform, takes records from peers, decides freshness, and
/// keeps the roster like the host list. Thread-safe.
class configuration_service : public kernel::service, public configuration::configuration_view {
public:
    static constexpr std::string_view service_name = "configuration";

    using leaving_listener = std::function<void(const leaving_hosts&)>;

    /// The platform's parts outlive the service.
    configuration_service(configuration_service_settings settings, platform::table& table,
                          platform::object_store& objects, platform::host_list& hosts,
                          kernel::clock_source clock = kernel::boot_clock::now);
    ~configuration_service() override;

    configuration_service(const configuration_service&) = delete;
    configuration_service& operator=(const configuration_service&) = delete;

    [[nodiscard]] std::string_view name() const override { return service_name; }

    kernel::result<void> start() override;
    void stop() override;

    void read(const std::function<void(const configuration::configuration_set&)>& use) const override;
    [[nodiscard]] configuration::freshness freshness_at(kernel::time_point now) const override;
    [[nodiscard]] kernel::version_number settled_version(kernel::time_point now) const override;
    [[nodiscard]] configuration::version_progress progress_of(kernel::version_number version,
                                                              kernel::time_point now) const override;
    void poll_now() override;
    void add_listener(listener notify) override;

    /// Called after each reading of the host list, on the thread that read it. Set before `start`.
    void set_leaving_listener(leaving_listener notify);

    /// Instances of the roster that are not leaving and were known to run within the last `freshness_bound`, this host
    /// included.
    [[nodiscard]] std::vector<configuration::roster_entry> live_hosts(kernel::time_point now) const;

    [[nodiscard]] configuration::roster current_roster() const;

    [[nodiscard]] const configuration::roster_entry& self() const { return settings_.self; }

    [[nodiscard]] kernel::version_number version() const;

    /// Whether a poll of the platform has succeeded lately.
    [[nodiscard]] bool platform_answers(kernel::time_point now) const;

    /// The state of an instance as far as peers and the host list tell.
    [[nodiscard]] peers::host_state state_of(const kernel::instance_id& instance) const;

    /// Moves this host's state forward; from `draining` on, the host list shows it as leaving.
    void enter_state(peers::host_state state);

    /// Says that this host listens on its peer address (see `freshness_tracker::claim_address`).
    void claim_peer_address();

    /// What a pull is answered, without the evidence.
    [[nodiscard]] peers::pull_response report(kernel::time_point now) const;

    /// The response to a pull that was sent at `sent`.
    peers::hear_outcome hear(const kernel::instance_id& sender, const peers::pull_response& response,
                             kernel::time_point sent, kernel::time_point now);
    void hear_request(const kernel::instance_id& sender, const peers::pull_request& request, kernel::time_point now);

    /// Records after `since`, or a snapshot when they are not kept any more.
    [[nodiscard]] peers::record_response records_since(kernel::version_number since) const;

    /// Applies what a peer sent and returns the version then held. Fails as decoding and applying do.
    kernel::result<kernel::version_number> apply_response(const peers::record_response& response,
                                                          kernel::time_point now);

private:
    struct kept_record {
        kernel::version_number version;
        std::string text;
    };

    enum class poll_outcome { advanced, current };

    kernel::duration poll();
    kernel::result<poll_outcome> poll_once();
    kernel::result<void> read_start();
    void store_accepted();
    kernel::duration poll_pause();
    kernel::duration follow_host_list();
    kernel::duration watch_freshness();
    void announce();
    void report_leaving(const std::vector<platform::listed_host>& listed) const;
    void follow_roster(const std::vector<platform::listed_host>& listed, kernel::time_point now);
    void append_roster(configuration::roster wanted);
    kernel::result<void> apply_record(const configuration::record& next, std::string text, kernel::time_point now);
    void adopt_snapshot(configuration::configuration_set set, kernel::time_point now);
    void keep_record(kernel::version_number version, std::string text);
    void notify_listeners();
    void store_snapshot_if_due();
    /// The caller holds `mutex_`.
    [[nodiscard]] peers::host_state known_state(const kernel::instance_id& instance) const;

    configuration_service_settings settings_;
    configuration::log_store log_;
    peers::accepted_version_store accepted_store_;
    platform::host_list& host_list_;
    kernel::clock_source clock_;
    std::vector<listener> listeners_;
    leaving_listener leaving_listener_;

    /// Held while a version is applied and announced, so that listeners see the versions in order. Taken before the
    /// others; only its holder changes `set_`.
    std::mutex apply_mutex_;
    mutable std::shared_mutex set_mutex_;
    configuration::configuration_set set_;

    /// Guards what follows.
    mutable std::mutex mutex_;
    peers::freshness_tracker tracker_;
    std::deque<kept_record> records_;
    peers::host_state state_ = peers::host_state::serving;
    std::vector<kernel::instance_id> leaving_instances_;
    std::optional<kernel::time_point> last_poll_success_;

    /// Used by one task each.
    configuration::roster compared_roster_;
    std::optional<kernel::time_point> roster_differs_since_;
    std::mt19937_64 poll_random_;
    std::mt19937_64 store_random_;
    bool start_read_ = false;
    kernel::version_number stored_accepted_;
    configuration::freshness logged_freshness_ = configuration::freshness::stale;

    std::unique_ptr<kernel::periodic_task> poll_task_;
    std::unique_ptr<kernel::periodic_task> host_list_task_;
    std::unique_ptr<kernel::periodic_task> watch_task_;
};

} // namespace wisterialane::services
