#include "libraries/configuration/validation.h"

#include "libraries/configuration/digest.h"
#include "libraries/http/socket_address.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

namespace wisterialane::configuration {
namespace {

constexpr std::size_t maximum_name_bytes = 63;
constexpr std::size_t maximum_class_bytes = 63;
constexpr double maximum_rate_per_second = 1e9;
constexpr double maximum_burst = 1e9;
constexpr unsigned maximum_slots = 100'000;
constexpr unsigned maximum_connections = 1'000'000;
constexpr std::chrono::milliseconds maximum_timeout = std::chrono::hours{1};
constexpr std::uint64_t maximum_body = std::uint64_t{1} << 40U;
constexpr std::string_view reserved_prefix = "/.wisterialane";

bool is_name_character(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

bool is_printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; });
}

bool is_path_prefix(std::string_view text)
{
    return text.starts_with('/') && text.size() <= maximum_path_prefix_bytes && is_printable(text) &&
           text.find_first_of("?#") == std::string_view::npos && !text.starts_with(reserved_prefix);
}

class validator {
public:
    validator(object_reference subject, std::vector<fault>& faults) : subject_{std::move(subject)}, faults_{faults} {}

    void operator()(const limit& item)
    {
        require(item.rate_per_second > 0 && item.rate_per_second <= maximum_rate_per_second, "rate_per_second",
                std::to_string(item.rate_per_second));
        require(item.burst >= 1 && item.burst <= maximum_burst, "burst", std::to_string(item.burst));
    }

    void operator()(const customer& item)
    {
        require_name("limit", item.limit.value());
        require(item.metrics_class.size() <= maximum_class_bytes && is_printable(item.metrics_class), "class",
                item.metrics_class);
    }

    void operator()(const key& item)
    {
        require_name("customer", item.customer.value());
        // The offending text is not repeated, because it could be the secret itself.
        require(is_sha256_hex(item.digest), "digest", "64 lower-case hex digits expected");
    }

    void operator()(const service& item)
    {
        require(item.floor_percent >= 1 && item.floor_percent <= 100, "floor_percent",
                std::to_string(item.floor_percent));
    }

    void operator()(const upstream& item)
    {
        require_name("service", item.service.value());
        require_name("data_centre", item.data_centre.value());
        const auto address = http::parse_socket_address(item.address);
        require(address && address->port != 0, "address", item.address.value());
        require(item.slots >= 1 && item.slots <= maximum_slots, "slots", std::to_string(item.slots));
        require(item.connections >= 1 && item.connections <= maximum_connections, "connections",
                std::to_string(item.connections));
    }

    void operator()(const route& item)
    {
        require_name("service", item.service.value());
        require(is_path_prefix(item.path_prefix), "path_prefix", item.path_prefix);
        require(item.timeout >= std::chrono::milliseconds{1} && item.timeout <= maximum_timeout, "timeout_ms",
                std::to_string(item.timeout.count()));
        require(item.maximum_body_bytes <= maximum_body, "maximum_body_bytes", std::to_string(item.maximum_body_bytes));
    }

    void require_name(const char* field, const std::string& text)
    {
        if (!is_name(text)) {
            faults_.push_back({subject_, field, configuration_event::invalid_name, text.substr(0, maximum_name_bytes)});
        }
    }

private:
    void require(bool valid, const char* field, const std::string& detail)
    {
        if (!valid) {
            faults_.push_back({subject_, field, configuration_event::value_out_of_range,
                               detail.substr(0, maximum_path_prefix_bytes)});
        }
    }

    object_reference subject_;
    std::vector<fault>& faults_;
};

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= maximum_name_bytes && text.front() != '-' &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

void validate(const object& item, std::vector<fault>& faults)
{
    validator check{reference_to(item), faults};
    check.require_name("name", name_of(item));
    std::visit(check, item);
}

} // namespace wisterialane::configuration
