#pragma once

#include "kernel/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::proxy {

/// Largest part of a document, in bytes. With the rest of a message it fits a datagram between hosts (16 KB).
inline constexpr std::size_t maximum_part_bytes = 8 * 1024;
/// Greatest number of parts of a document. Hosts read a larger document from the store themselves.
inline constexpr std::size_t maximum_document_parts = 64;

/// A part of a configuration document, which the store reader of a data centre passes on to the other hosts there.
struct document_part {
    /// The host that has read the document.
    kernel::host_name source;
    kernel::version_number version;
    /// Digest of the whole document.
    std::uint64_t digest = 0;
    std::size_t index = 0;
    /// Number of parts, 1 to `maximum_document_parts`.
    std::size_t count = 1;
    std::string bytes;
};

/// Divides a document into parts. Returns none if it is empty or too large.
[[nodiscard]] std::vector<document_part> split_document(const kernel::host_name& source, kernel::version_number version,
                                                        std::string_view document);

/// Returns the digest of a document.
[[nodiscard]] std::uint64_t digest_of(std::string_view document);

} // namespace wisterialane::proxy
