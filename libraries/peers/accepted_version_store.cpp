#include "libraries/peers/accepted_version_store.h"

#include "libraries/peers/peers_events.h"
#include "libraries/platform/platform_events.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::peers {
namespace {

constexpr std::string_view table_name = "configuration_state";
constexpr std::string_view row_key = "accepted";

kernel::result<kernel::version_number> parse(const std::optional<platform::row>& row)
{
    if (!row) {
        return kernel::version_number{};
    }
    std::uint64_t number = 0;
    const auto* end = row->value.data() + row->value.size();
    const auto [rest, error] = std::from_chars(row->value.data(), end, number);
    if (error != std::errc{} || rest != end) {
        return kernel::fail(peers_event::malformed_accepted_version, std::string{row_key});
    }
    return kernel::version_number{number};
}

} // namespace

kernel::result<kernel::version_number> accepted_version_store::read()
{
    const auto row = table_.read(table_name, row_key);
    if (!row) {
        return tl::unexpected{row.error()};
    }
    return parse(*row);
}

kernel::result<kernel::version_number> accepted_version_store::raise(kernel::version_number version)
{
    const auto row = table_.read(table_name, row_key);
    if (!row) {
        return tl::unexpected{row.error()};
    }
    auto stored = parse(*row);
    if (!stored || stored->value() >= version.value()) {
        return stored;
    }
    const auto text = std::to_string(version.value());
    const auto written =
        *row ? table_.update(table_name, row_key, text, (*row)->version) : table_.insert(table_name, row_key, text);
    if (!written && written.error().is(platform::platform_event::conflict)) {
        return stored;
    }
    if (!written) {
        return tl::unexpected{written.error()};
    }
    return version;
}

} // namespace wisterialane::peers
