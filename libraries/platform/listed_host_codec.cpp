#include "libraries/platform/listed_host_codec.h"

#include "libraries/platform/platform_events.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace wisterialane::platform {
namespace {

using nlohmann::json;

constexpr auto on_invalid_text = json::error_handler_t::replace;

json to_json(const listed_host& host)
{
    const bool is_entry_host = host.role == listed_role::entry_host;
    json entry{{"role", is_entry_host ? "entry_host" : "upstream"},
               {"state", host.state == listed_state::live ? "live" : "leaving"},
               {"name", host.name.value()},
               {"data_centre", host.data_centre.value()}};
    if (is_entry_host) {
        entry["instance"] = host.instance.value();
        entry["caller_address"] = host.caller_address.value();
        entry["operator_address"] = host.operator_address.value();
        entry["peer_address"] = host.peer_address.value();
    }
    else {
        entry["upstream_address"] = host.upstream_address.value();
    }
    return entry;
}

/// Throws `json::exception` for a missing or mistyped field; nothing for an unknown role or state.
std::optional<listed_host> from_json(const json& entry)
{
    listed_host host;
    const auto role = entry.at("role").get<std::string>();
    const auto state = entry.at("state").get<std::string>();
    if ((role != "entry_host" && role != "upstream") || (state != "live" && state != "leaving")) {
        return std::nullopt;
    }
    host.role = role == "entry_host" ? listed_role::entry_host : listed_role::upstream;
    host.state = state == "live" ? listed_state::live : listed_state::leaving;
    host.name = kernel::host_name{entry.at("name").get<std::string>()};
    host.data_centre = kernel::data_centre_name{entry.at("data_centre").get<std::string>()};
    if (host.role == listed_role::upstream) {
        host.upstream_address = kernel::socket_address{entry.at("upstream_address").get<std::string>()};
        return host;
    }
    host.instance = kernel::instance_id{entry.at("instance").get<std::string>()};
    host.caller_address = kernel::socket_address{entry.at("caller_address").get<std::string>()};
    host.operator_address = kernel::socket_address{entry.at("operator_address").get<std::string>()};
    host.peer_address = kernel::socket_address{entry.at("peer_address").get<std::string>()};
    return host;
}

} // namespace

std::string write_listed_host(const listed_host& host)
{
    return to_json(host).dump(-1, ' ', false, on_invalid_text);
}

std::string write_listed_hosts(const std::vector<listed_host>& hosts)
{
    json list = json::array();
    for (const auto& host : hosts) {
        list.push_back(to_json(host));
    }
    return json{{"hosts", std::move(list)}}.dump(-1, ' ', false, on_invalid_text);
}

kernel::result<listed_host> read_listed_host(std::string_view text)
{
    try {
        if (auto host = from_json(json::parse(text))) {
            return *std::move(host);
        }
    }
    catch (const json::exception&) {
    }
    return kernel::fail(platform_event::unexpected_answer, "host list entry");
}

kernel::result<std::vector<listed_host>> read_listed_hosts(std::string_view text)
{
    std::vector<listed_host> hosts;
    try {
        const auto document = json::parse(text);
        for (const auto& entry : document.at("hosts").get_ref<const json::array_t&>()) {
            auto host = from_json(entry);
            if (!host) {
                return kernel::fail(platform_event::unexpected_answer, "host list entry");
            }
            hosts.push_back(*std::move(host));
        }
    }
    catch (const json::exception&) {
        return kernel::fail(platform_event::unexpected_answer, "host list");
    }
    return hosts;
}

} // namespace wisterialane::platform
