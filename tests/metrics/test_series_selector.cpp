#include "libraries/metrics/series_selector.h"

#include <chrono>

#include <doctest/doctest.h>

namespace wisterialane::metrics {
namespace {

using namespace std::chrono_literals;

class selector_fixture {
protected:
    std::string label(const char* customer, const char* metrics_class = "small")
    {
        return selector_.label_for(kernel::customer_name{customer}, metrics_class, now_);
    }

    series_selector selector_{2, 10min};
    kernel::time_point now_;
};

// Guards against memory that grows with the number of customers.
TEST_CASE_FIXTURE(selector_fixture, "series_selector: all places taken: counts further customers by class")
{
    CHECK(label("a") == "a");
    CHECK(label("b") == "b");
    CHECK(label("c") == "class:small");
    CHECK(label("d", "") == "class:other");
    CHECK(label("a") == "a");
}

// Guards against places that are held for ever by customers who were active once.
TEST_CASE_FIXTURE(selector_fixture, "series_selector: customer idle for the limit: frees its place")
{
    CHECK(label("a") == "a");
    CHECK(label("b") == "b");
    now_ += 9min;
    CHECK(label("b") == "b");
    now_ += 1min;
    const auto expired = selector_.expire(now_);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].value() == "a");
    CHECK(label("c") == "c");
    CHECK(label("a") == "class:small");
}

} // namespace
} // namespace wisterialane::metrics
