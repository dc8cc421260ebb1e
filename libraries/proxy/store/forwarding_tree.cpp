#include "libraries/proxy/store/forwarding_tree.h"

namespace wisterialane::proxy {

// The root has node 0 of the tree and the others the nodes 1, 2, ... in their order; node n passes on to the nodes
// n x fan-out + 1 and the following ones.
std::vector<std::size_t> forwarding_targets(std::size_t hosts, std::size_t root, std::size_t self)
{
    std::vector<std::size_t> targets;
    const auto node = self == root ? 0 : (self < root ? self + 1 : self);
    for (std::size_t child = node * forwarding_fan_out + 1; child <= (node + 1) * forwarding_fan_out; ++child) {
        if (child < hosts) {
            targets.push_back(child <= root ? child - 1 : child);
        }
    }
    return targets;
}

} // namespace wisterialane::proxy
