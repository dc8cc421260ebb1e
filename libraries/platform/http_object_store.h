#pragma once

#include "libraries/platform/object_store.h"
#include "libraries/platform/platform_client.h"

namespace wisterialane::platform {

/// The object store over HTTP with conditional requests (docs/PLATFORM.md). Thread-safe.
class http_object_store final : public object_store {
public:
    /// The client must outlive this object.
    explicit http_object_store(platform_client& client) : client_{client} {}

    kernel::result<std::optional<std::string>> get(std::string_view key) override;
    kernel::result<void> put(std::string_view key, std::string_view bytes) override;

private:
    platform_client& client_;
};

} // namespace wisterialane::platform
