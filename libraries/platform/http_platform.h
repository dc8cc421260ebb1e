#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/platform/http_host_list.h"
#include "libraries/platform/http_object_store.h"
#include "libraries/platform/http_table.h"
#include "libraries/platform/platform_client.h"

#include <chrono>
#include <memory>

namespace wisterialane::platform {

struct http_platform_settings {
    kernel::socket_address address;
    /// Longest wait for one answer. A write takes up to this time, a read up to twice as long.
    std::chrono::milliseconds request_timeout{1'000};
    /// Ages idle connections.
    kernel::clock_source clock = kernel::boot_clock::now;
};

/// The platform's services over HTTP (docs/PLATFORM.md). Thread-safe.
/// FIXME: CivetWeb's client bounds a connect by 10 s and an answer that stops inside its body by 30 s, whatever the
/// request timeout.
class http_platform {
public:
    /// Fails with `http_event::invalid_address`. Does not connect yet.
    static kernel::result<std::unique_ptr<http_platform>> create(const http_platform_settings& settings);

    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;
    ~http_platform() = default;

    [[nodiscard]] table& tables() { return tables_; }

    [[nodiscard]] object_store& objects() { return objects_; }

    [[nodiscard]] host_list& hosts() { return hosts_; }

private:
    explicit http_platform(const http_platform_settings& settings);

    platform_client client_;
    http_table tables_{client_};
    http_object_store objects_{client_};
    http_host_list hosts_{client_};
};

} // namespace wisterialane::platform
