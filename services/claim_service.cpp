#include "services/claim_service.h"

#include <chrono>

namespace wisterialane::services {
namespace {

constexpr std::chrono::seconds release_interval{1};

} // namespace

kernel::result<void> claim_service::start()
{
    task_ = std::make_unique<kernel::periodic_task>([this]() -> kernel::duration {
        store_.retry_releases();
        return release_interval;
    });
    return {};
}

} // namespace wisterialane::services
