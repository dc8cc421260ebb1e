#include "kernel/random_id.h"

#include <random>

namespace wisterialane::kernel {

std::string random_hex(std::size_t digits)
{
    static constexpr char alphabet[] = "0123456789abcdef";
    std::random_device source;
    std::uniform_int_distribution<unsigned> digit{0, 15};
    std::string text;
    text.reserve(digits);
    while (text.size() < digits) {
        text.push_back(alphabet[digit(source)]);
    }
    return text;
}

} // namespace wisterialane::kernel
