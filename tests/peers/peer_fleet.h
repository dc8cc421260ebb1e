#pragma once

#include "libraries/configuration/log_store.h"
#include "services/configuration_service.h"
#include "services/peer_service.h"
#include "tests/stand_ins/platform/memory_platform.h"
#include "tests/support/loopback.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisterialane::services {

/// Polls the condition until it holds, for at most a generous limit; returns whether it does.
bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds{30});

/// One host's way to the platform, which the test can cut.
class gated_platform : public platform::table, public platform::object_store, public platform::host_list {
public:
    explicit gated_platform(stand_ins::memory_platform& behind) : behind_{behind} {}

    void cut() { cut_ = true; }

    kernel::result<std::optional<platform::row>> read(std::string_view table_name, std::string_view key) override;
    kernel::result<std::vector<platform::row>> scan(std::string_view table_name, std::string_view prefix,
                                                    std::string_view after, std::size_t limit) override;
    kernel::result<platform::row_version> insert(std::string_view table_name, std::string_view key,
                                                 std::string_view value) override;
    kernel::result<platform::row_version> update(std::string_view table_name, std::string_view key,
                                                 std::string_view value,
                                                 const platform::row_version& expected) override;
    kernel::result<void> remove(std::string_view table_name, std::string_view key,
                                const platform::row_version& expected) override;
    kernel::result<std::optional<std::string>> get(std::string_view key) override;
    kernel::result<void> put(std::string_view key, std::string_view bytes) override;
    kernel::result<std::vector<platform::listed_host>> read() override;
    kernel::result<void> announce(const platform::listed_host& self) override;

private:
    stand_ins::memory_platform& behind_;
    std::atomic<bool> cut_{false};
};

/// The two services of one host, with its own way to the platform and the fleet's shared clock.
struct peer_host {
    peer_host(stand_ins::memory_platform& platform, kernel::clock_source clock, configuration::roster_entry self,
              std::vector<kernel::socket_address> seeds);
    ~peer_host();

    peer_host(const peer_host&) = delete;
    peer_host& operator=(const peer_host&) = delete;

    void start();
    void stop();

    configuration::roster_entry entry;
    kernel::clock_source clock;
    gated_platform gate;
    configuration_service configuration;
    peer_service peers;
    bool running = false;

    [[nodiscard]] bool is_fresh() const;
};

inline const peers::fleet_secret test_secret{"the secret of the test's fleet"};

/// Hosts in one process that talk over gRPC on the loopback interface, and a platform in memory.
class peer_fleet {
protected:
    peer_fleet();

    peer_host& add_host(const std::string& name,
                        const kernel::socket_address& address = test_support::free_loopback_address());

    /// Adds hosts and waits until all of them are in the roster, fresh, and know the roster as accepted.
    void start_fleet(std::size_t count);

    [[nodiscard]] bool is_settled(std::size_t count) const;

    /// Appends a record with a new limit; returns its version.
    kernel::version_number publish(const std::string& limit_name);

    [[nodiscard]] bool all(const std::function<bool(const peer_host&)>& condition) const;

    /// Lets all clocks of the fleet pass this time at once.
    void advance_clock(std::chrono::milliseconds time) { *shift_ms_ += time.count(); }

    std::shared_ptr<std::atomic<std::int64_t>> shift_ms_ = std::make_shared<std::atomic<std::int64_t>>(0);
    kernel::clock_source clock_;
    stand_ins::memory_platform platform_;
    std::vector<std::unique_ptr<peer_host>> hosts_;
};

} // namespace wisterialane::services
