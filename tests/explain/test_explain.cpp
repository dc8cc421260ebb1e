#include "utilities/wisterialanectl/request_explanation.h"

#include <sstream>

#include <doctest/doctest.h>

namespace wisterialane::control {
namespace {

constexpr const char* lines =
    "  0.2821 edge-2 time=2000 event=11045 name=attempt_failed request=r1 upstream=u1 outcome=broken elapsed_ms=1\n"
    "time=1500 event=11034 name=upstream_suspected upstream=u1 service=s outcome=broken request=r0\n"
    "time=1600 event=11034 name=upstream_suspected upstream=u2 service=s outcome=broken request=r0\n"
    "time=2001 event=11041 name=request_failed request=r1 route=a customer=\"big \\\"seller\\\"\" status=502 "
    "reason=upstream_failed\n"
    "time=2002 event=11042 name=request_refused request=r2 status=429 reason=rate\n"
    "time=2003 event=11041 na\n"
    "I1204 a line of another program\n"
    "time=2004 event=x name=request_failed request=r1\n"
    "time=2005 event=11041 name=request_failed request=\"r1\n";

request_explanation explain(const std::string& request, const std::string& text = lines)
{
    std::istringstream from{text};
    return explain_request(from, request);
}

} // namespace

TEST_CASE("explain_request: failed at an upstream: cause, and what was believed of that upstream, in order of time")
{
    const auto explanation = explain("r1");
    REQUIRE(explanation.lines.size() == 3);
    CHECK(explanation.lines[0].name == "upstream_suspected");
    CHECK(explanation.lines[0].field("upstream") == "u1");
    CHECK(explanation.lines[1].name == "attempt_failed");
    CHECK(explanation.lines[2].field("customer") == "big \"seller\"");
    CHECK(explanation.cause.rfind("502: an upstream broke the exchange", 0) == 0);
}

TEST_CASE("explain_request: refused: names the reason")
{
    CHECK(explain("r2").cause.rfind("429: the customer's rate", 0) == 0);
}

// Guards against half lines and foreign lines that stop the command or are taken for decisions.
TEST_CASE("explain_request: half lines and lines of other programs: are counted and skipped")
{
    CHECK(explain("r1").skipped == 4);
    CHECK(explain("r1", "\n\nnothing here\n").lines.empty());
}

TEST_CASE("explain_request: unknown request: has no lines and no cause")
{
    const auto explanation = explain("r9");
    CHECK(explanation.lines.empty());
    CHECK(explanation.cause.empty());
}

TEST_CASE("print_table: explanation: the cause comes first")
{
    std::ostringstream to;
    print_table(to, "r2", explain("r2"));
    CHECK(to.str().rfind("request r2: 429: the customer's rate", 0) == 0);
}

TEST_CASE("print_json: explanation: holds the same lines")
{
    std::ostringstream to;
    print_json(to, "r1", explain("r1"));
    CHECK(to.str().find("\"attempt_failed\"") != std::string::npos);
    CHECK(to.str().find("\"skipped\": 4") != std::string::npos);
}

} // namespace wisterialane::control
