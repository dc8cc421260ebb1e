#pragma once

#include "kernel/decision_log.h"
#include "libraries/proxy/one_shot_timer.h"
#include "libraries/proxy/placement/evacuations.h"
#include "libraries/proxy/proxy_metrics.h"
#include "libraries/proxy/store_client.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/store_relay.h"
#include "libraries/proxy/upstream_directory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace wisterialane::proxy {

/// Computes the delay before the next call after consecutive failures. It doubles with each failure up to a maximum.
class retry_backoff {
public:
    explicit retry_backoff(std::chrono::milliseconds maximum_delay) : maximum_delay_{maximum_delay} {}

    [[nodiscard]] std::chrono::milliseconds next_delay(kernel::time_point now);

    /// Whether the delay after the last failure has not passed yet.
    [[nodiscard]] bool is_delaying(kernel::time_point now) const { return now < delay_end_; }

    /// Whether the last call failed.
    [[nodiscard]] bool has_failed() const { return delay_.count() > 0; }

    void reset()
    {
        delay_ = std::chrono::milliseconds{0};
        extended_ = false;
    }

    /// Makes the delay that `next_delay` returned at least this long, because other hosts keep trying. Returns the
    /// delay.
    std::chrono::milliseconds extend(std::chrono::milliseconds least, kernel::time_point now);

    /// Ends an extended delay, because the store answers again. Returns whether there was one.
    bool end_extension()
    {
        if (extended_) {
            delay_end_ = {};
        }
        return std::exchange(extended_, false);
    }

private:
    std::chrono::milliseconds maximum_delay_;
    std::chrono::milliseconds delay_{0};
    kernel::time_point delay_end_{};
    bool extended_ = false;
};

/// Reads new versions of the configuration and changes of the upstreams from the store.
///
/// Each call to the store has a cost. In each data centre one host, the store reader, therefore reads the store and
/// relays the results to the others. A host that has received no relay recently reads the store itself.
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
    struct hooks {
        /// Applies a version that was read, unless that version or a newer one is in force.
        std::function<void(traffic_configuration)> apply;
        /// The version in force; 0 before the first.
        std::function<kernel::version_number()> version;
        /// Whether this host is the store reader of its data centre.
        std::function<bool(kernel::time_point now)> is_store_reader;
        /// Called after each successful read. Sends the relay to the other hosts if this host is the store reader.
        std::function<void(store_relay)> relay;
        kernel::clock_source clock;
        /// Called when the set of evacuated data centres has changed.
        std::function<void()> on_evacuations_changed = [] {};
        /// Called when the store has come back from an older copy; writes this host's own row again.
        std::function<void()> on_new_era = [] {};
        /// The least delay of this host between calls that fail repeatedly; see `outage_retry_delay`.
        std::function<std::chrono::milliseconds(kernel::time_point now)> outage_retry_delay = [](auto) {
            return std::chrono::milliseconds{0};
        };
        /// Called with the document of each newer version that was read and applied, before the relay of the version.
        std::function<void(kernel::version_number, const std::string& document)> relay_document = [](auto,
                                                                                                     const auto&) {};
    };

    store_watch(io_context& context, store_client& store, upstream_directory& upstreams, evacuations& evacuated,
                configuration_freshness& freshness, proxy_metrics& metrics, kernel::decision_log& log, hooks callbacks);

    void start();
    void stop();

    /// Processes a relay of the store reader.
    void on_relay(const store_relay& relay);

    /// Tries at once if this host waits for others to reach the store, but now has to try itself. Called periodically.
    void check_outage(kernel::time_point now);

    /// Applies a configuration that the store reader has read and passed on. It is the newest one that this host knows.
    void on_document(const traffic_configuration& configuration);

    /// Starts to read at once, because this host has become the store reader.
    void begin_reading();

    /// Time that this host still waits for a relay before it reads the store itself; zero if it does not wait.
    [[nodiscard]] kernel::duration remaining_relay_wait(kernel::time_point now) const;

    /// Whether the last call to the store succeeded and is recent, and this host can use what it reads.
    [[nodiscard]] bool reaches_store(kernel::time_point now) const;

    /// Whether the store holds a configuration that this host cannot apply. Until a newer one is in force, no version
    /// is confirmed, and the host cannot be the store reader: another one may be able to apply it.
    [[nodiscard]] bool lacks_newest_version() const { return newest_ == newest_version::not_applicable; }

    /// Whether the upstreams have been read. False again while a full read is required, unless only the era of the
    /// store has changed.
    [[nodiscard]] bool has_upstreams() const { return upstreams_revision_.has_value() || upstreams_kept_; }

    /// The newest era in which the store has responded; 0 before the first response.
    [[nodiscard]] store_era era() const { return era_.value_or(store_era{}); }

private:
    /// What this host has done with the newest version that it has read.
    enum class newest_version { none_published, in_force, not_applicable, older };

    void watch_configuration();
    void on_configuration(const kernel::result<configuration_reading>& reading, bool complete);
    /// What the era of a response means for this host.
    enum class era_check {
        same,
        /// It is newer and has been entered; everything is to be read anew.
        entered,
        /// The response is late and must be dropped.
        older,
    };

    [[nodiscard]] era_check check_era(store_era era);
    void enter_era(store_era era);
    /// Whether the relay is of this host's era. Reads the store if it is of a newer one.
    [[nodiscard]] bool is_of_this_era(const store_relay& relay);
    void apply_reading(const configuration_reading& reading, bool complete);
    void apply_evacuations(const configuration_reading& reading, bool complete);
    /// Returns the delay before the next call after one that failed.
    [[nodiscard]] std::chrono::milliseconds retry_delay(retry_backoff& retry, const kernel::failure& reason,
                                                        kernel::time_point now);
    void end_outage();
    void read_newer_version(kernel::time_point now);
    [[nodiscard]] bool is_newer_version_relayed(kernel::time_point now) const;
    void await_document(const store_relay& relay);
    void end_document_wait();
    [[nodiscard]] bool configuration_call_is_overdue(kernel::time_point now) const;
    void watch_upstreams();
    void on_upstreams(const kernel::result<upstreams_reading>& reading, bool complete);
    void replace_upstreams(const std::vector<upstream_record>& present, kernel::time_point now);
    void restart_configuration_call();
    void restart_upstreams_call();
    void apply_relayed_upstreams(const store_relay& relay, kernel::time_point now);
    void relay_changes(store_revision after, std::vector<upstream_record> present,
                       std::vector<kernel::upstream_name> removed);
    void apply_changes(const std::vector<upstream_record>& present, const std::vector<kernel::upstream_name>& removed,
                       kernel::time_point now);
    void record_success(std::string_view call, const response_metadata& metadata);
    void record_failure(std::string_view call, const kernel::failure& reason);
    void schedule(one_shot_timer& delay_timer, std::chrono::milliseconds delay, void (store_watch::*next)());

    store_client& store_;
    upstream_directory& upstreams_;
    evacuations& evacuations_;
    configuration_freshness& freshness_;
    proxy_metrics& metrics_;
    kernel::decision_log& log_;
    hooks hooks_;
    store_clock store_clock_;
    one_shot_timer configuration_timer_;
    one_shot_timer upstreams_timer_;
    /// Runs while the document of `relayed_version_` is expected from the store reader.
    one_shot_timer document_timer_;
    retry_backoff configuration_retry_;
    retry_backoff upstreams_retry_;
    kernel::time_point configuration_call_sent_at_{};
    kernel::time_point upstreams_call_sent_at_{};
    /// The newest version that a relay has reported.
    kernel::version_number relayed_version_;
    /// When a relay last named a version above the one in force.
    kernel::time_point newer_version_relayed_at_{};
    /// The relayed version for which a pending call was replaced by a new one.
    kernel::version_number replaced_call_for_;
    /// Empty before the first response.
    std::optional<store_era> era_;
    /// The newer era that the last relay reported.
    std::optional<store_era> relayed_era_;
    /// The newest version whose document this host has waited for or still awaits.
    kernel::version_number awaited_document_;
    /// The store time for which the relay of `relayed_version_` confirms it.
    store_time relayed_confirmation_{};
    bool awaiting_document_ = false;
    std::optional<store_revision> configuration_revision_;
    std::optional<store_revision> upstreams_revision_;
    /// Since when each call for the upstreams has been answered; empty while this host relies on relays.
    std::optional<kernel::time_point> upstreams_answered_since_;
    std::optional<kernel::time_point> failing_since_;
    std::optional<kernel::time_point> last_success_at_;
    std::optional<kernel::time_point> relay_received_at_;
    store_time confirmed_at_{};
    newest_version newest_ = newest_version::none_published;
    bool reading_configuration_ = false;
    bool reading_upstreams_ = false;
    /// The next complete list of the upstreams is the first one of a new era.
    bool upstreams_restored_ = false;
    /// The upstreams of the older era are in use until the list of the new one has been read.
    bool upstreams_kept_ = false;
    bool stopped_ = false;
};

} // namespace wisterialane::proxy
