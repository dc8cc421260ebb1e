#pragma once

#include "kernel/failure.h"
#include "libraries/configuration/change.h"
#include "libraries/configuration/fault.h"
#include "libraries/configuration/objects.h"
#include "libraries/configuration/record.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisterialane::configuration {

/// All objects and the roster of one version. Applying a record costs the size of its changes, not of the set.
/// Copies are deep; hosts keep one set and apply records to it.
class configuration_set {
public:
    using key_digest_index = std::unordered_map<std::string, kernel::key_name>;
    using route_prefix_index = std::map<std::string, kernel::route_name, std::less<>>;

    [[nodiscard]] kernel::version_number version() const { return version_; }

    [[nodiscard]] const chain_hash& hash() const { return hash_; }

    [[nodiscard]] const roster& hosts() const { return roster_; }

    [[nodiscard]] const limit* find_limit(const kernel::limit_name& name) const;
    [[nodiscard]] const customer* find_customer(const kernel::customer_name& name) const;
    [[nodiscard]] const key* find_key(const kernel::key_name& name) const;
    [[nodiscard]] const service* find_service(const kernel::service_name& name) const;
    [[nodiscard]] const upstream* find_upstream(const kernel::upstream_name& name) const;
    [[nodiscard]] const route* find_route(const kernel::route_name& name) const;
    [[nodiscard]] const object* find(const object_reference& reference) const;

    /// The key with this digest (64 lower-case hex digits), or null.
    [[nodiscard]] const key* find_key_by_digest(std::string_view digest) const;

    /// The route with the longest prefix of `path` that ends at a path segment's end, or null. `path` has no query.
    [[nodiscard]] const route* match_route(std::string_view path) const;

    /// Names of the upstreams of a service, sorted.
    [[nodiscard]] std::vector<kernel::upstream_name> upstreams_of(const kernel::service_name& name) const;

    /// References to all objects, sorted by kind and name. Costs the size of the set.
    [[nodiscard]] std::vector<object_reference> list() const;

    /// Every fault that the set would have after the changes, without applying them. Costs the size of the changes and
    /// of the objects that refer to their targets.
    [[nodiscard]] std::vector<fault> check(const std::vector<change>& changes) const;

    /// Whether the digest belonged to a key that was withdrawn, even if that key has been deleted since.
    [[nodiscard]] bool is_withdrawn_digest(const std::string& digest) const;

    /// The objects that refer to this one, sorted.
    [[nodiscard]] const std::set<object_reference>& referrers_of(const object_reference& reference) const;

    [[nodiscard]] const key_digest_index& keys_by_digest() const { return keys_by_digest_; }

    [[nodiscard]] const route_prefix_index& routes_by_prefix() const { return routes_by_prefix_; }

    /// Applies the record that follows this version. Fails with `version_gap` or `hash_mismatch`, changing nothing.
    /// The changes were checked before the record was committed.
    kernel::result<void> apply(const record& next);

    /// Whole set with version, hash and roster as canonical JSON.
    [[nodiscard]] std::string encode_snapshot() const;

    /// Fails with `malformed_input`.
    static kernel::result<configuration_set> decode_snapshot(std::string_view text);

private:
    void put(const object& item);
    void remove(const object_reference& reference);

    [[nodiscard]] bool is_consistent() const;
    void unindex(const object& item);

    kernel::version_number version_;
    chain_hash hash_;
    roster roster_;
    std::map<object_reference, object> objects_;
    /// For each object, the objects that refer to it.
    std::map<object_reference, std::set<object_reference>> referrers_;
    key_digest_index keys_by_digest_;
    route_prefix_index routes_by_prefix_;
    /// Digests of all keys that were ever withdrawn. Kept after such a key is deleted, so that its secret cannot become
    /// active again under any name.
    std::set<std::string> withdrawn_digests_;
};

} // namespace wisterialane::configuration
