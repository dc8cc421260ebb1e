#pragma once

#include "libraries/proxy/host_record.h"

#include <cstdint>

namespace wisterialane::proxy {

/// Whether `left` comes before `right` in the order of the hosts of a data centre, which all hosts compute alike: by
/// processor time, then by a hash of the name.
[[nodiscard]] bool ranks_before(const host_record& left, const host_record& right);

/// Hash of a host's name for `ranks_before`. Callers that sort often keep it.
[[nodiscard]] std::uint64_t rank_hash(const kernel::host_name& host);

/// The same with the hashes of both names.
[[nodiscard]] bool ranks_before(const host_record& left, std::uint64_t left_hash, const host_record& right,
                                std::uint64_t right_hash);

} // namespace wisterialane::proxy
