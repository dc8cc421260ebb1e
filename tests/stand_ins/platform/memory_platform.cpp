#include "tests/stand_ins/platform/memory_platform.h"

#include "libraries/platform/platform_events.h"

#include <utility>

namespace wisterialane::stand_ins {

using platform::platform_event;
using platform::row;
using platform::row_version;

kernel::result<std::optional<row>> memory_platform::read(std::string_view table_name, std::string_view key)
{
    return run_read<kernel::result<std::optional<row>>>({operation_kind::read_row, table_name, key},
                                                        [&] { return state_.read_row(table_name, key); });
}

kernel::result<std::vector<row>> memory_platform::scan(std::string_view table_name, std::string_view prefix,
                                                       std::string_view after, std::size_t limit)
{
    return run_read<kernel::result<std::vector<row>>>({operation_kind::scan_rows, table_name, prefix}, [&] {
        return state_.scan_rows(table_name, prefix, after, limit);
    });
}

// The writes copy their arguments, because a write held back runs after its caller has returned.
kernel::result<row_version> memory_platform::insert(std::string_view table_name, std::string_view key,
                                                    std::string_view value)
{
    return run_write<kernel::result<row_version>>(
        {operation_kind::insert_row, table_name, key},
        [this, table = std::string{table_name}, row_key = std::string{key}, text = std::string{value}] {
            return state_.insert_row(table, row_key, text);
        });
}

kernel::result<row_version> memory_platform::update(std::string_view table_name, std::string_view key,
                                                    std::string_view value, const row_version& expected)
{
    return run_write<kernel::result<row_version>>(
        {operation_kind::update_row, table_name, key},
        [this, table = std::string{table_name}, row_key = std::string{key}, text = std::string{value}, expected] {
            return state_.update_row(table, row_key, text, expected);
        });
}

kernel::result<void> memory_platform::remove(std::string_view table_name, std::string_view key,
                                             const row_version& expected)
{
    return run_write<kernel::result<void>>({operation_kind::remove_row, table_name, key},
                                           [this, table = std::string{table_name}, row_key = std::string{key},
                                            expected] { return state_.remove_row(table, row_key, expected); });
}

kernel::result<std::optional<std::string>> memory_platform::get(std::string_view key)
{
    return run_read<kernel::result<std::optional<std::string>>>({operation_kind::get_object, {}, key},
                                                                [&] { return state_.get_object(key); });
}

kernel::result<void> memory_platform::put(std::string_view key, std::string_view bytes)
{
    return run_write<kernel::result<void>>({operation_kind::put_object, {}, key},
                                           [this, object_key = std::string{key}, text = std::string{bytes}] {
                                               return state_.put_object(object_key, text);
                                           });
}

kernel::result<std::vector<platform::listed_host>> memory_platform::read()
{
    return run_read<kernel::result<std::vector<platform::listed_host>>>({operation_kind::read_hosts, {}, {}},
                                                                        [&] { return state_.read_hosts(clock_()); });
}

kernel::result<void> memory_platform::announce(const platform::listed_host& self)
{
    return run_write<kernel::result<void>>({operation_kind::announce_host, {}, self.instance.value()},
                                           [this, self]() -> kernel::result<void> {
                                               state_.announce_host(self, clock_());
                                               return {};
                                           });
}

void memory_platform::set_availability(availability value)
{
    const std::lock_guard lock{mutex_};
    availability_ = value;
}

void memory_platform::lose_next_write_answer(lost_write kind)
{
    const std::lock_guard lock{mutex_};
    losses_.push_back(kind);
}

void memory_platform::apply_held_writes()
{
    const std::lock_guard lock{mutex_};
    for (const auto& write : std::exchange(held_writes_, {})) {
        write();
    }
}

void memory_platform::set_hook(operation_hook hook)
{
    const std::lock_guard lock{mutex_};
    hook_ = std::move(hook);
}

void memory_platform::with_state(const std::function<void(platform_state&, kernel::time_point now)>& change)
{
    const std::lock_guard lock{mutex_};
    change(state_, clock_());
}

operation_counts memory_platform::counts() const
{
    const std::lock_guard lock{mutex_};
    return counts_;
}

template <class Result>
Result memory_platform::run_read(const operation& description, const std::function<Result()>& run)
{
    call_hook(description);
    const std::lock_guard lock{mutex_};
    ++counts_.reads;
    if (availability_ == availability::away) {
        return kernel::fail(platform_event::unreachable, std::string{description.key});
    }
    return run();
}

template <class Result>
Result memory_platform::run_write(const operation& description, std::function<Result()> run)
{
    call_hook(description);
    const std::lock_guard lock{mutex_};
    ++counts_.writes;
    if (availability_ == availability::away) {
        return kernel::fail(platform_event::unreachable, std::string{description.key});
    }
    if (losses_.empty()) {
        return run();
    }
    switch (losses_.front()) {
    case lost_write::after_effect:
        (void)run();
        break;
    case lost_write::before_effect:
        break;
    case lost_write::held_back:
        held_writes_.emplace_back([run = std::move(run)] { (void)run(); });
        break;
    }
    losses_.pop_front();
    return kernel::fail(platform_event::outcome_unknown, std::string{description.key});
}

void memory_platform::call_hook(const operation& description)
{
    operation_hook hook;
    {
        const std::lock_guard lock{mutex_};
        hook = hook_;
    }
    if (hook) {
        hook(description);
    }
}

} // namespace wisterialane::stand_ins
