#include "libraries/platform/http_platform.h"

#include "libraries/http/socket_address.h"

namespace wisterialane::platform {

kernel::result<std::unique_ptr<http_platform>> http_platform::create(const http_platform_settings& settings)
{
    if (const auto parsed = http::parse_socket_address(settings.address); !parsed) {
        return tl::unexpected{parsed.error()};
    }
    return std::unique_ptr<http_platform>{new http_platform{settings}};
}

http_platform::http_platform(const http_platform_settings& settings)
    : client_{settings.address, settings.request_timeout, settings.clock}
{}

} // namespace wisterialane::platform
