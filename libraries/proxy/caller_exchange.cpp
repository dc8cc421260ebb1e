#include "libraries/proxy/caller_exchange.h"

#include "libraries/proxy/caller_session.h"

namespace wisterialane::proxy {

caller_exchange::caller_exchange(std::shared_ptr<caller_session> session, http_request request,
                                 kernel::time_point received_at)
    : session_{std::move(session)}, request_{std::move(request)}, received_at_{received_at}
{}

caller_exchange::~caller_exchange() = default;

void caller_exchange::respond(caller_response response)
{
    session_->accept_response(*this, std::move(response));
}

void caller_exchange::abort()
{
    session_->close(connection_end::aborted);
}

std::size_t caller_exchange::held_bytes() const
{
    return request_.body().size() + (response_ ? response_->body.size() : 0);
}

} // namespace wisterialane::proxy
