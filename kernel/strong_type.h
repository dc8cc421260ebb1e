#pragma once

#include <compare>
#include <functional>
#include <utility>

namespace wisterialane::kernel {

/// Wraps a value in a distinct type, so that ids and units of different meaning cannot be mixed up.
/// `Tag` is an incomplete type that names the meaning.
template <class Tag, class Value>
class strong_type {
public:
    constexpr strong_type() = default;

    constexpr explicit strong_type(Value value) : value_{std::move(value)} {}

    [[nodiscard]] constexpr const Value& value() const { return value_; }

    // Not defaulted, because clang-tidy 14 takes the defaulted operator for a null pointer (modernize-use-nullptr).
    friend constexpr auto operator<=>(const strong_type& left, const strong_type& right)
    {
        return left.value_ <=> right.value_;
    }

    friend constexpr bool operator==(const strong_type&, const strong_type&) = default;

private:
    Value value_{};
};

} // namespace wisterialane::kernel

template <class Tag, class Value>
struct std::hash<wisterialane::kernel::strong_type<Tag, Value>> {
    std::size_t operator()(const wisterialane::kernel::strong_type<Tag, Value>& wrapped) const
    {
        return std::hash<Value>{}(wrapped.value());
    }
};
