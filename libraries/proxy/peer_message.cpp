#include "libraries/proxy/peer_message.h"

#include "libraries/proxy/network.h"
#include "libraries/proxy/proxy_events.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

#include <boost/locale/utf.hpp>
#include <nlohmann/json.hpp>

namespace wisterialane::proxy {
namespace {

/// Messages with another format version are rejected.
constexpr std::uint64_t format_version = 1;
constexpr double percent = 100;
constexpr int full_level = 100;

/// Longest name or address, in bytes.
constexpr std::size_t maximum_text_bytes = 200;
/// Greatest number of seconds, requests, slots and the like that a message can hold.
constexpr std::int64_t maximum_count = std::numeric_limits<std::int64_t>::max() / 4;
constexpr std::int64_t maximum_slots = 100'000;
/// Greatest number of slots of a service in one data centre.
constexpr double maximum_supplied_slots = 1e9;
constexpr std::int64_t maximum_priority = std::numeric_limits<int>::max();
constexpr double maximum_processor_cores = 100'000;
/// Longest time on the store's clock, in milliseconds; sums of a few such times fit into the clock's type.
constexpr std::int64_t maximum_store_time_ms = 1'000'000'000'000;
constexpr std::int64_t maximum_load_percent = 1'000'000'000;
/// Hosts report no greater delay, in milliseconds; a later release may.
constexpr std::int64_t maximum_delay_ms = 60'000;

// Returns a value within a range, both ends included. Throws `std::invalid_argument` if it lies outside or is of
// another kind.
std::int64_t read_integer(const nlohmann::json& from, std::int64_t minimum, std::int64_t maximum)
{
    const bool too_large = from.is_number_unsigned() && from.get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
    if (!from.is_number_integer() || too_large) {
        throw std::invalid_argument{"no integer, or out of range"};
    }
    const auto value = from.get<std::int64_t>();
    if (value < minimum || value > maximum) {
        throw std::invalid_argument{"value out of range"};
    }
    return value;
}

double read_number(const nlohmann::json& from, double minimum, double maximum)
{
    const auto value = from.get<double>();
    if (!(value >= minimum && value <= maximum)) {
        throw std::invalid_argument{"value out of range"};
    }
    return value;
}

std::uint64_t read_count(const nlohmann::json& from)
{
    return static_cast<std::uint64_t>(read_integer(from, 0, maximum_count));
}

// Whether the text is valid UTF-8 without control characters. Names and addresses are logged and sent on as JSON.
bool is_printable(const std::string& text)
{
    namespace utf = boost::locale::utf;
    constexpr utf::code_point first_printable = 0x20;
    constexpr utf::code_point deleted = 0x7f;
    for (auto position = text.begin(); position != text.end();) {
        const auto character = utf::utf_traits<char>::decode(position, text.end());
        if (!utf::is_valid_codepoint(character) || character < first_printable || character == deleted) {
            return false;
        }
    }
    return true;
}

bool is_valid_text(const std::string& text)
{
    return text.size() <= maximum_text_bytes && is_printable(text);
}

std::string check_text(std::string text)
{
    if (!is_valid_text(text)) {
        throw std::invalid_argument{"invalid text"};
    }
    return text;
}

std::string read_text(const nlohmann::json& from)
{
    return check_text(from.get<std::string>());
}

kernel::socket_address read_address(const nlohmann::json& from)
{
    kernel::socket_address address{read_text(from)};
    if (!parse_endpoint(address)) {
        throw std::invalid_argument{"invalid address"};
    }
    return address;
}

nlohmann::json write_upstream(const upstream_record& record)
{
    return {record.id.value(),
            record.service.value(),
            record.address.value(),
            record.data_centre.value(),
            record.slots,
            record.phase == upstream_phase::draining,
            record.remaining_warm_up.count(),
            record.started_at_ms,
            record.sequence};
}

upstream_record read_upstream(const nlohmann::json& from)
{
    upstream_record record;
    record.id = kernel::upstream_name{read_text(from.at(0))};
    record.service = kernel::service_name{read_text(from.at(1))};
    record.address = read_address(from.at(2));
    record.data_centre = kernel::data_centre_name{read_text(from.at(3))};
    record.slots = static_cast<unsigned>(read_integer(from.at(4), 1, maximum_slots));
    record.phase = from.at(5).get<bool>() ? upstream_phase::draining : upstream_phase::ready;
    record.remaining_warm_up = std::chrono::milliseconds{read_integer(from.at(6), 0, maximum_store_time_ms)};
    record.started_at_ms = read_integer(from.at(7), 0, std::numeric_limits<std::int64_t>::max());
    // Hosts of an earlier release do not relay it.
    record.sequence = from.size() > 8 ? read_integer(from.at(8), 0, std::numeric_limits<std::int64_t>::max()) : 0;
    return record;
}

// Leaves out what a message cannot hold; no upstream's data centre has such a name.
nlohmann::json write_names(const std::set<kernel::data_centre_name>& names)
{
    nlohmann::json document = nlohmann::json::array();
    for (const auto& name : names) {
        if (is_valid_text(name.value())) {
            document.push_back(name.value());
        }
    }
    return document;
}

std::set<kernel::data_centre_name> read_names(const nlohmann::json& from)
{
    std::set<kernel::data_centre_name> names;
    for (const auto& name : from) {
        names.emplace(read_text(name));
    }
    return names;
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
    nlohmann::json document{{"version", relay.version.value()}, {"confirmed", relay.confirmed_at.count()},
                            {"after", relay.after.value()},     {"up_to", relay.up_to.value()},
                            {"present", std::move(present)},    {"removed", std::move(removed)}};
    if (relay.era.value() > 0) {
        document["era"] = relay.era.value();
    }
    if (relay.evacuated) {
        document["evacuated"] = write_names(relay.evacuated->present);
        document["evacuation_ended"] = write_names(relay.evacuated->ended);
        document["evacuation_kept"] = write_names(relay.evacuated->kept);
        document["operator_revision"] = relay.evacuated->position.revision.value();
    }
    if (relay.document_sent) {
        document["document"] = true;
    }
    if (relay.store_is_stable) {
        document["stable"] = true;
    }
    return document;
}

store_relay read_relay(const nlohmann::json& from)
{
    store_relay relay;
    relay.version = kernel::version_number{read_count(from.at("version"))};
    relay.confirmed_at = store_time{read_integer(from.at("confirmed"), 0, maximum_store_time_ms)};
    relay.after = store_revision{read_count(from.at("after"))};
    relay.up_to = store_revision{read_count(from.at("up_to"))};
    for (const auto& upstream : from.at("present")) {
        relay.present.push_back(read_upstream(upstream));
    }
    for (const auto& id : from.at("removed")) {
        relay.removed.emplace_back(read_text(id));
    }
    // Hosts of an earlier release relay neither the era nor evacuations.
    if (const auto era = from.find("era"); era != from.end()) {
        relay.era = store_era{read_count(*era)};
    }
    if (const auto evacuated = from.find("evacuated"); evacuated != from.end()) {
        relay.evacuated = evacuation_state{{relay.era, store_revision{read_count(from.at("operator_revision"))}},
                                           read_names(*evacuated),
                                           read_names(from.at("evacuation_ended")),
                                           read_names(from.at("evacuation_kept"))};
    }
    // Hosts of an earlier release send no documents.
    if (const auto document = from.find("document"); document != from.end()) {
        relay.document_sent = document->get<bool>();
    }
    // Hosts of an earlier release do not say it.
    if (const auto stable = from.find("stable"); stable != from.end()) {
        relay.store_is_stable = stable->get<bool>();
    }
    return relay;
}

nlohmann::json write_part(const document_part& part)
{
    return {part.source.value(), part.version.value(), part.digest,
            part.index,          part.count,           nlohmann::json::binary({part.bytes.begin(), part.bytes.end()})};
}

std::uint64_t read_hash(const nlohmann::json& from)
{
    if (!from.is_number_unsigned()) {
        throw std::invalid_argument{"invalid hash"};
    }
    return from.get<std::uint64_t>();
}

document_part read_part(const nlohmann::json& from)
{
    document_part part;
    part.source = kernel::host_name{read_text(from.at(0))};
    part.version = kernel::version_number{read_count(from.at(1))};
    part.digest = read_hash(from.at(2));
    part.count = static_cast<std::size_t>(read_integer(from.at(4), 1, maximum_document_parts));
    part.index = static_cast<std::size_t>(read_integer(from.at(3), 0, static_cast<std::int64_t>(part.count) - 1));
    const auto& bytes = from.at(5).get_binary();
    if (bytes.size() > maximum_part_bytes) {
        throw std::invalid_argument{"part too large"};
    }
    part.bytes.assign(bytes.begin(), bytes.end());
    return part;
}

nlohmann::json write_levels(const priority_levels& levels)
{
    nlohmann::json document = nlohmann::json::array();
    for (const auto& [priority, counts] : levels) {
        document.push_back({priority.customer, priority.route, counts.requests, counts.unserved});
    }
    return document;
}

priority_levels read_levels(const nlohmann::json& from)
{
    if (!from.is_array() || from.size() > maximum_reported_levels) {
        throw std::invalid_argument{"invalid list of priorities"};
    }
    priority_levels levels;
    for (const auto& entry : from) {
        const request_priority priority{static_cast<int>(read_integer(entry.at(0), 0, maximum_priority)),
                                        static_cast<int>(read_integer(entry.at(1), 0, maximum_priority))};
        levels[priority] = {read_count(entry.at(2)), read_count(entry.at(3))};
    }
    return levels;
}

nlohmann::json write_results(const service_counts& results)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto& [service, counts] : results) {
        auto& entry = document[service.value()] = {counts.served, counts.unserved, counts.demand_ms};
        if (!counts.levels.empty()) {
            entry.push_back(write_levels(counts.levels));
        }
    }
    return document;
}

service_counts read_results(const nlohmann::json& from)
{
    service_counts results;
    for (const auto& [service, counts] : from.items()) {
        auto& result = results[kernel::service_name{check_text(service)}];
        result.served = read_count(counts.at(0));
        result.unserved = read_count(counts.at(1));
        // Hosts of an earlier release do not report the demand.
        result.demand_ms = counts.size() > 2 ? read_count(counts.at(2)) : 0;
        if (counts.size() > 3) {
            result.levels = read_levels(counts.at(3));
        }
    }
    return results;
}

nlohmann::json write_supplies(const service_supplies& supplies)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto& [service, supply] : supplies) {
        auto& entry = document[service.value()] = nlohmann::json::array({supply.healthy_slots});
        if (supply.waiting) {
            entry.push_back(supply.waiting->count());
        }
    }
    return document;
}

service_supplies read_supplies(const nlohmann::json& from)
{
    service_supplies supplies;
    for (const auto& [service, entry] : from.items()) {
        auto& supply = supplies[kernel::service_name{check_text(service)}];
        supply.healthy_slots = read_number(entry.at(0), 0, maximum_supplied_slots);
        if (entry.size() > 1) {
            supply.waiting = std::chrono::milliseconds{read_integer(entry.at(1), 0, maximum_store_time_ms)};
        }
    }
    return supplies;
}

nlohmann::json write_notice(const upstream_notice& notice)
{
    nlohmann::json document{{"started", notice.started_at_ms}, {"leaving", notice.leaving}};
    if (notice.rate_limit) {
        document["rate"] = *notice.rate_limit;
    }
    if (notice.cold_left) {
        document["cold"] = notice.cold_left->count();
    }
    return document;
}

upstream_notice read_notice(const nlohmann::json& from)
{
    upstream_notice notice;
    notice.started_at_ms = read_integer(from.at("started"), 0, std::numeric_limits<std::int64_t>::max());
    notice.leaving = from.at("leaving").get<bool>();
    if (const auto rate = from.find("rate"); rate != from.end()) {
        notice.rate_limit = read_number(*rate, 0, std::numeric_limits<double>::max());
    }
    if (const auto cold = from.find("cold"); cold != from.end()) {
        notice.cold_left = std::chrono::milliseconds{read_integer(*cold, 0, maximum_store_time_ms)};
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
    evidence.upstream = kernel::upstream_name{read_text(from.at(0))};
    constexpr int last_outcome = static_cast<int>(exchange_outcome::neutral);
    evidence.outcome = static_cast<exchange_outcome>(read_integer(from.at(1), 0, last_outcome));
    evidence.fingerprint = read_hash(from.at(2));
    // Hosts of an earlier release report no notices.
    if (from.size() > 3) {
        evidence.notice = read_notice(from.at(3));
    }
    return evidence;
}

peer_message read_message(const nlohmann::json& document)
{
    peer_message message;
    message.sender.host = kernel::host_name{read_text(document.at("host"))};
    message.sender.data_centre = kernel::data_centre_name{read_text(document.at("dc"))};
    message.sender.caller_address = read_address(document.at("caller"));
    message.sender.peer_address = read_address(document.at("peer"));
    message.sender.processor_cores = read_number(document.at("cores"), 0, maximum_processor_cores);
    message.state.instance = kernel::instance_id{read_text(document.at("run"))};
    message.state.ready = document.at("ready").get<bool>();
    message.state.reaches_store = document.at("store").get<bool>();
    message.state.load = static_cast<double>(read_integer(document.at("load"), 0, maximum_load_percent)) / percent;
    // Sent only by hosts in the first window after their start.
    if (const auto starting = document.find("starting"); starting != document.end()) {
        message.state.starting = starting->get<bool>();
    }
    // Hosts of an earlier release report no delay.
    if (const auto delay = document.find("delay_ms"); delay != document.end()) {
        message.state.delay = std::chrono::milliseconds{read_integer(*delay, 0, maximum_delay_ms)};
    }
    if (const auto relay = document.find("relay"); relay != document.end()) {
        message.relay = read_relay(*relay);
    }
    if (const auto part = document.find("part"); part != document.end()) {
        message.document = read_part(*part);
    }
    if (const auto results = document.find("results"); results != document.end()) {
        message.results = read_results(*results);
    }
    if (const auto supply = document.find("supply"); supply != document.end()) {
        message.supply = read_supplies(*supply);
    }
    if (const auto levels = document.find("levels"); levels != document.end()) {
        message.levels.emplace();
        for (const auto& [customer, level] : levels->items()) {
            (*message.levels)[kernel::customer_name{check_text(customer)}] =
                static_cast<double>(read_integer(level, 0, full_level)) / percent;
        }
    }
    for (const auto& [customer, count] : document.at("admitted").items()) {
        message.state.admitted[kernel::customer_name{check_text(customer)}] = read_count(count);
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
    if (message.state.starting) {
        document["starting"] = true;
    }
    if (const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(message.state.delay).count();
        delay > 0) {
        document["delay_ms"] = std::min<std::int64_t>(delay, maximum_delay_ms);
    }
    if (message.relay) {
        document["relay"] = write_relay(*message.relay);
    }
    if (message.document) {
        document["part"] = write_part(*message.document);
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
    if (message.supply) {
        document["supply"] = write_supplies(*message.supply);
    }
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

kernel::result<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        const auto document = nlohmann::json::from_cbor(bytes);
        if (read_count(document.at("v")) != format_version) {
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
