#pragma once

#include "kernel/periodic_task.h"
#include "kernel/service.h"
#include "libraries/claims/claim_store.h"
#include "libraries/platform/table.h"

#include <memory>
#include <string_view>

namespace wisterialane::services {

/// Owns the claim store and repeats releases that failed. Thread-safe.
class claim_service : public kernel::service {
public:
    static constexpr std::string_view service_name = "claims";

    /// The table outlives the service.
    explicit claim_service(platform::table& rows) : store_{rows} {}

    [[nodiscard]] std::string_view name() const override { return service_name; }

    kernel::result<void> start() override;

    void stop() override { task_.reset(); }

    [[nodiscard]] claims::claim_store& store() { return store_; }

private:
    claims::claim_store store_;
    std::unique_ptr<kernel::periodic_task> task_;
};

} // namespace wisterialane::services
