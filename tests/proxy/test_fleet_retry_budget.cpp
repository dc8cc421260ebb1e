#include "libraries/proxy/fleet_retry_budget.h"
#include "tests/proxy/proxy_fixture.h"

#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

constexpr retry_allowance allowance{0.2, 222};
constexpr seconds budget_window{10};
const kernel::service_name service{"certificates"};

/// One host that receives 100 requests a second, and retries as often as it may in the intervals that a test names.
class retrying_host {
public:
    retrying_host()
    {
        budget_.configure(allowance);
        budget_.set_slack_fraction(1);
    }

    void run_until(kernel::time_point end, bool retry)
    {
        for (; now_ < end; now_ += milliseconds{10}) {
            budget_.record_request(service, now_);
            requests_.push_back(now_);
            while (retry && budget_.try_consume(service, now_)) {
                retries_.push_back(now_);
            }
            check_window();
        }
    }

private:
    static std::size_t count_since(const std::deque<kernel::time_point>& times, kernel::time_point start)
    {
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(), [start](auto time) { return time > start; }));
    }

    void check_window() const
    {
        const auto start = now_ - budget_window;
        const auto requests = static_cast<double>(count_since(requests_, start));
        const auto retries = static_cast<double>(count_since(retries_, start));
        REQUIRE(retries <= allowance.ratio * requests + allowance.slack);
    }

    fleet_retry_budget budget_;
    kernel::time_point now_ = test_start;
    std::deque<kernel::time_point> requests_;
    std::deque<kernel::time_point> retries_;
};

} // namespace

// Guards against twice the allowed retries within the window (BUDGET on asiis-gw-grown): retries were forgotten up to a
// second before the window had passed.
TEST_CASE(
    "fleet_retry_budget: all retries at the end of one second and again nine seconds later: stays within the bound")
{
    retrying_host host;
    host.run_until(test_start + milliseconds{10900}, false);
    host.run_until(test_start + milliseconds{11000}, true);
    host.run_until(test_start + milliseconds{20000}, false);
    host.run_until(test_start + milliseconds{20500}, true);
}

} // namespace wisterialane::proxy
