#include "libraries/proxy/membership/host_rank.h"

#include <xxhash.h>

namespace wisterialane::proxy {

std::uint64_t rank_hash(const kernel::host_name& host)
{
    const auto& name = host.value();
    return ::XXH64(name.data(), name.size(), 0);
}

bool ranks_before(const host_record& left, const host_record& right)
{
    return ranks_before(left, rank_hash(left.host), right, rank_hash(right.host));
}

bool ranks_before(const host_record& left, std::uint64_t left_hash, const host_record& right, std::uint64_t right_hash)
{
    if (left.processor_cores != right.processor_cores) {
        return left.processor_cores > right.processor_cores;
    }
    return left_hash < right_hash;
}

} // namespace wisterialane::proxy
