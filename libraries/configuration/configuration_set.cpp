#include "libraries/configuration/configuration_set.h"

#include "libraries/configuration/change_check.h"
#include "libraries/configuration/field_reader.h"
#include "libraries/configuration/json_codec.h"
#include "libraries/configuration/validation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wisterialane::configuration {
namespace {

using nlohmann::json;

template <class T>
const T* find_typed(const std::map<object_reference, object>& objects, object_kind kind, const std::string& name)
{
    const auto found = objects.find({kind, name});
    return found == objects.end() ? nullptr : std::get_if<T>(&found->second);
}

} // namespace

const limit* configuration_set::find_limit(const kernel::limit_name& name) const
{
    return find_typed<limit>(objects_, object_kind::limit, name.value());
}

const customer* configuration_set::find_customer(const kernel::customer_name& name) const
{
    return find_typed<customer>(objects_, object_kind::customer, name.value());
}

const key* configuration_set::find_key(const kernel::key_name& name) const
{
    return find_typed<key>(objects_, object_kind::key, name.value());
}

const service* configuration_set::find_service(const kernel::service_name& name) const
{
    return find_typed<service>(objects_, object_kind::service, name.value());
}

const upstream* configuration_set::find_upstream(const kernel::upstream_name& name) const
{
    return find_typed<upstream>(objects_, object_kind::upstream, name.value());
}

const route* configuration_set::find_route(const kernel::route_name& name) const
{
    return find_typed<route>(objects_, object_kind::route, name.value());
}

const object* configuration_set::find(const object_reference& reference) const
{
    const auto found = objects_.find(reference);
    return found == objects_.end() ? nullptr : &found->second;
}

const key* configuration_set::find_key_by_digest(std::string_view digest) const
{
    const auto found = keys_by_digest_.find(std::string{digest});
    return found == keys_by_digest_.end() ? nullptr : find_key(found->second);
}

const route* configuration_set::match_route(std::string_view path) const
{
    for (auto length = std::min(path.size(), maximum_path_prefix_bytes); length > 0; --length) {
        if (length < path.size() && path[length] != '/' && path[length - 1] != '/') {
            continue;
        }
        const auto found = routes_by_prefix_.find(path.substr(0, length));
        if (found != routes_by_prefix_.end()) {
            return find_route(found->second);
        }
    }
    return nullptr;
}

std::vector<kernel::upstream_name> configuration_set::upstreams_of(const kernel::service_name& name) const
{
    std::vector<kernel::upstream_name> names;
    for (const auto& referrer : referrers_of({object_kind::service, name.value()})) {
        if (referrer.kind == object_kind::upstream) {
            names.emplace_back(referrer.name);
        }
    }
    return names;
}

std::vector<object_reference> configuration_set::list() const
{
    std::vector<object_reference> references;
    references.reserve(objects_.size());
    for (const auto& [reference, item] : objects_) {
        references.push_back(reference);
    }
    return references;
}

std::vector<fault> configuration_set::check(const std::vector<change>& changes) const
{
    return change_check{*this, changes}.run();
}

bool configuration_set::is_withdrawn_digest(const std::string& digest) const
{
    return withdrawn_digests_.contains(digest);
}

const std::set<object_reference>& configuration_set::referrers_of(const object_reference& reference) const
{
    static const std::set<object_reference> none;
    const auto found = referrers_.find(reference);
    return found == referrers_.end() ? none : found->second;
}

kernel::result<void> configuration_set::apply(const record& next)
{
    if (next.version.value() != version_.value() + 1) {
        return kernel::fail(configuration_event::version_gap,
                            std::to_string(version_.value()) + " then " + std::to_string(next.version.value()));
    }
    if (next.previous_hash != hash_ || hash_of(next) != next.hash) {
        return kernel::fail(configuration_event::hash_mismatch, std::to_string(next.version.value()));
    }
    for (const auto& item : next.changes) {
        if (const auto* put_change = std::get_if<put_object>(&item)) {
            put(put_change->item);
        }
        else {
            remove(std::get<delete_object>(item).target);
        }
    }
    if (next.new_roster) {
        roster_ = *next.new_roster;
    }
    version_ = next.version;
    hash_ = next.hash;
    return {};
}

std::string configuration_set::encode_snapshot() const
{
    auto objects = json::array();
    for (const auto& [reference, item] : objects_) {
        objects.push_back(encode_object(item));
    }
    return write_json({{"version", version_.value()},
                       {"hash", hash_.value()},
                       {"roster", encode_roster(roster_)},
                       {"objects", std::move(objects)},
                       {"withdrawn_digests", withdrawn_digests_}});
}

kernel::result<configuration_set> configuration_set::decode_snapshot(std::string_view text)
{
    const auto malformed = [](const std::string& subject) {
        return kernel::fail(configuration_event::malformed_input, "snapshot " + subject);
    };
    const auto value = parse_json(text, maximum_snapshot_bytes);
    if (!value || !value->is_object()) {
        return malformed(value ? "form" : value.error().subject());
    }
    std::vector<fault> faults;
    field_reader reader{*value, {object_kind::limit, "snapshot"}, faults};
    configuration_set set;
    set.version_ = kernel::version_number{reader.integer("version", std::numeric_limits<std::uint64_t>::max())};
    set.hash_ = chain_hash{reader.text("hash")};
    const auto* hosts = reader.any("roster");
    const auto* objects = reader.any("objects");
    const auto* digests = reader.any("withdrawn_digests");
    reader.finish();
    if (!faults.empty() || !objects->is_array() || !digests->is_array()) {
        return malformed("fields");
    }
    auto decoded_roster = decode_roster(*hosts);
    if (!decoded_roster) {
        return malformed("roster");
    }
    set.roster_ = std::move(*decoded_roster);
    for (const auto& digest : *digests) {
        if (!digest.is_string()) {
            return malformed("withdrawn_digests");
        }
        set.withdrawn_digests_.insert(digest.get<std::string>());
    }
    for (const auto& encoded : *objects) {
        const auto item = decode_object(encoded);
        if (item) {
            validate(*item, faults);
        }
        if (!item || !faults.empty() || set.find(reference_to(*item)) != nullptr) {
            return malformed("objects");
        }
        set.put(*item);
    }
    if (!set.is_consistent()) {
        return malformed("references");
    }
    return set;
}

void configuration_set::put(const object& item)
{
    const auto reference = reference_to(item);
    const auto present = objects_.find(reference);
    if (present != objects_.end()) {
        unindex(present->second);
    }
    if (const auto target = reference_in(item)) {
        referrers_[*target].insert(reference);
    }
    if (const auto* typed = std::get_if<key>(&item)) {
        keys_by_digest_[typed->digest] = typed->name;
        if (typed->state == key_state::withdrawn) {
            withdrawn_digests_.insert(typed->digest);
            if (present != objects_.end()) {
                withdrawn_digests_.insert(std::get<key>(present->second).digest);
            }
        }
    }
    if (const auto* typed = std::get_if<route>(&item)) {
        routes_by_prefix_[typed->path_prefix] = typed->name;
    }
    objects_.insert_or_assign(reference, item);
}

void configuration_set::remove(const object_reference& reference)
{
    const auto present = objects_.find(reference);
    if (present == objects_.end()) {
        return;
    }
    unindex(present->second);
    objects_.erase(present);
}

bool configuration_set::is_consistent() const
{
    std::size_t keys = 0;
    std::size_t routes = 0;
    for (const auto& [reference, item] : objects_) {
        const auto target = reference_in(item);
        if (target && !objects_.contains(*target)) {
            return false;
        }
        keys += reference.kind == object_kind::key ? 1 : 0;
        routes += reference.kind == object_kind::route ? 1 : 0;
    }
    return keys == keys_by_digest_.size() && routes == routes_by_prefix_.size();
}

void configuration_set::unindex(const object& item)
{
    if (const auto target = reference_in(item)) {
        const auto found = referrers_.find(*target);
        found->second.erase(reference_to(item));
        if (found->second.empty()) {
            referrers_.erase(found);
        }
    }
    // An earlier change of the same record may have given the digest or prefix to another object.
    if (const auto* typed = std::get_if<key>(&item)) {
        const auto found = keys_by_digest_.find(typed->digest);
        if (found != keys_by_digest_.end() && found->second == typed->name) {
            keys_by_digest_.erase(found);
        }
    }
    if (const auto* typed = std::get_if<route>(&item)) {
        const auto found = routes_by_prefix_.find(typed->path_prefix);
        if (found != routes_by_prefix_.end() && found->second == typed->name) {
            routes_by_prefix_.erase(found);
        }
    }
}

} // namespace wisterialane::configuration
