#include "libraries/proxy/one_shot_timer.h"

#include <utility>

namespace wisterialane::proxy {

void one_shot_timer::start(kernel::duration delay, std::function<void()> on_expiry)
{
    const auto generation = ++*generation_;
    timer_.expires_after(delay);
    timer_.async_wait([current = generation_, generation, on_expiry = std::move(on_expiry)](error_code) {
        if (*current == generation) {
            on_expiry();
        }
    });
}

void one_shot_timer::cancel()
{
    ++*generation_;
    timer_.cancel();
}

} // namespace wisterialane::proxy
