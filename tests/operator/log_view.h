#pragma once

#include "libraries/configuration/configuration_view.h"
#include "libraries/configuration/log_store.h"

#include <atomic>
#include <mutex>
#include <shared_mutex>

namespace wisterialane::services {

/// A view that follows the log when it is polled, with a settable progress of all versions.
class log_view final : public configuration::configuration_view {
public:
    explicit log_view(configuration::log_store& log) : log_{log} {}

    void read(const std::function<void(const configuration::configuration_set&)>& use) const override
    {
        const std::shared_lock lock{mutex_};
        use(set_);
    }

    [[nodiscard]] configuration::freshness freshness_at(kernel::time_point) const override
    {
        return configuration::freshness::fresh;
    }

    [[nodiscard]] kernel::version_number settled_version(kernel::time_point) const override { return {}; }

    [[nodiscard]] configuration::version_progress progress_of(kernel::version_number version,
                                                              kernel::time_point) const override
    {
        return {version, state_, 2, 3, {kernel::host_name{"h3"}}};
    }

    void poll_now() override
    {
        const std::unique_lock lock{mutex_};
        const auto records = log_.read_after(set_.version(), 100);
        for (const auto& item : *records) {
            (void)set_.apply(item);
        }
    }

    void add_listener(listener) override {}

    void set_state(configuration::version_state state) { state_ = state; }

private:
    configuration::log_store& log_;
    mutable std::shared_mutex mutex_;
    configuration::configuration_set set_;
    std::atomic<configuration::version_state> state_{configuration::version_state::accepted};
};

} // namespace wisterialane::services
