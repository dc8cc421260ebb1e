#pragma once

#include <string>
#include <string_view>

namespace wisterialane::gateway {

/// Overwrites keys in a body that passes in pieces with `*` of the same length, so that the declared length stays true.
/// Holds back at most the last 46 bytes, which could be the start of a key.
class key_mask {
public:
    /// Takes the next bytes and returns those that may be sent on.
    [[nodiscard]] std::string push(std::string_view bytes);

    /// Returns the bytes held back, at the end of the body.
    [[nodiscard]] std::string finish();

private:
    std::string pending_;
};

} // namespace wisterialane::gateway
