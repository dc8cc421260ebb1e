#include "libraries/configuration/objects.h"

#include <array>
#include <type_traits>

namespace wisterialane::configuration {
namespace {

constexpr std::array<std::string_view, 6> kind_names{"limit", "customer", "key", "service", "upstream", "route"};

} // namespace

object_kind kind_of(const object& item)
{
    // The variant lists its alternatives in the order of the enumeration.
    return static_cast<object_kind>(item.index());
}

const std::string& name_of(const object& item)
{
    return std::visit([](const auto& typed) -> const std::string& { return typed.name.value(); }, item);
}

object_reference reference_to(const object& item)
{
    return {kind_of(item), name_of(item)};
}

std::optional<object_reference> reference_in(const object& item)
{
    return std::visit(
        [](const auto& typed) -> std::optional<object_reference> {
            using type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<type, customer>) {
                return object_reference{object_kind::limit, typed.limit.value()};
            }
            else if constexpr (std::is_same_v<type, key>) {
                return object_reference{object_kind::customer, typed.customer.value()};
            }
            else if constexpr (std::is_same_v<type, upstream> || std::is_same_v<type, route>) {
                return object_reference{object_kind::service, typed.service.value()};
            }
            else {
                return std::nullopt;
            }
        },
        item);
}

std::string_view to_text(object_kind kind)
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::optional<object_kind> kind_from_text(std::string_view text)
{
    for (std::size_t index = 0; index < kind_names.size(); ++index) {
        if (kind_names[index] == text) {
            return static_cast<object_kind>(index);
        }
    }
    return std::nullopt;
}

std::string to_text(const object_reference& reference)
{
    return std::string{to_text(reference.kind)} + "/" + reference.name;
}

} // namespace wisterialane::configuration
