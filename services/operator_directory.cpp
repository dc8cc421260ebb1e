#include "services/operator_directory.h"

#include "libraries/configuration/digest.h"
#include "libraries/configuration/validation.h"
#include "services/operator_events.h"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>

namespace wisterialane::services {
namespace {

constexpr std::string_view bearer_scheme = "Bearer ";

} // namespace

kernel::result<operator_directory> operator_directory::create(const std::vector<std::string>& entries)
{
    operator_directory directory;
    for (const auto& text : entries) {
        const auto separator = text.find(':');
        const auto name = text.substr(0, separator);
        auto digest = separator == std::string::npos ? std::string{} : text.substr(separator + 1);
        const bool known = std::any_of(directory.entries_.begin(), directory.entries_.end(),
                                       [&digest](const entry& item) { return item.digest == digest; });
        if (!configuration::is_name(name) || !configuration::is_sha256_hex(digest) || known) {
            return kernel::fail(operator_event::invalid_operator_entry, name);
        }
        directory.entries_.push_back({kernel::operator_name{name}, std::move(digest)});
    }
    return directory;
}

std::optional<kernel::operator_name> operator_directory::authenticate(const http::header_list& headers) const
{
    const auto value = headers.find("Authorization");
    if (!value || headers.count("Authorization") != 1 || value->size() <= bearer_scheme.size() ||
        !http::equal_ignoring_case(value->substr(0, bearer_scheme.size()), bearer_scheme)) {
        return std::nullopt;
    }
    return find(value->substr(bearer_scheme.size()));
}

std::optional<kernel::operator_name> operator_directory::find(std::string_view token) const
{
    const auto digest = configuration::sha256_hex(token);
    std::optional<kernel::operator_name> found;
    for (const auto& item : entries_) {
        if (CRYPTO_memcmp(item.digest.data(), digest.data(), digest.size()) == 0) {
            found = item.name;
        }
    }
    return found;
}

} // namespace wisterialane::services
