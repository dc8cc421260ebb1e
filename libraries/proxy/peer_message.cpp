#include "libraries/proxy/peer_message.h"

#include "libraries/proxy/proxy_events.h"

#include <nlohmann/json.hpp>

namespace wisterialane::proxy {
namespace {

/// Messages of another format version are not read.
constexpr int format_version = 1;

peer_message read_message(const nlohmann::json& document)
{
    peer_message message;
    message.sender.host = kernel::host_name{document.at("host").get<std::string>()};
    message.sender.data_centre = kernel::data_centre_name{document.at("dc").get<std::string>()};
    message.sender.caller_address = kernel::socket_address{document.at("caller").get<std::string>()};
    message.sender.peer_address = kernel::socket_address{document.at("peer").get<std::string>()};
    message.state.instance = kernel::instance_id{document.at("run").get<std::string>()};
    message.state.ready = document.at("ready").get<bool>();
    for (const auto& [customer, count] : document.at("admitted").items()) {
        message.state.admitted[kernel::customer_name{customer}] = count.get<std::uint64_t>();
    }
    for (const auto& item : document.at("evidence")) {
        const auto outcome = static_cast<exchange_outcome>(item.at(1).get<int>());
        message.evidence.push_back({kernel::upstream_name{item.at(0).get<std::string>()}, outcome});
    }
    for (const auto& item : document.at("crashing")) {
        message.crashing_requests.push_back(item.get<std::uint64_t>());
    }
    return message;
}

} // namespace

std::string encode(const peer_message& message)
{
    nlohmann::json admitted = nlohmann::json::object();
    for (const auto& [customer, count] : message.state.admitted) {
        admitted[customer.value()] = count;
    }
    nlohmann::json evidence = nlohmann::json::array();
    for (const auto& item : message.evidence) {
        evidence.push_back({item.upstream.value(), static_cast<int>(item.outcome)});
    }
    const nlohmann::json document{{"v", format_version},
                                  {"host", message.sender.host.value()},
                                  {"dc", message.sender.data_centre.value()},
                                  {"caller", message.sender.caller_address.value()},
                                  {"peer", message.sender.peer_address.value()},
                                  {"run", message.state.instance.value()},
                                  {"ready", message.state.ready},
                                  {"admitted", std::move(admitted)},
                                  {"evidence", std::move(evidence)},
                                  {"crashing", message.crashing_requests}};
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

kernel::result<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        const auto document = nlohmann::json::from_cbor(bytes);
        if (document.at("v").get<int>() != format_version) {
            return kernel::fail(proxy_event::peer_message_unreadable, "format version");
        }
        return read_message(document);
    }
    catch (const nlohmann::json::exception& error) {
        return kernel::fail(proxy_event::peer_message_unreadable, error.what());
    }
}

} // namespace wisterialane::proxy
