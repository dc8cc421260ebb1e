#pragma once

#include "kernel/clock.h"
#include "libraries/platform/host_list.h"
#include "libraries/platform/object_store.h"
#include "libraries/platform/table.h"
#include "tests/stand_ins/platform/platform_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace wisterialane::stand_ins {

enum class availability { available, away };

/// What happens to a write whose answer is lost; the caller gets `platform_event::outcome_unknown` in each case.
enum class lost_write {
    /// It takes effect at once.
    after_effect,
    /// It never takes effect.
    before_effect,
    /// It takes effect in `apply_held_writes()`, as a request does that waits in a queue for longer than its sender.
    held_back,
};

enum class operation_kind {
    read_row,
    scan_rows,
    insert_row,
    update_row,
    remove_row,
    get_object,
    put_object,
    read_hosts,
    announce_host
};

/// An operation that is about to run. The views are valid during the hook.
struct operation {
    operation_kind kind = operation_kind::read_row;
    /// Empty for objects and hosts.
    std::string_view table_name;
    std::string_view key;
};

struct operation_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// The platform in process, with faults, for tests. Thread-safe.
class memory_platform final : public platform::table, public platform::object_store, public platform::host_list {
public:
    using operation_hook = std::function<void(const operation&)>;

    /// The clock drives the lag and expiry of the host list.
    explicit memory_platform(kernel::clock_source clock = kernel::boot_clock::now) : clock_{std::move(clock)} {}

    kernel::result<std::optional<platform::row>> read(std::string_view table_name, std::string_view key) override;
    kernel::result<std::vector<platform::row>> scan(std::string_view table_name, std::string_view prefix,
                                                    std::string_view after, std::size_t limit) override;
    kernel::result<platform::row_version> insert(std::string_view table_name, std::string_view key,
                                                 std::string_view value) override;
    kernel::result<platform::row_version> update(std::string_view table_name, std::string_view key,
                                                 std::string_view value,
                                                 const platform::row_version& expected) override;
    kernel::result<void> remove(std::string_view table_name, std::string_view key,
                                const platform::row_version& expected) override;

    kernel::result<std::optional<std::string>> get(std::string_view key) override;
    kernel::result<void> put(std::string_view key, std::string_view bytes) override;

    kernel::result<std::vector<platform::listed_host>> read() override;
    kernel::result<void> announce(const platform::listed_host& self) override;

    /// While away, every operation fails with `platform_event::unreachable` and has no effect.
    void set_availability(availability value);

    /// Loses the answer of the next write. Calls add up: each concerns one more write, in their order.
    void lose_next_write_answer(lost_write kind = lost_write::after_effect);

    /// Runs the writes held back so far, in their order; a write whose condition does not hold any more has no effect.
    void apply_held_writes();

    /// Called before each operation, outside of the lock, so that it may run other operations and change the faults.
    void set_hook(operation_hook hook);

    /// Runs `change` on the stored state, for host list lag, expiry and upstreams.
    void with_state(const std::function<void(platform_state&, kernel::time_point now)>& change);

    [[nodiscard]] operation_counts counts() const;

private:
    template <class Result>
    Result run_read(const operation& description, const std::function<Result()>& run);
    template <class Result>
    Result run_write(const operation& description, std::function<Result()> run);
    void call_hook(const operation& description);

    kernel::clock_source clock_;
    mutable std::mutex mutex_;
    platform_state state_;
    availability availability_ = availability::available;
    std::deque<lost_write> losses_;
    std::vector<std::function<void()>> held_writes_;
    operation_hook hook_;
    operation_counts counts_;
};

} // namespace wisterialane::stand_ins
