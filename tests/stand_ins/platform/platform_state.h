#pragma once

#include "kernel/clock.h"
#include "libraries/platform/host_list.h"
#include "libraries/platform/table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisterialane::stand_ins {

/// What the platform stores: rows, objects and the list of hosts. Not thread-safe.
class platform_state {
public:
    [[nodiscard]] std::optional<platform::row> read_row(std::string_view table_name, std::string_view key) const;
    [[nodiscard]] std::vector<platform::row> scan_rows(std::string_view table_name, std::string_view prefix,
                                                       std::string_view after, std::size_t limit) const;

    /// The writes fail with `platform_event::conflict` as `platform::table` and `platform::object_store` say.
    kernel::result<platform::row_version> insert_row(std::string_view table_name, std::string_view key,
                                                     std::string_view value);
    kernel::result<platform::row_version> update_row(std::string_view table_name, std::string_view key,
                                                     std::string_view value, const platform::row_version& expected);
    kernel::result<void> remove_row(std::string_view table_name, std::string_view key,
                                    const platform::row_version& expected);

    [[nodiscard]] std::optional<std::string> get_object(std::string_view key) const;
    kernel::result<void> put_object(std::string_view key, std::string_view bytes);

    /// The list as it was `host_list_lag` before `now`.
    [[nodiscard]] std::vector<platform::listed_host> read_hosts(kernel::time_point now) const;

    /// Adds or renews an entry host, which stays for `host_list_expiry`.
    void announce_host(const platform::listed_host& host, kernel::time_point now);

    /// Adds or replaces an upstream, which stays until it is removed.
    void put_upstream(const platform::listed_host& upstream, kernel::time_point now);
    void remove_upstream(const kernel::host_name& name, kernel::time_point now);

    void set_host_list_lag(kernel::duration lag) { host_list_lag_ = lag; }

    void set_host_list_expiry(kernel::duration expiry) { host_list_expiry_ = expiry; }

    [[nodiscard]] kernel::duration host_list_lag() const { return host_list_lag_; }

    [[nodiscard]] kernel::duration host_list_expiry() const { return host_list_expiry_; }

private:
    using row_key = std::pair<std::string, std::string>;

    struct stored_row {
        std::string value;
        platform::row_version version;
    };

    /// The content of one line of the list from a time on; no entry after a removal.
    struct listing_change {
        kernel::time_point since;
        std::optional<platform::listed_host> entry;
    };

    platform::row_version next_version();
    void record_listing(const std::string& key, std::optional<platform::listed_host> entry, kernel::time_point now);
    [[nodiscard]] bool is_expired(const listing_change& change, kernel::time_point at) const;

    // A version is never used twice, so that a row deleted and inserted again does not match its old version.
    std::uint64_t last_version_ = 0;
    std::map<row_key, stored_row> rows_;
    std::map<std::string, std::string, std::less<>> objects_;
    kernel::duration host_list_lag_{0};
    kernel::duration host_list_expiry_ = std::chrono::seconds{3};
    std::map<std::string, std::vector<listing_change>> listings_;
};

} // namespace wisterialane::stand_ins
