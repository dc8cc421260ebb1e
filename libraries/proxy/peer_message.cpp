#include "libraries/proxy/peer_message.h"

#include "libraries/proxy/proxy_events.h"

#include <limits>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace wisterialane::proxy {
namespace {

/// Messages with another format version are rejected.
constexpr int format_version = 1;
constexpr double percent = 100;
constexpr int full_level = 100;

nlohmann::json write_upstream(const upstream_record& record)
{
    return {record.id.value(),
            record.service.value(),
            record.address.value(),
            record.data_centre.value(),
            record.slots,
            record.phase == upstream_phase::draining,
            record.remaining_warm_up.count(),
            record.started_at_ms};
}

upstream_record read_upstream(const nlohmann::json& from)
{
    upstream_record record;
    record.id = kernel::upstream_name{from.at(0).get<std::string>()};
    record.service = kernel::service_name{from.at(1).get<std::string>()};
    record.address = kernel::socket_address{from.at(2).get<std::string>()};
    record.data_centre = kernel::data_centre_name{from.at(3).get<std::string>()};
    record.slots = from.at(4).get<unsigned>();
    record.phase = from.at(5).get<bool>() ? upstream_phase::draining : upstream_phase::ready;
    record.remaining_warm_up = std::chrono::milliseconds{from.at(6).get<std::int64_t>()};
    record.started_at_ms = from.at(7).get<std::int64_t>();
    return record;
}

nlohmann::json write_relay(const store_relay& relay)
{
    nlohmann::json present = nlohmann::json::array();
    for (const auto& record : relay.present) {
        present.push_back(write_upstream(record));
    }
    nlohmann::json removed = nlohmann::json::array();
    for (const auto& id : relay.removed) {
        removed.push_back(id.value());
    }
    return {{"version", relay.version.value()}, {"confirmed", relay.confirmed_at.count()},
            {"after", relay.after.value()},     {"up_to", relay.up_to.value()},
            {"present", std::move(present)},    {"removed", std::move(removed)}};
}

store_relay read_relay(const nlohmann::json& from)
{
    store_relay relay;
    relay.version = kernel::version_number{from.at("version").get<std::uint64_t>()};
    relay.confirmed_at = store_time{from.at("confirmed").get<std::int64_t>()};
    relay.after = store_revision{from.at("after").get<std::uint64_t>()};
    relay.up_to = store_revision{from.at("up_to").get<std::uint64_t>()};
    for (const auto& upstream : from.at("present")) {
        relay.present.push_back(read_upstream(upstream));
    }
    for (const auto& id : from.at("removed")) {
        relay.removed.emplace_back(id.get<std::string>());
    }
    return relay;
}

nlohmann::json write_results(const service_counts& results)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto& [service, counts] : results) {
        document[service.value()] = {counts.served, counts.unserved, counts.demand_ms};
    }
    return document;
}

service_counts read_results(const nlohmann::json& from)
{
    service_counts results;
    for (const auto& [service, counts] : from.items()) {
        auto& result = results[kernel::service_name{service}];
        result.served = counts.at(0).get<std::uint64_t>();
        result.unserved = counts.at(1).get<std::uint64_t>();
        // Hosts of an earlier release do not report the demand.
        result.demand_ms = counts.size() > 2 ? counts.at(2).get<std::uint64_t>() : 0;
    }
    return results;
}

// Returns a value within a range, both ends included. Throws `std::invalid_argument` if it lies outside or is no
// number.
template <class Number>
Number read_in_range(const nlohmann::json& from, Number minimum, Number maximum)
{
    const auto value = from.get<Number>();
    if (!(value >= minimum && value <= maximum)) {
        throw std::invalid_argument{"value out of range"};
    }
    return value;
}

nlohmann::json write_notice(const upstream_notice& notice)
{
    nlohmann::json document{{"started", notice.started_at_ms}, {"leaving", notice.leaving}};
    if (notice.rate_limit) {
        document["rate"] = *notice.rate_limit;
    }
    return document;
}

upstream_notice read_notice(const nlohmann::json& from)
{
    upstream_notice notice;
    notice.started_at_ms = from.at("started").get<std::int64_t>();
    notice.leaving = from.at("leaving").get<bool>();
    if (const auto rate = from.find("rate"); rate != from.end()) {
        notice.rate_limit = read_in_range(*rate, 0.0, std::numeric_limits<double>::max());
    }
    return notice;
}

nlohmann::json write_evidence(const shared_evidence& evidence)
{
    nlohmann::json document{evidence.upstream.value(), static_cast<int>(evidence.outcome), evidence.fingerprint};
    if (evidence.notice) {
        document.push_back(write_notice(*evidence.notice));
    }
    return document;
}

shared_evidence read_evidence(const nlohmann::json& from)
{
    shared_evidence evidence;
    evidence.upstream = kernel::upstream_name{from.at(0).get<std::string>()};
    constexpr int last_outcome = static_cast<int>(exchange_outcome::neutral);
    evidence.outcome = static_cast<exchange_outcome>(read_in_range(from.at(1), 0, last_outcome));
    evidence.fingerprint = from.at(2).get<std::uint64_t>();
    // Hosts of an earlier release report no notices.
    if (from.size() > 3) {
        evidence.notice = read_notice(from.at(3));
    }
    return evidence;
}

peer_message read_message(const nlohmann::json& document)
{
    peer_message message;
    message.sender.host = kernel::host_name{document.at("host").get<std::string>()};
    message.sender.data_centre = kernel::data_centre_name{document.at("dc").get<std::string>()};
    message.sender.caller_address = kernel::socket_address{document.at("caller").get<std::string>()};
    message.sender.peer_address = kernel::socket_address{document.at("peer").get<std::string>()};
    message.sender.processor_cores = document.at("cores").get<double>();
    message.state.instance = kernel::instance_id{document.at("run").get<std::string>()};
    message.state.ready = document.at("ready").get<bool>();
    message.state.reaches_store = document.at("store").get<bool>();
    message.state.load = document.at("load").get<int>() / percent;
    if (const auto relay = document.find("relay"); relay != document.end()) {
        message.relay = read_relay(*relay);
    }
    if (const auto results = document.find("results"); results != document.end()) {
        message.results = read_results(*results);
    }
    if (const auto levels = document.find("levels"); levels != document.end()) {
        message.levels.emplace();
        for (const auto& [customer, level] : levels->items()) {
            (*message.levels)[kernel::customer_name{customer}] = read_in_range(level, 0, full_level) / percent;
        }
    }
    for (const auto& [customer, count] : document.at("admitted").items()) {
        message.state.admitted[kernel::customer_name{customer}] = count.get<std::uint64_t>();
    }
    for (const auto& observation : document.at("evidence")) {
        message.evidence.push_back(read_evidence(observation));
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
    for (const auto& observation : message.evidence) {
        evidence.push_back(write_evidence(observation));
    }
    nlohmann::json document{{"v", format_version},
                            {"host", message.sender.host.value()},
                            {"dc", message.sender.data_centre.value()},
                            {"caller", message.sender.caller_address.value()},
                            {"peer", message.sender.peer_address.value()},
                            {"cores", message.sender.processor_cores},
                            {"run", message.state.instance.value()},
                            {"ready", message.state.ready},
                            {"store", message.state.reaches_store},
                            {"load", static_cast<int>(message.state.load * percent)},
                            {"admitted", std::move(admitted)},
                            {"evidence", std::move(evidence)}};
    if (message.relay) {
        document["relay"] = write_relay(*message.relay);
    }
    if (message.levels) {
        auto& levels = document["levels"] = nlohmann::json::object();
        for (const auto& [customer, level] : *message.levels) {
            levels[customer.value()] = static_cast<int>(level * percent);
        }
    }
    if (message.results) {
        document["results"] = write_results(*message.results);
    }
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

kernel::result<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        const auto document = nlohmann::json::from_cbor(bytes);
        if (document.at("v").get<int>() != format_version) {
            return kernel::fail(proxy_event::peer_message_unreadable, "unsupported format version");
        }
        return read_message(document);
    }
    catch (const nlohmann::json::exception& error) {
        return kernel::fail(proxy_event::peer_message_unreadable, error.what());
    }
    catch (const std::invalid_argument& error) {
        return kernel::fail(proxy_event::peer_message_unreadable, error.what());
    }
}

} // namespace wisterialane::proxy
