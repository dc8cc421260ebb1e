#include "libraries/gateway/retry_budget.h"

#include <doctest/doctest.h>

namespace wisterialane::gateway {
namespace {

// Guards against retries that double the load of an overloaded service.
TEST_CASE("retry_budget: every request fails: allows a tenth of the requests to be retried")
{
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.record_request();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries <= 110);
    CHECK(retries >= 100);
}

} // namespace
} // namespace wisterialane::gateway
