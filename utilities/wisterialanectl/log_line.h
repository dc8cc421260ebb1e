#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::control {

/// One line of a host's decision log.
struct log_line {
    /// Unix time in milliseconds.
    std::int64_t time = 0;
    int event = 0;
    std::string name;
    /// The remaining fields.
    std::map<std::string, std::string, std::less<>> fields;

    /// A field's value, or nothing at all.
    [[nodiscard]] std::string_view field(std::string_view key) const;
};

/// Reads `time=... event=... name=... key=value ...`, in which values may be quoted, also after a prefix of other
/// words. Nothing for half lines and lines of other programs.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace wisterialane::control
