#include "libraries/http/header_list.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace wisterialane::http {

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

void header_list::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

void header_list::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string{name}, std::move(value));
}

void header_list::remove(std::string_view name)
{
    remove_if([name](const header_field& field) { return equal_ignoring_case(field.name, name); });
}

void header_list::remove_if(const std::function<bool(const header_field&)>& matches)
{
    fields_.erase(std::remove_if(fields_.begin(), fields_.end(), matches), fields_.end());
}

std::optional<std::string_view> header_list::find(std::string_view name) const
{
    for (const auto& field : fields_) {
        if (equal_ignoring_case(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        fields_.begin(), fields_.end(), [name](const auto& field) { return equal_ignoring_case(field.name, name); }));
}

} // namespace wisterialane::http
