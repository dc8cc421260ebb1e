#include "libraries/peers/payload_codec.h"

#include "libraries/peers/peers_events.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include <peer.pb.h>

namespace wisterialane::peers {
namespace {

constexpr std::size_t short_instance_digits = 16;
constexpr std::size_t maximum_name_bytes = 64;

// Ages are rounded up, because a statement must not look newer than it is.
std::uint64_t to_microseconds(kernel::duration age)
{
    const auto rounded = std::chrono::ceil<std::chrono::microseconds>(std::max(age, kernel::duration::zero()));
    return static_cast<std::uint64_t>(rounded.count());
}

// A century; a greater age would overflow the arithmetic on time points.
constexpr std::uint64_t maximum_age_microseconds = 3'155'760'000'000'000U;

kernel::duration from_microseconds(std::uint64_t age)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(std::min(age, maximum_age_microseconds))};
}

wire::HostState to_wire(host_state state)
{
    switch (state) {
    case host_state::serving:
        return wire::SERVING;
    case host_state::draining:
        return wire::DRAINING;
    case host_state::departed:
        return wire::DEPARTED;
    }
    return wire::SERVING;
}

bool read_state(wire::HostState state, host_state& to)
{
    switch (state) {
    case wire::SERVING:
        to = host_state::serving;
        return true;
    case wire::DRAINING:
        to = host_state::draining;
        return true;
    case wire::DEPARTED:
        to = host_state::departed;
        return true;
    default:
        return false;
    }
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= maximum_name_bytes;
}

std::optional<std::uint64_t> short_instance(const std::string& text)
{
    const bool lower_hex = std::all_of(text.begin(), text.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
    if (text.size() != short_instance_digits || !lower_hex) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, 16);
    return number;
}

std::string long_instance(std::uint64_t number)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(short_instance_digits, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[number & 15U];
        number >>= 4U;
    }
    return text;
}

void write(const held_version& from, wire::HeldVersion& to)
{
    if (const auto number = short_instance(from.instance.value())) {
        to.set_short_instance(*number);
    }
    else {
        to.set_long_instance(from.instance.value());
    }
    to.set_version(from.version.value());
    if (from.age) {
        to.set_age_microseconds(to_microseconds(*from.age));
    }
    to.set_state(to_wire(from.state));
}

bool read(const wire::HeldVersion& from, held_version& to)
{
    switch (from.instance_case()) {
    case wire::HeldVersion::kShortInstance:
        to.instance = kernel::instance_id{long_instance(from.short_instance())};
        break;
    case wire::HeldVersion::kLongInstance:
        to.instance = kernel::instance_id{from.long_instance()};
        break;
    case wire::HeldVersion::INSTANCE_NOT_SET:
        return false;
    }
    to.version = kernel::version_number{from.version()};
    if (from.has_age_microseconds()) {
        to.age = from_microseconds(from.age_microseconds());
    }
    return is_name(to.instance.value()) && read_state(from.state(), to.state);
}

void write(const health::evidence_report& from, wire::EvidenceReport& to)
{
    to.set_reporter(from.reporter.value());
    to.set_sequence(from.sequence);
    for (const auto& counters : from.counters) {
        auto& item = *to.add_counters();
        item.set_upstream(counters.upstream.value());
        item.set_good(counters.good);
        item.set_bad(counters.bad);
    }
    for (const auto& crash : from.crashes) {
        auto& item = *to.add_crashes();
        item.set_fingerprint(crash.fingerprint);
        item.set_upstream(crash.upstream.value());
    }
}

bool read(const wire::EvidenceReport& from, health::evidence_report& to)
{
    to.reporter = kernel::instance_id{from.reporter()};
    to.sequence = from.sequence();
    for (const auto& item : from.counters()) {
        to.counters.push_back({kernel::upstream_name{item.upstream()}, item.good(), item.bad()});
    }
    for (const auto& item : from.crashes()) {
        to.crashes.push_back({item.fingerprint(), kernel::upstream_name{item.upstream()}});
    }
    return true;
}

void write(const pull_request& from, wire::Payload& payload)
{
    auto& to = *payload.mutable_pull_request();
    to.set_version(from.version.value());
    to.set_state(to_wire(from.state));
    write(from.evidence, *to.mutable_evidence());
}

bool read(const wire::PullRequest& from, pull_request& to)
{
    to.version = kernel::version_number{from.version()};
    return read_state(from.state(), to.state) && read(from.evidence(), to.evidence);
}

void write(const pull_response& from, wire::Payload& payload)
{
    auto& to = *payload.mutable_pull_response();
    to.set_version(from.version.value());
    to.set_hash(from.hash.value());
    to.set_accepted_version(from.accepted.value());
    if (from.observation) {
        to.mutable_observation()->set_version(from.observation->version.value());
        to.mutable_observation()->set_age_microseconds(to_microseconds(from.observation->age));
    }
    to.set_state(to_wire(from.state));
    for (const auto& item : from.held) {
        write(item, *to.add_held());
    }
    write(from.evidence, *to.mutable_evidence());
}

bool read(const wire::PullResponse& from, pull_response& to)
{
    to.version = kernel::version_number{from.version()};
    to.hash = configuration::chain_hash{from.hash()};
    to.accepted = kernel::version_number{from.accepted_version()};
    if (from.has_observation()) {
        to.observation = aged_observation{kernel::version_number{from.observation().version()},
                                          from_microseconds(from.observation().age_microseconds())};
    }
    to.held.resize(static_cast<std::size_t>(from.held_size()));
    for (int index = 0; index < from.held_size(); ++index) {
        if (!read(from.held(index), to.held[static_cast<std::size_t>(index)])) {
            return false;
        }
    }
    return read_state(from.state(), to.state) && read(from.evidence(), to.evidence);
}

void write(const record_request& from, wire::Payload& payload)
{
    payload.mutable_record_request()->set_since_version(from.since.value());
}

bool read(const wire::RecordRequest& from, record_request& to)
{
    to.since = kernel::version_number{from.since_version()};
    return true;
}

void write(const record_response& from, wire::Payload& payload)
{
    auto& to = *payload.mutable_record_response();
    if (from.snapshot) {
        to.set_snapshot(*from.snapshot);
    }
    for (const auto& item : from.records) {
        to.add_records(item);
    }
}

bool read(const wire::RecordResponse& from, record_response& to)
{
    if (!from.snapshot().empty()) {
        to.snapshot = from.snapshot();
    }
    to.records.assign(from.records().begin(), from.records().end());
    return true;
}

// A rate or burst that is negative or not a number would corrupt the sum of lent capacities.
bool read(double rate, double burst, limits::capacity& to)
{
    to = {rate, burst};
    return std::isfinite(rate) && std::isfinite(burst) && rate >= 0 && burst >= 0;
}

void write(const loan_requests& from, wire::Payload& payload)
{
    auto& to = *payload.mutable_loan_request();
    for (const auto& request : from.items) {
        auto& item = *to.add_items();
        item.set_customer(request.customer.value());
        item.set_configuration_version(request.configuration_version.value());
        item.set_sequence(request.sequence);
        item.set_rate_per_second(request.wanted.rate_per_second);
        item.set_burst(request.wanted.burst);
    }
}

bool read(const wire::LoanRequest& from, loan_requests& to)
{
    for (const auto& item : from.items()) {
        limits::loan_request request;
        request.customer = kernel::customer_name{item.customer()};
        request.configuration_version = kernel::version_number{item.configuration_version()};
        request.sequence = item.sequence();
        if (!is_name(item.customer()) || !read(item.rate_per_second(), item.burst(), request.wanted)) {
            return false;
        }
        to.items.push_back(std::move(request));
    }
    return true;
}

void write(const loan_response& from, wire::Payload& payload)
{
    auto& to = *payload.mutable_loan_response();
    for (const auto& loan : from.items) {
        auto& item = *to.add_items();
        item.set_customer(loan.customer.value());
        item.set_sequence(loan.sequence);
        item.set_rate_per_second(loan.granted.rate_per_second);
        item.set_burst(loan.granted.burst);
    }
}

bool read(const wire::LoanResponse& from, loan_response& to)
{
    for (const auto& item : from.items()) {
        limits::loan loan;
        loan.customer = kernel::customer_name{item.customer()};
        loan.sequence = item.sequence();
        if (!is_name(item.customer()) || !read(item.rate_per_second(), item.burst(), loan.granted)) {
            return false;
        }
        to.items.push_back(std::move(loan));
    }
    return true;
}

template <class Content, class Wire>
kernel::result<message> read_as(std::uint64_t request_id, const Wire& from)
{
    Content content;
    if (!read(from, content)) {
        return kernel::fail(peers_event::malformed_envelope, "payload");
    }
    return message{request_id, std::move(content)};
}

} // namespace

std::string encode_payload(const message& body)
{
    wire::Payload payload;
    payload.set_request_id(body.request_id);
    std::visit([&payload](const auto& content) { write(content, payload); }, body.content);
    return payload.SerializeAsString();
}

kernel::result<message> decode_payload(const std::string& bytes)
{
    wire::Payload payload;
    if (!payload.ParseFromString(bytes)) {
        return kernel::fail(peers_event::malformed_envelope, "payload");
    }
    const auto id = payload.request_id();
    switch (payload.content_case()) {
    case wire::Payload::kPullRequest:
        return read_as<pull_request>(id, payload.pull_request());
    case wire::Payload::kPullResponse:
        return read_as<pull_response>(id, payload.pull_response());
    case wire::Payload::kRecordRequest:
        return read_as<record_request>(id, payload.record_request());
    case wire::Payload::kRecordResponse:
        return read_as<record_response>(id, payload.record_response());
    case wire::Payload::kLoanRequest:
        return read_as<loan_requests>(id, payload.loan_request());
    case wire::Payload::kLoanResponse:
        return read_as<loan_response>(id, payload.loan_response());
    case wire::Payload::CONTENT_NOT_SET:
        break;
    }
    return kernel::fail(peers_event::malformed_envelope, "content");
}

} // namespace wisterialane::peers
