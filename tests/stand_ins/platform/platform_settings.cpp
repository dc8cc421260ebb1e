#include "tests/stand_ins/platform/platform_settings.h"

#include "libraries/http/http_events.h"

#include <nlohmann/json.hpp>

namespace wisterialane::stand_ins {
namespace {

using nlohmann::json;

// Bounds the time for which a handler occupies a thread of the server.
constexpr std::uint64_t maximum_milliseconds = 600'000;

tl::unexpected<kernel::failure> malformed(const std::string& field)
{
    return kernel::fail(http::http_event::malformed_request, field);
}

bool set_field(platform_settings& settings, const std::string& name, const json& value)
{
    if (name == "away" && value.is_boolean()) {
        settings.presence = value.get<bool>() ? availability::away : availability::available;
        return true;
    }
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum_milliseconds) {
        return false;
    }
    const auto number = value.get<std::uint64_t>();
    if (name == "lose_write_answers") {
        settings.lose_write_answers = number;
        return true;
    }
    auto* duration = name == "delay_milliseconds"              ? &settings.delay
                     : name == "host_list_lag_milliseconds"    ? &settings.host_list_lag
                     : name == "host_list_expiry_milliseconds" ? &settings.host_list_expiry
                                                               : nullptr;
    if (duration == nullptr) {
        return false;
    }
    *duration = std::chrono::milliseconds{number};
    return true;
}

} // namespace

std::string write_platform_settings(const platform_settings& settings)
{
    return json{{"away", settings.presence == availability::away},
                {"delay_milliseconds", settings.delay.count()},
                {"lose_write_answers", settings.lose_write_answers},
                {"host_list_lag_milliseconds", settings.host_list_lag.count()},
                {"host_list_expiry_milliseconds", settings.host_list_expiry.count()}}
        .dump();
}

kernel::result<platform_settings> merge_platform_settings(platform_settings settings, std::string_view text)
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return malformed("settings");
    }
    for (const auto& [name, value] : document.items()) {
        if (!set_field(settings, name, value)) {
            return malformed(name);
        }
    }
    return settings;
}

} // namespace wisterialane::stand_ins
