#include "libraries/platform/http_host_list.h"

#include "libraries/encoding/percent_encoding.h"
#include "libraries/platform/listed_host_codec.h"
#include "libraries/platform/platform_events.h"

namespace wisterialane::platform {

kernel::result<std::vector<listed_host>> http_host_list::read()
{
    const auto answer = client_.read("/hosts");
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    if (answer->head.status != 200) {
        return kernel::fail(platform_event::unexpected_answer, "/hosts");
    }
    return read_listed_hosts(answer->body);
}

kernel::result<void> http_host_list::announce(const listed_host& self)
{
    http::request_head head{"PUT", "/hosts/" + encoding::percent_encode(self.instance.value()), {}};
    head.headers.add("Content-Type", "application/json");
    const auto answer = client_.write(head, write_listed_host(self));
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    return {};
}

} // namespace wisterialane::platform
