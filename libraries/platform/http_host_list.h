#pragma once

#include "libraries/platform/host_list.h"
#include "libraries/platform/platform_client.h"

namespace wisterialane::platform {

/// The host list over HTTP (docs/PLATFORM.md). Thread-safe.
class http_host_list final : public host_list {
public:
    /// The client must outlive this object.
    explicit http_host_list(platform_client& client) : client_{client} {}

    kernel::result<std::vector<listed_host>> read() override;
    kernel::result<void> announce(const listed_host& self) override;

private:
    platform_client& client_;
};

} // namespace wisterialane::platform
