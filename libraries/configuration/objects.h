#pragma once

#include "kernel/identifiers.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// The objects that operators publish. They refer to one another by name.
namespace wisterialane::configuration {

/// Rate and burst of a customer over all hosts together.
struct limit {
    kernel::limit_name name;
    double rate_per_second = 0;
    double burst = 0;

    friend bool operator==(const limit&, const limit&) = default;
};

struct customer {
    kernel::customer_name name;
    kernel::limit_name limit;
    /// Groups customers in metrics; may be empty.
    std::string metrics_class;

    friend bool operator==(const customer&, const customer&) = default;
};

enum class key_state { active, withdrawn };

struct key {
    kernel::key_name name;
    kernel::customer_name customer;
    /// SHA-256 of the secret, 64 hex digits.
    std::string digest;
    key_state state = key_state::active;

    friend bool operator==(const key&, const key&) = default;
};

enum class exchange_echo { required, optional };

struct service {
    kernel::service_name name;
    /// Share of the configured slots, in percent, that ejection must leave in use.
    unsigned floor_percent = 50;
    exchange_echo echo = exchange_echo::optional;

    friend bool operator==(const service&, const service&) = default;
};

enum class upstream_state { active, leaving };

struct upstream {
    kernel::upstream_name name;
    kernel::service_name service;
    kernel::socket_address address;
    kernel::data_centre_name data_centre;
    /// Requests that it works on at once.
    unsigned slots = 1;
    /// Connections that it accepts.
    unsigned connections = 1;
    upstream_state state = upstream_state::active;

    friend bool operator==(const upstream&, const upstream&) = default;
};

enum class route_access { keyed, open };

enum class route_semantics { idempotent, non_idempotent };

struct route {
    kernel::route_name name;
    kernel::service_name service;
    /// Starts with "/"; a request takes the route with the longest prefix of its path.
    std::string path_prefix;
    route_access access = route_access::keyed;
    route_semantics semantics = route_semantics::non_idempotent;
    std::chrono::milliseconds timeout{1000};
    std::uint64_t maximum_body_bytes = 0;

    friend bool operator==(const route&, const route&) = default;
};

using object = std::variant<limit, customer, key, service, upstream, route>;

enum class object_kind { limit, customer, key, service, upstream, route };

/// Names one object of the set.
struct object_reference {
    object_kind kind = object_kind::limit;
    std::string name;

    // Not defaulted, because clang-tidy 14 takes the defaulted operator for a null pointer (modernize-use-nullptr).
    friend std::strong_ordering operator<=>(const object_reference& left, const object_reference& right)
    {
        const auto order = left.kind <=> right.kind;
        return std::is_neq(order) ? order : left.name <=> right.name;
    }

    friend bool operator==(const object_reference&, const object_reference&) = default;
};

[[nodiscard]] object_kind kind_of(const object& item);
[[nodiscard]] const std::string& name_of(const object& item);
[[nodiscard]] object_reference reference_to(const object& item);

/// The object that this one refers to, or nothing for kinds without a reference.
[[nodiscard]] std::optional<object_reference> reference_in(const object& item);

/// The kind as it is written in JSON.
[[nodiscard]] std::string_view to_text(object_kind kind);
[[nodiscard]] std::optional<object_kind> kind_from_text(std::string_view text);

/// `kind/name`, for messages.
[[nodiscard]] std::string to_text(const object_reference& reference);

} // namespace wisterialane::configuration
