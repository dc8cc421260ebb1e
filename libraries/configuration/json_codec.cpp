#include "libraries/configuration/json_codec.h"

#include "libraries/configuration/field_reader.h"
#include "libraries/configuration/input_structure.h"

#include <algorithm>
#include <array>
#include <limits>

namespace wisterialane::configuration {
namespace {

using nlohmann::json;

constexpr auto any_integer = std::numeric_limits<std::uint64_t>::max();
constexpr auto any_unsigned = std::numeric_limits<unsigned>::max();

constexpr std::array<std::pair<std::string_view, key_state>, 2> key_states{
    {{"active", key_state::active}, {"withdrawn", key_state::withdrawn}}};
constexpr std::array<std::pair<std::string_view, exchange_echo>, 2> echoes{
    {{"required", exchange_echo::required}, {"optional", exchange_echo::optional}}};
constexpr std::array<std::pair<std::string_view, upstream_state>, 2> upstream_states{
    {{"active", upstream_state::active}, {"leaving", upstream_state::leaving}}};
constexpr std::array<std::pair<std::string_view, route_access>, 2> accesses{
    {{"keyed", route_access::keyed}, {"open", route_access::open}}};
constexpr std::array<std::pair<std::string_view, route_semantics>, 2> semantics_names{
    {{"idempotent", route_semantics::idempotent}, {"non_idempotent", route_semantics::non_idempotent}}};

template <class Names, class Enum>
std::string_view text_of(const Names& names, Enum value)
{
    const auto found =
        std::find_if(names.begin(), names.end(), [value](const auto& entry) { return entry.second == value; });
    return found->first;
}

struct object_encoder {
    json operator()(const limit& item) const
    {
        return {{"rate_per_second", item.rate_per_second}, {"burst", item.burst}};
    }

    json operator()(const customer& item) const
    {
        json value{{"limit", item.limit.value()}};
        if (!item.metrics_class.empty()) {
            value["class"] = item.metrics_class;
        }
        return value;
    }

    json operator()(const key& item) const
    {
        return {
            {"customer", item.customer.value()}, {"digest", item.digest}, {"state", text_of(key_states, item.state)}};
    }

    json operator()(const service& item) const
    {
        return {{"floor_percent", item.floor_percent}, {"exchange_echo", text_of(echoes, item.echo)}};
    }

    json operator()(const upstream& item) const
    {
        return {{"service", item.service.value()},         {"address", item.address.value()},
                {"data_centre", item.data_centre.value()}, {"slots", item.slots},
                {"connections", item.connections},         {"state", text_of(upstream_states, item.state)}};
    }

    json operator()(const route& item) const
    {
        return {{"service", item.service.value()},          {"path_prefix", item.path_prefix},
                {"access", text_of(accesses, item.access)}, {"semantics", text_of(semantics_names, item.semantics)},
                {"timeout_ms", item.timeout.count()},       {"maximum_body_bytes", item.maximum_body_bytes}};
    }
};

object read_limit(field_reader& reader, const std::string& name)
{
    return limit{kernel::limit_name{name}, reader.number("rate_per_second"), reader.number("burst")};
}

object read_customer(field_reader& reader, const std::string& name)
{
    return customer{kernel::customer_name{name}, kernel::limit_name{reader.text("limit")},
                    reader.optional_text("class")};
}

object read_key(field_reader& reader, const std::string& name)
{
    return key{kernel::key_name{name}, kernel::customer_name{reader.text("customer")}, reader.text("digest"),
               reader.choice<key_state>("state", key_states)};
}

object read_service(field_reader& reader, const std::string& name)
{
    return service{kernel::service_name{name}, static_cast<unsigned>(reader.integer("floor_percent", any_unsigned)),
                   reader.choice<exchange_echo>("exchange_echo", echoes)};
}

object read_upstream(field_reader& reader, const std::string& name)
{
    return upstream{kernel::upstream_name{name},
                    kernel::service_name{reader.text("service")},
                    kernel::socket_address{reader.text("address")},
                    kernel::data_centre_name{reader.text("data_centre")},
                    static_cast<unsigned>(reader.integer("slots", any_unsigned)),
                    static_cast<unsigned>(reader.integer("connections", any_unsigned)),
                    reader.choice<upstream_state>("state", upstream_states)};
}

object read_route(field_reader& reader, const std::string& name)
{
    return route{kernel::route_name{name},
                 kernel::service_name{reader.text("service")},
                 reader.text("path_prefix"),
                 reader.choice<route_access>("access", accesses),
                 reader.choice<route_semantics>("semantics", semantics_names),
                 std::chrono::milliseconds{reader.integer("timeout_ms", any_unsigned)},
                 reader.integer("maximum_body_bytes", any_integer)};
}

object read_fields(field_reader& reader, const object_reference& subject)
{
    switch (subject.kind) {
    case object_kind::limit:
        return read_limit(reader, subject.name);
    case object_kind::customer:
        return read_customer(reader, subject.name);
    case object_kind::key:
        return read_key(reader, subject.name);
    case object_kind::service:
        return read_service(reader, subject.name);
    case object_kind::upstream:
        return read_upstream(reader, subject.name);
    case object_kind::route:
        return read_route(reader, subject.name);
    }
    return limit{};
}

/// Reads `kind` and `name`; without them the other fields cannot be judged.
std::optional<object_reference> read_reference(const json& value, const std::string& position,
                                               std::vector<fault>& faults)
{
    const object_reference subject{object_kind::limit, position};
    if (!value.is_object()) {
        faults.push_back({subject, {}, configuration_event::malformed_input, "JSON object expected"});
        return std::nullopt;
    }
    field_reader reader{value, subject, faults};
    const auto faults_before = faults.size();
    const auto kind_text = reader.text("kind");
    auto name = reader.text("name");
    const auto kind = kind_from_text(kind_text);
    if (faults.size() == faults_before && !kind) {
        reader.add_fault("kind", configuration_event::value_out_of_range, kind_text);
    }
    if (faults.size() != faults_before) {
        return std::nullopt;
    }
    return object_reference{*kind, std::move(name)};
}

std::optional<object> read_object(const json& value, const std::string& position, std::vector<fault>& faults)
{
    const auto subject = read_reference(value, position, faults);
    if (!subject) {
        return std::nullopt;
    }
    field_reader reader{value, *subject, faults};
    (void)reader.any("kind");
    (void)reader.any("name");
    auto item = read_fields(reader, *subject);
    reader.finish();
    return item;
}

std::optional<change> read_change(const json& value, const std::string& position, std::vector<fault>& faults)
{
    if (!value.is_object() || value.size() != 1) {
        faults.push_back({{object_kind::limit, position},
                          {},
                          configuration_event::malformed_input,
                          R"(JSON object with one member, "put" or "delete", expected)"});
        return std::nullopt;
    }
    const auto member = value.begin();
    if (member.key() == "put") {
        auto item = read_object(member.value(), position, faults);
        return item ? std::optional<change>{put_object{std::move(*item)}} : std::nullopt;
    }
    if (member.key() == "delete") {
        auto target = read_reference(member.value(), position, faults);
        if (target) {
            field_reader reader{member.value(), *target, faults};
            (void)reader.any("kind");
            (void)reader.any("name");
            reader.finish();
        }
        return target ? std::optional<change>{delete_object{std::move(*target)}} : std::nullopt;
    }
    field_reader reader{value, {object_kind::limit, position}, faults};
    reader.finish();
    return std::nullopt;
}

roster_entry read_roster_entry(const json& value, std::vector<fault>& faults)
{
    if (!value.is_object()) {
        faults.push_back({{}, "roster", configuration_event::malformed_input, "JSON object expected"});
        return {};
    }
    field_reader reader{value, {}, faults};
    roster_entry entry{kernel::instance_id{reader.text("instance")},
                       kernel::host_name{reader.text("host")},
                       kernel::data_centre_name{reader.text("data_centre")},
                       kernel::socket_address{reader.text("caller_address")},
                       kernel::socket_address{reader.text("operator_address")},
                       kernel::socket_address{reader.text("peer_address")}};
    reader.finish();
    return entry;
}

} // namespace

kernel::result<json> parse_json(std::string_view text, std::size_t maximum_bytes)
{
    if (text.size() > maximum_bytes) {
        return kernel::fail(configuration_event::input_too_large, std::to_string(text.size()) + " bytes");
    }
    input_structure structure{maximum_input_depth};
    json::sax_parse(text, &structure);
    if (const auto problem = structure.problem()) {
        return kernel::fail(*problem, *problem == configuration_event::input_too_large ? "nesting depth" : "JSON");
    }
    return json::parse(text, nullptr, false);
}

std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encode_object(const object& item)
{
    auto value = std::visit(object_encoder{}, item);
    value["kind"] = to_text(kind_of(item));
    value["name"] = name_of(item);
    return value;
}

json encode_change(const change& item)
{
    if (const auto* put = std::get_if<put_object>(&item)) {
        return {{"put", encode_object(put->item)}};
    }
    const auto& target = std::get<delete_object>(item).target;
    return {{"delete", {{"kind", to_text(target.kind)}, {"name", target.name}}}};
}

json encode_changes(const std::vector<change>& changes)
{
    auto values = json::array();
    for (const auto& item : changes) {
        values.push_back(encode_change(item));
    }
    return values;
}

json encode_roster(const roster& hosts)
{
    auto values = json::array();
    for (const auto& entry : hosts.entries) {
        values.push_back({{"instance", entry.instance.value()},
                          {"host", entry.host.value()},
                          {"data_centre", entry.data_centre.value()},
                          {"caller_address", entry.caller_address.value()},
                          {"operator_address", entry.operator_address.value()},
                          {"peer_address", entry.peer_address.value()}});
    }
    return values;
}

json encode_fault(const fault& item)
{
    return {{"kind", to_text(item.object.kind)},       {"name", item.object.name},       {"field", item.field},
            {"number", static_cast<int>(item.reason)}, {"reason", to_name(item.reason)}, {"detail", item.detail}};
}

decoded<object> decode_object(const json& value)
{
    std::vector<fault> faults;
    auto item = read_object(value, "object", faults);
    if (!faults.empty()) {
        return tl::unexpected{std::move(faults)};
    }
    return std::move(*item);
}

decoded<std::vector<change>> decode_changes(const json& value)
{
    std::vector<fault> faults;
    if (!value.is_array()) {
        faults.push_back({{}, "changes", configuration_event::malformed_input, "list expected"});
        return tl::unexpected{std::move(faults)};
    }
    if (value.size() > maximum_changes) {
        faults.push_back({{}, "changes", configuration_event::input_too_large, std::to_string(value.size())});
        return tl::unexpected{std::move(faults)};
    }
    std::vector<change> changes;
    for (std::size_t index = 0; index < value.size(); ++index) {
        auto item = read_change(value[index], "changes[" + std::to_string(index) + "]", faults);
        if (item) {
            changes.push_back(std::move(*item));
        }
    }
    if (!faults.empty()) {
        return tl::unexpected{std::move(faults)};
    }
    return changes;
}

kernel::result<roster> decode_roster(const json& value)
{
    if (!value.is_array()) {
        return kernel::fail(configuration_event::malformed_input, "roster");
    }
    std::vector<fault> faults;
    roster hosts;
    for (const auto& entry : value) {
        hosts.entries.push_back(read_roster_entry(entry, faults));
    }
    const auto out_of_order =
        std::adjacent_find(hosts.entries.begin(), hosts.entries.end(), [](const auto& left, const auto& right) {
            return !(left.instance.value() < right.instance.value());
        });
    if (!faults.empty() || out_of_order != hosts.entries.end()) {
        return kernel::fail(configuration_event::malformed_input, "roster");
    }
    return hosts;
}

} // namespace wisterialane::configuration
