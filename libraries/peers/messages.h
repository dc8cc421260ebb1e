#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "kernel/strong_type.h"
#include "libraries/configuration/record.h"
#include "libraries/health/evidence_report.h"
#include "libraries/limits/loan.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What hosts tell one another (docs/design.md, section 6). Ages are relative to the time at which the response was
/// made; the receiver counts them from the time at which it sent the request, which is not later.
namespace wisterialane::peers {

/// Life of a host instance; it only moves forward. A departed instance has stopped for good: it serves nobody and
/// answers no pull any more.
enum class host_state { serving, draining, departed };

/// What a host knows of one instance. Both the version and the state only rise in an instance, so two statements merge
/// to the greater of each.
struct held_version {
    kernel::instance_id instance;
    kernel::version_number version;
    /// Age of the statement; nothing if it is not known as of when the version was held.
    std::optional<kernel::duration> age;
    host_state state = host_state::serving;

    friend bool operator==(const held_version&, const held_version&) = default;
};

/// "The version was current at the platform that long ago."
struct aged_observation {
    kernel::version_number version;
    kernel::duration age{};

    friend bool operator==(const aged_observation&, const aged_observation&) = default;
};

struct pull_request {
    /// What the sender holds.
    kernel::version_number version;
    host_state state = host_state::serving;
    health::evidence_report evidence;
};

struct pull_response {
    kernel::version_number version;
    configuration::chain_hash hash;
    /// Newest version that the sender knows to be accepted.
    kernel::version_number accepted;
    std::optional<aged_observation> observation;
    host_state state = host_state::serving;
    std::vector<held_version> held;
    health::evidence_report evidence;
};

struct record_request {
    kernel::version_number since;
};

/// Records that follow `since`, as canonical JSON and bounded in size; the requester asks again for the rest. A
/// snapshot comes instead when the responder does not keep the next record any more.
struct record_response {
    std::optional<std::string> snapshot;
    std::vector<std::string> records;
};

struct loan_requests {
    std::vector<limits::loan_request> items;
};

struct loan_response {
    std::vector<limits::loan> items;
};

using message_content =
    std::variant<pull_request, pull_response, record_request, record_response, loan_requests, loan_response>;

struct message {
    /// Chosen by the requester and repeated in the response.
    std::uint64_t request_id = 0;
    message_content content;
};

} // namespace wisterialane::peers
