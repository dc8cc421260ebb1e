#pragma once

#include "libraries/platform/platform_client.h"
#include "libraries/platform/table.h"

namespace wisterialane::platform {

/// The table service over HTTP with conditional requests (docs/PLATFORM.md). Thread-safe.
class http_table final : public table {
public:
    /// The client must outlive this object.
    explicit http_table(platform_client& client) : client_{client} {}

    kernel::result<std::optional<row>> read(std::string_view table_name, std::string_view key) override;
    kernel::result<std::vector<row>> scan(std::string_view table_name, std::string_view prefix, std::string_view after,
                                          std::size_t limit) override;
    kernel::result<row_version> insert(std::string_view table_name, std::string_view key,
                                       std::string_view value) override;
    kernel::result<row_version> update(std::string_view table_name, std::string_view key, std::string_view value,
                                       const row_version& expected) override;
    kernel::result<void> remove(std::string_view table_name, std::string_view key,
                                const row_version& expected) override;

private:
    kernel::result<row_version> put(std::string_view table_name, std::string_view key, std::string_view value,
                                    const http::header_field& condition);

    platform_client& client_;
};

} // namespace wisterialane::platform
