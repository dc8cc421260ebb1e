#include "libraries/peers/envelope_codec.h"
#include "libraries/peers/peers_events.h"

#include <chrono>
#include <limits>
#include <string>
#include <variant>

#include <doctest/doctest.h>

namespace wisterialane::peers {
namespace {

const fleet_secret secret{"a fleet's secret"};
const kernel::instance_id sender{"0123456789abcdef"};

class codec_fixture {
protected:
    [[nodiscard]] envelope seal(message_content content) const
    {
        auto sealed = codec_.seal({7, std::move(content)});
        REQUIRE(sealed);
        return std::move(*sealed);
    }

    template <class Content>
    [[nodiscard]] Content round_trip(const Content& content) const
    {
        const auto opened = codec_.open(seal(content));
        REQUIRE(opened);
        CHECK(opened->sender == sender);
        CHECK(opened->body.request_id == 7);
        REQUIRE(std::holds_alternative<Content>(opened->body.content));
        return std::get<Content>(opened->body.content);
    }

    void check_refused(const envelope& sealed, peers_event reason) const
    {
        const auto opened = codec_.open(sealed);
        REQUIRE_FALSE(opened);
        CHECK(opened.error().is(reason));
    }

    envelope_codec codec_{secret, sender};
};

// Guards against fields that get lost, and against ages that look younger after the journey.
TEST_CASE_FIXTURE(codec_fixture, "envelope_codec: pull response: comes back whole, with ages rounded up")
{
    pull_response response;
    response.version = kernel::version_number{12};
    response.hash = configuration::chain_hash{"ab"};
    response.accepted = kernel::version_number{11};
    response.observation = aged_observation{kernel::version_number{12}, std::chrono::nanoseconds{1500}};
    response.state = host_state::draining;
    response.held = {
        {sender, kernel::version_number{10}, std::chrono::milliseconds{3}, host_state::serving},
        {kernel::instance_id{"short"}, kernel::version_number{9}, std::nullopt, host_state::departed},
    };
    response.evidence.reporter = sender;
    response.evidence.sequence = 3;
    response.evidence.counters = {{kernel::upstream_name{"u1"}, 5, 6}};
    response.evidence.crashes = {{std::numeric_limits<std::uint64_t>::max(), kernel::upstream_name{"u2"}}};
    const auto received = round_trip(response);
    CHECK(received.version == response.version);
    CHECK(received.hash == response.hash);
    CHECK(received.accepted == response.accepted);
    CHECK(received.observation->age == std::chrono::microseconds{2});
    CHECK(received.state == host_state::draining);
    CHECK(received.held == response.held);
    CHECK(received.evidence.counters.at(0).bad == 6);
    CHECK(received.evidence.crashes.at(0).fingerprint == std::numeric_limits<std::uint64_t>::max());
}

// Guards against loans whose amounts change between borrower and lender.
TEST_CASE_FIXTURE(codec_fixture, "envelope_codec: loans and records: come back whole")
{
    const loan_requests requests{{{kernel::customer_name{"c"}, kernel::version_number{4}, 9, {0.1, 2.5}}}};
    const auto received = round_trip(requests).items.at(0);
    CHECK(received.customer == kernel::customer_name{"c"});
    CHECK(received.configuration_version == kernel::version_number{4});
    CHECK(received.sequence == 9);
    CHECK(received.wanted == limits::capacity{0.1, 2.5});
    CHECK(round_trip(loan_response{{{kernel::customer_name{"c"}, 9, {1, 2}}}}).items.at(0).granted ==
          limits::capacity{1, 2});
    CHECK(round_trip(record_request{kernel::version_number{5}}).since == kernel::version_number{5});
    CHECK(round_trip(record_response{"text", {"one", "two"}}).records.size() == 2);
}

// Guards against a negative or undefined loan, which would break the sum of capacities.
TEST_CASE_FIXTURE(codec_fixture, "envelope_codec: impossible amount: is malformed")
{
    const kernel::customer_name customer{"c"};
    check_refused(seal(loan_response{{{customer, 1, {-1, 0}}}}), peers_event::malformed_envelope);
    check_refused(seal(loan_response{{{customer, 1, {0, std::numeric_limits<double>::quiet_NaN()}}}}),
                  peers_event::malformed_envelope);
}

// Guards against messages of strangers, and against a sender who is exchanged on the way.
TEST_CASE_FIXTURE(codec_fixture, "envelope_codec: stranger or altered envelope: has the wrong HMAC")
{
    const envelope_codec stranger{fleet_secret{"another secret"}, sender};
    check_refused(*stranger.seal({1, pull_request{}}), peers_event::wrong_hmac);
    auto altered = seal(pull_request{});
    altered.sender = "fedcba9876543210";
    check_refused(altered, peers_event::wrong_hmac);
    altered = seal(pull_request{kernel::version_number{3}, host_state::serving, {}});
    altered.payload.back() = static_cast<char>(altered.payload.back() ^ 1);
    check_refused(altered, peers_event::wrong_hmac);
    altered = seal(pull_request{});
    altered.hmac.clear();
    check_refused(altered, peers_event::wrong_hmac);
}

// Guards against input that exhausts memory or comes from another version of the protocol.
TEST_CASE_FIXTURE(codec_fixture, "envelope_codec: oversized, unknown version, malformed: fail by their type")
{
    auto sealed = seal(pull_request{});
    sealed.version = protocol_version + 1;
    check_refused(sealed, peers_event::unknown_protocol_version);
    sealed = seal(pull_request{});
    sealed.payload.resize(maximum_payload_bytes + 1);
    check_refused(sealed, peers_event::envelope_too_large);
    sealed = seal(pull_request{});
    sealed.sender.clear();
    check_refused(sealed, peers_event::malformed_envelope);
    const auto too_large = codec_.seal({1, record_response{std::string(maximum_payload_bytes, 'x'), {}}});
    REQUIRE_FALSE(too_large);
    CHECK(too_large.error().is(peers_event::envelope_too_large));
}

} // namespace
} // namespace wisterialane::peers
