#include "libraries/gateway/forwarded_headers.h"
#include "libraries/gateway/gateway_events.h"
#include "libraries/gateway/key_mask.h"
#include "libraries/gateway/key_text.h"
#include "libraries/gateway/request_target.h"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::gateway {
namespace {

const std::string key = "wlk_0123456789abcdefghijABCDEFGHIJ0123456789xyz";

std::string percent_encode_all(const std::string& text)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return encoded;
}

// Guards against a key that reaches an upstream in a header (promise P3).
TEST_CASE("request_headers_for_upstream: key in any header: drops what holds it")
{
    REQUIRE(is_key(key));
    http::header_list headers;
    headers.add("Authorization", "Bearer " + key);
    headers.add("Wisterialane-Key", key);
    headers.add("X-Api-Key", key);
    headers.add("Referer", "https://example.org/?key=" + key);
    headers.add("X-Encoded", percent_encode_all(key));
    headers.add("X-Twice", percent_encode_all(percent_encode_all(key)));
    headers.add("X-" + key, "name");
    headers.add("Cookie", "theme=dark; session=" + key + "; lang=fr");
    headers.add("Accept", "application/json");
    const auto kept = request_headers_for_upstream(headers);
    for (const auto& field : kept.fields()) {
        CAPTURE(field.name);
        CHECK_FALSE(holds_key(field.name + field.value));
    }
    CHECK(kept.find("Cookie") == "theme=dark; lang=fr");
    CHECK(kept.find("Accept") == "application/json");
    CHECK(kept.fields().size() == 2);
}

// Guards against a caller who forges what only this system may say, such as the customer's name.
TEST_CASE("request_headers_for_upstream: own and hop-by-hop headers: drops them")
{
    http::header_list headers;
    headers.add("wisterialane-customer", "someone-else");
    headers.add("Connection", "close, X-Hop");
    headers.add("X-Hop", "1");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("Expect", "100-continue");
    headers.add("X-End", "1");
    const auto kept = request_headers_for_upstream(headers);
    REQUIRE(kept.fields().size() == 1);
    CHECK(kept.fields()[0].name == "X-End");
}

// Guards against a request that runs for a customer other than the one whose key the reader of the log sees (P2).
TEST_CASE("presented_key: two different keys: fails with conflicting_keys")
{
    http::header_list headers;
    headers.add("Authorization", "Bearer " + key);
    headers.add("Wisterialane-Key", key);
    REQUIRE(presented_key(headers));
    CHECK(*presented_key(headers) == key);
    headers.add("Wisterialane-Key", key.substr(0, key.size() - 1) + "0");
    const auto presented = presented_key(headers);
    REQUIRE_FALSE(presented);
    CHECK(presented.error().is(gateway_event::conflicting_keys));
}

// Guards against a key that reaches an upstream because a body arrived in pieces (P3).
TEST_CASE("key_mask: any division of a body into pieces: masks each key and keeps the length")
{
    CHECK(rc::check([] {
        const auto before = *rc::gen::container<std::string>(rc::gen::elementOf(std::string{"abwlk_0 \n"}));
        const auto after = *rc::gen::container<std::string>(rc::gen::elementOf(std::string{"abwlk_0 \n"}));
        const auto body = before + key + after + key;
        key_mask mask;
        std::string sent;
        std::size_t position = 0;
        while (position < body.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 60);
            sent += mask.push(std::string_view{body}.substr(position, size));
            position += size;
        }
        sent += mask.finish();
        RC_ASSERT(sent.size() == body.size());
        RC_ASSERT(find_key(sent) == std::string::npos);
        RC_ASSERT(sent.find(key) == std::string::npos);
    }));
}

// Guards against a damaged photo: bytes that are no key must pass unchanged (P6).
TEST_CASE("key_mask: body without keys: passes unchanged")
{
    CHECK(rc::check([] {
        const auto pieces = *rc::gen::arbitrary<std::vector<std::string>>();
        key_mask mask;
        std::string body;
        std::string sent;
        for (const auto& piece : pieces) {
            body += piece;
            sent += mask.push(piece);
        }
        sent += mask.finish();
        RC_PRE(find_key(body) == std::string::npos);
        RC_ASSERT(sent == body);
    }));
}

// Guards against a path that an upstream reads as that of a keyed route while the host matched an open one (P2).
TEST_CASE("parse_request_target: ambiguous path: fails with malformed_target")
{
    for (const std::string target : {"", "*", "http://host/a", "/a/../b", "/a/./b", "/a//b", "//a", "/a%2fb", "/a%2Fb",
                                     "/a%5cb", "/a\\b", "/%2e%2e/a", "/a/%2E", "/a%00", "/a%", "/a%4", "/a%zz"}) {
        CAPTURE(target);
        const auto parsed = parse_request_target(target);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().is(gateway_event::malformed_target));
    }
}

TEST_CASE("parse_request_target: encoded letters: are decoded for route matching only")
{
    const auto parsed = parse_request_target("/%61b/c%20d/?x=%61");
    REQUIRE(parsed);
    CHECK(parsed->normalized_path == "/ab/c%20d/");
    CHECK(parsed->path == "/%61b/c%20d/");
    CHECK(parsed->query == "x=%61");
}

TEST_CASE("parse_request_target: key in the path: fails with key_in_path")
{
    const auto parsed = parse_request_target("/a/" + percent_encode_all(key));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().is(gateway_event::key_in_path));
}

TEST_CASE("query_without_keys: parameters with and without keys: keeps the others in order")
{
    CHECK(query_without_keys("a=1&key=" + key + "&b=%20&c=" + percent_encode_all(key) + "&d") == "a=1&b=%20&d");
    CHECK(query_parameter("a=1&service=x%20y", "service") == "x y");
    CHECK_FALSE(query_parameter("a=1", "service"));
}

} // namespace
} // namespace wisterialane::gateway
