#include "kernel/kernel_events.h"
#include "kernel/service_registry.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::kernel {
namespace {

enum class start_behaviour { succeeds, fails };

class recording_service : public service {
public:
    recording_service(std::string name, std::vector<std::string>& calls, start_behaviour behaviour)
        : name_{std::move(name)}, calls_{calls}, behaviour_{behaviour}
    {}

    [[nodiscard]] std::string_view name() const override { return name_; }

    result<void> start() override
    {
        calls_.push_back("start " + name_);
        if (behaviour_ == start_behaviour::fails) {
            return fail(kernel_event::service_start_failed, name_);
        }
        return {};
    }

    void stop() override { calls_.push_back("stop " + name_); }

private:
    std::string name_;
    std::vector<std::string>& calls_;
    start_behaviour behaviour_;
};

class registry_fixture {
protected:
    void add(const std::string& name, start_behaviour behaviour = start_behaviour::succeeds)
    {
        REQUIRE(registry_.add(std::make_unique<recording_service>(name, calls_, behaviour)));
    }

    std::vector<std::string> calls_;
    service_registry registry_;
};

// Guards against a listener that is still running when the services that it calls have stopped.
TEST_CASE_FIXTURE(registry_fixture, "service_registry: stopped: stops services in reverse order")
{
    add("first");
    add("second");
    REQUIRE(registry_.start_all());
    registry_.stop_all();
    CHECK(calls_ == std::vector<std::string>{"start first", "start second", "stop second", "stop first"});
}

// Guards against threads that still run after a failed start.
TEST_CASE_FIXTURE(registry_fixture, "service_registry: a start fails: stops only what was started")
{
    add("first");
    add("second", start_behaviour::fails);
    const auto started = registry_.start_all();
    REQUIRE_FALSE(started);
    CHECK(started.error().is(kernel_event::service_start_failed));
    CHECK(calls_ == std::vector<std::string>{"start first", "start second", "stop first"});
}

// Guards against a service that silently replaces another one of the same name.
TEST_CASE_FIXTURE(registry_fixture, "service_registry: name taken: refuses the second service")
{
    add("first");
    const auto added = registry_.add(std::make_unique<recording_service>("first", calls_, start_behaviour::succeeds));
    REQUIRE_FALSE(added);
    CHECK(added.error().is(kernel_event::service_name_taken));
}

TEST_CASE_FIXTURE(registry_fixture, "service_registry: find: returns the service only if it has the requested type")
{
    class other_service : public recording_service {};

    add("first");
    CHECK(registry_.find<recording_service>("first") != nullptr);
    CHECK(registry_.find<other_service>("first") == nullptr);
    CHECK(registry_.find<recording_service>("second") == nullptr);
}

} // namespace
} // namespace wisterialane::kernel
