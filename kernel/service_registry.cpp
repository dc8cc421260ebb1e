#include "kernel/service_registry.h"

#include "kernel/event_log.h"
#include "kernel/kernel_events.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wisterialane::kernel {

result<void> service_registry::add(std::unique_ptr<service> new_service)
{
    if (find_service(new_service->name()) != nullptr) {
        return fail(kernel_event::service_name_taken, std::string{new_service->name()});
    }
    services_.push_back(std::move(new_service));
    return {};
}

result<void> service_registry::start_all()
{
    for (const auto& registered : services_) {
        auto started = registered->start();
        if (!started) {
            stop_all();
            return started;
        }
        ++started_count_;
        log_event(severity::information, kernel_event::service_started, {{"service", std::string{registered->name()}}});
    }
    return {};
}

void service_registry::stop_all()
{
    while (started_count_ > 0) {
        --started_count_;
        services_[started_count_]->stop();
    }
}

service* service_registry::find_service(std::string_view name) const
{
    const auto found = std::find_if(services_.begin(), services_.end(),
                                    [name](const auto& registered) { return registered->name() == name; });
    return found == services_.end() ? nullptr : found->get();
}

} // namespace wisterialane::kernel
