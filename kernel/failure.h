#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>
#include <typeindex>
#include <utility>

#include <tl/expected.hpp>

namespace wisterialane::kernel {

/// An enumeration whose enumerators are numbers of the event catalogue (docs/EVENTS.md). Its namespace provides
/// `std::string_view to_name(Enum)`.
template <class Enum>
concept event_code = std::is_enum_v<Enum> && requires(Enum code)
{
    {
        to_name(code)
        } -> std::convertible_to<std::string_view>;
};

/// The reason why an operation failed: a numbered code of a module, and the subject that it concerns (an object name,
/// an address, a field). The subject is for people; programs decide by the code.
class failure {
public:
    template <event_code Code>
    failure(Code code, std::string subject = {})
        : number_{static_cast<int>(code)}, name_{to_name(code)}, type_{typeid(Code)}, subject_{std::move(subject)}
    {}

    /// Whether the failure has exactly this code.
    template <event_code Code>
    [[nodiscard]] bool is(Code code) const
    {
        return type_ == std::type_index{typeid(Code)} && number_ == static_cast<int>(code);
    }

    [[nodiscard]] int number() const { return number_; }

    [[nodiscard]] std::string_view name() const { return name_; }

    [[nodiscard]] const std::string& subject() const { return subject_; }

private:
    int number_;
    std::string_view name_;
    std::type_index type_;
    std::string subject_;
};

template <class T>
using result = tl::expected<T, failure>;

/// Returns the error value of a `result`.
template <event_code Code>
[[nodiscard]] tl::unexpected<failure> fail(Code code, std::string subject = {})
{
    return tl::unexpected<failure>{failure{code, std::move(subject)}};
}

} // namespace wisterialane::kernel
