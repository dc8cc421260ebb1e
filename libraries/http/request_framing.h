#pragma once

#include "kernel/failure.h"
#include "libraries/http/message.h"

namespace wisterialane::http {

/// Finds how the body of a request ends. Fails with `malformed_request` where two readers could disagree (two lengths,
/// a length together with a transfer coding, a coding other than exactly `chunked`, a length with other characters than
/// digits), because such a request can carry a hidden second one (RFC 9112, section 6.3).
kernel::result<body_size> read_request_framing(const request_head& head);

} // namespace wisterialane::http
