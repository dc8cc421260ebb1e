#include "libraries/configuration/record.h"
#include "libraries/limits/limits_events.h"
#include "services/limit_service.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <shared_mutex>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::services {
namespace {

using namespace std::chrono_literals;
using kernel::customer_name;
using kernel::version_number;
using limits::admission_outcome;

class settable_view : public configuration::configuration_view {
public:
    void read(const std::function<void(const configuration::configuration_set&)>& use) const override
    {
        const std::shared_lock lock{mutex_};
        use(set_);
    }

    [[nodiscard]] configuration::freshness freshness_at(kernel::time_point /*now*/) const override
    {
        return fresh_ ? configuration::freshness::fresh : configuration::freshness::stale;
    }

    [[nodiscard]] version_number settled_version(kernel::time_point /*now*/) const override
    {
        return version_number{settled_};
    }

    [[nodiscard]] configuration::version_progress progress_of(version_number /*version*/,
                                                              kernel::time_point /*now*/) const override
    {
        return {};
    }

    void poll_now() override {}

    void add_listener(listener notify) override { listeners_.push_back(std::move(notify)); }

    void apply(std::vector<configuration::change> changes, std::optional<configuration::roster> hosts)
    {
        const std::unique_lock lock{mutex_};
        const auto next =
            configuration::make_record(set_.version(), set_.hash(), kernel::proposal_id{"proposal"},
                                       kernel::operator_name{"operator"}, std::move(changes), std::move(hosts));
        REQUIRE(set_.apply(next));
        for (const auto& notify : listeners_) {
            notify(set_);
        }
        settled_ = set_.version().value();
    }

    void set_fresh(bool fresh) { fresh_ = fresh; }

private:
    mutable std::shared_mutex mutex_;
    configuration::configuration_set set_;
    std::vector<listener> listeners_;
    std::atomic<bool> fresh_ = true;
    std::atomic<std::uint64_t> settled_ = 0;
};

// Two hosts that reach one another. The small burst gives the customer one home.
class service_fixture {
protected:
    service_fixture()
    {
        for (const auto* name : {"a", "b"}) {
            services_.push_back(std::make_unique<limit_service>(
                kernel::instance_id{name}, view_, [this] { return kernel::boot_clock::now() + skipped_.load(); },
                [this, name](const auto& lender, const auto& requests) { return ask(name, lender, requests); }));
        }
        const configuration::limit limit{kernel::limit_name{"modest"}, 200, 3};
        view_.apply({configuration::put_object{limit},
                     configuration::put_object{configuration::customer{customer_, limit.name, ""}}},
                    configuration::roster{{entry("a"), entry("b")}});
        for (const auto& item : services_) {
            REQUIRE(item->start());
        }
        const auto home = services_[0]->home_addresses(customer_);
        REQUIRE(home.size() == 1);
        home_ = home[0].instance.value() == "a" ? services_[0].get() : services_[1].get();
        other_ = home_ == services_[0].get() ? services_[1].get() : services_[0].get();
    }

    service_fixture(const service_fixture&) = delete;
    service_fixture& operator=(const service_fixture&) = delete;

    ~service_fixture()
    {
        for (const auto& item : services_) {
            item->stop();
        }
    }

    static configuration::roster_entry entry(const std::string& name)
    {
        return {kernel::instance_id{name}, kernel::host_name{name}, {}, {}, {}, {}};
    }

    kernel::result<std::vector<limits::loan>> ask(const std::string& borrower,
                                                  const configuration::roster_entry& lender,
                                                  const std::vector<limits::loan_request>& requests)
    {
        // Takes the borrower's lock, so that a call under that lock would not return.
        static_cast<void>(services_[borrower == "a" ? 0 : 1]->active_customers());
        if (cut_) {
            return kernel::fail(limits::limits_event::lender_unreachable, lender.host.value());
        }
        auto& target = *services_[lender.instance.value() == "a" ? 0 : 1];
        return target.handle_loan_requests(kernel::instance_id{borrower}, requests, {});
    }

    // Waits for the services' threads to act; bounded, as they plan every 50 ms.
    template <class Condition>
    static bool comes_true(Condition condition)
    {
        for (auto attempt = 0; attempt < 100; ++attempt) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    bool admits(limit_service& service) { return service.admit(customer_, {}).outcome == admission_outcome::admitted; }

    // Skips time step by step, because the services count the delay of a settled version from when they see it.
    void let_shares_settle(limit_service& home)
    {
        REQUIRE(comes_true([this, &home] {
            skipped_ = skipped_.load() + 500ms;
            return admits(home);
        }));
    }

    const customer_name customer_{"asiis"};
    settable_view view_;
    std::atomic<kernel::duration> skipped_{kernel::duration::zero()};
    std::atomic<bool> cut_ = false;
    std::vector<std::unique_ptr<limit_service>> services_;
    limit_service* home_ = nullptr;
    limit_service* other_ = nullptr;
};

// Guards against a share that is used before it is in force, and a borrower that cannot reach one that is.
TEST_CASE_FIXTURE(service_fixture,
                  "limit_service: share settles: the home admits, and the other host borrows while a request waits")
{
    CHECK_FALSE(admits(*home_));
    CHECK_FALSE(admits(*other_));
    let_shares_settle(*home_);
    CHECK(comes_true([this] { return admits(*other_); }));
    CHECK(services_[0]->admit(customer_name{"unknown"}, {}).outcome == admission_outcome::refused);
    CHECK(services_[0]->active_customers() == 1);
}

// Guards against admissions and loans from a share that may have moved.
TEST_CASE_FIXTURE(service_fixture, "limit_service: stale configuration: neither admits nor lends")
{
    let_shares_settle(*home_);
    view_.set_fresh(false);
    CHECK_FALSE(admits(*home_));
    CHECK(
        home_->handle_loan_requests(kernel::instance_id{"c"}, {{customer_, version_number{1}, 1, {1, 1}}}, {}).empty());
    view_.set_fresh(true);
    CHECK(
        home_->handle_loan_requests(kernel::instance_id{"c"}, {{customer_, version_number{1}, 1, {1, 1}}}, {}).size() ==
        1);
    CHECK(
        home_->handle_loan_requests(kernel::instance_id{"c"}, {{customer_, version_number{1}, 1, {1, 1}}}, {}).empty());
}

// Guards against a refusal that is late, has no retry time or is missing from the status page.
TEST_CASE_FIXTURE(service_fixture, "limit_service: lender unreachable: refuses within the longest wait and reports it")
{
    let_shares_settle(*home_);
    cut_ = true;
    const auto before = std::chrono::steady_clock::now();
    const auto refused = other_->admit(customer_, {});
    CHECK(std::chrono::steady_clock::now() - before < 1s);
    CHECK(refused.outcome == admission_outcome::refused);
    CHECK(refused.retry_after >= 100ms);
    const auto now = kernel::boot_clock::now() + skipped_.load();
    REQUIRE(other_->recently_refused(now).size() == 1);
    CHECK(other_->recently_refused(now)[0].customer == customer_);
    CHECK(other_->recently_refused(now + 61s).empty());
    cut_ = false;
    CHECK(comes_true([this] { return admits(*other_); }));
}

// Guards against memory that grows with the configured customers, and against a first request after a pause that finds
// no token although the share was unused.
TEST_CASE_FIXTURE(service_fixture, "limit_service: customer idle: state is dropped, and the next request finds a token")
{
    let_shares_settle(*home_);
    CHECK(comes_true([this] { return admits(*other_); }));
    CHECK(comes_true([this] {
        skipped_ = skipped_.load() + 10s;
        return home_->active_customers() + other_->active_customers() == 0;
    }));
    cut_ = true;
    CHECK(admits(*home_));
    CHECK(admits(*home_));
}

// Guards against a roster change or a lowered limit that is applied late, and a raised one that is used early.
TEST_CASE_FIXTURE(service_fixture, "limit_service: home replaced: the share moves when the new roster has settled")
{
    let_shares_settle(*home_);
    // Without loans, a host admits from its own share only.
    cut_ = true;
    const std::string survivor = home_ == services_[0].get() ? "b" : "a";
    view_.apply({}, configuration::roster{{entry(survivor)}});
    CHECK_FALSE(admits(*home_));
    CHECK_FALSE(admits(*other_));
    let_shares_settle(*other_);
    CHECK_FALSE(admits(*home_));
}

} // namespace
} // namespace wisterialane::services
