#include "utilities/wisterialanectl/log_line.h"

#include <charconv>

namespace wisterialane::control {
namespace {

constexpr std::string_view first_field = "time=";

template <class T>
std::optional<T> to_number(std::string_view text)
{
    T value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Takes a value off the front of the text; nothing if a quote is not closed.
std::optional<std::string> take_value(std::string_view& rest)
{
    std::string value;
    if (rest.empty() || rest.front() != '"') {
        const auto end = std::min(rest.size(), rest.find(' '));
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    if (rest.empty()) {
        return std::nullopt;
    }
    rest.remove_prefix(1);
    return value;
}

} // namespace

std::string_view log_line::field(std::string_view key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto start = text.find(first_field);
    if (start == std::string_view::npos || (start > 0 && text[start - 1] != ' ')) {
        return std::nullopt;
    }
    auto rest = text.substr(start);
    log_line line;
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        std::string key{rest.substr(0, equals)};
        rest.remove_prefix(equals + 1);
        auto value = take_value(rest);
        if (!value) {
            return std::nullopt;
        }
        line.fields.insert_or_assign(std::move(key), std::move(*value));
        rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
    }
    const auto time = to_number<std::int64_t>(line.field("time"));
    const auto event = to_number<int>(line.field("event"));
    if (!time || !event || line.field("name").empty()) {
        return std::nullopt;
    }
    line.time = *time;
    line.event = *event;
    line.name = line.field("name");
    for (const auto* key : {"time", "event", "name"}) {
        line.fields.erase(key);
    }
    return line;
}

} // namespace wisterialane::control
