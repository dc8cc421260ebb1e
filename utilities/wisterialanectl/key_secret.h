#pragma once

#include "kernel/failure.h"

#include <string>

namespace wisterialane::control {

/// A new key: `wlk_` and 43 characters of `[A-Za-z0-9]` (256 bits) from OpenSSL's random source. Fails with
/// `random_source_failed`.
kernel::result<std::string> make_key_secret();

} // namespace wisterialane::control
