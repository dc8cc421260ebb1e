#include "libraries/gateway/key_mask.h"

#include "libraries/gateway/key_text.h"

#include <algorithm>
#include <utility>

namespace wisterialane::gateway {
namespace {

void mask_keys(std::string& text)
{
    for (auto position = find_key(text); position != std::string::npos; position = find_key(text, position)) {
        std::fill_n(text.begin() + static_cast<std::ptrdiff_t>(position), key_characters, '*');
    }
}

// Start of the shortest tail that could become a key when more bytes follow.
std::size_t start_of_partial_key(std::string_view text)
{
    const auto earliest = text.size() - std::min(text.size(), key_characters - 1);
    for (auto position = earliest; position < text.size(); ++position) {
        const auto tail = text.substr(position);
        const auto compared = std::min(tail.size(), key_prefix.size());
        if (tail.substr(0, compared) == key_prefix.substr(0, compared)) {
            return position;
        }
    }
    return text.size();
}

} // namespace

std::string key_mask::push(std::string_view bytes)
{
    pending_ += bytes;
    mask_keys(pending_);
    const auto keep_from = start_of_partial_key(pending_);
    auto ready = pending_.substr(0, keep_from);
    pending_.erase(0, keep_from);
    return ready;
}

std::string key_mask::finish()
{
    return std::exchange(pending_, {});
}

} // namespace wisterialane::gateway
