#pragma once

#include "kernel/failure.h"
#include "kernel/service.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace wisterialane::kernel {

/// The kernel of the process: owns the services, starts them in the order of registration, stops them in reverse, and
/// finds them by name. Registration ends before `start_all`; `find` is then safe from any thread.
class service_registry {
public:
    /// Takes ownership. Fails with `service_name_taken` if the name is in use.
    result<void> add(std::unique_ptr<service> new_service);

    /// The service with this name and type, or null.
    template <class T>
    [[nodiscard]] T* find(std::string_view name) const
    {
        return dynamic_cast<T*>(find_service(name));
    }

    /// Starts all services. On a failure, stops those already started and returns the failure.
    result<void> start_all();
    void stop_all();

private:
    [[nodiscard]] service* find_service(std::string_view name) const;

    std::vector<std::unique_ptr<service>> services_;
    std::size_t started_count_ = 0;
};

} // namespace wisterialane::kernel
