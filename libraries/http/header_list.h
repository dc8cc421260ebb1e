#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::http {

struct header_field {
    std::string name;
    std::string value;
};

/// Compares header names, which are not case-sensitive.
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right);

/// The headers of one message, in their order. Names are not case-sensitive.
class header_list {
public:
    void add(std::string name, std::string value);

    /// Replaces all headers of this name by one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    void remove_if(const std::function<bool(const header_field&)>& matches);

    /// The value of the first header of this name. The view is valid until the list changes.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] std::size_t count(std::string_view name) const;

    [[nodiscard]] const std::vector<header_field>& fields() const { return fields_; }

private:
    std::vector<header_field> fields_;
};

} // namespace wisterialane::http
