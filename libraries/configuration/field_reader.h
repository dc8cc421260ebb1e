#pragma once

#include "libraries/configuration/fault.h"

#include <cstdint>
#include <limits>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisterialane::configuration {

/// Reads the members of one JSON object strictly and collects what is wrong with them.
class field_reader {
public:
    template <class Enum>
    using choices = std::span<const std::pair<std::string_view, Enum>>;

    /// The source must be a JSON object and outlive the reader.
    field_reader(const nlohmann::json& source, object_reference subject, std::vector<fault>& faults);

    std::string text(const char* field);
    std::string optional_text(const char* field);
    double number(const char* field);
    std::uint64_t integer(const char* field, std::uint64_t maximum);

    template <class Enum>
    Enum choice(const char* field, choices<Enum> names)
    {
        const auto value = text(field);
        for (const auto& [name, enumerator] : names) {
            if (name == value) {
                return enumerator;
            }
        }
        if (member(field) != nullptr && member(field)->is_string()) {
            add_fault(field, configuration_event::value_out_of_range, value);
        }
        return {};
    }

    /// The member as it is, or null with a fault if it is missing.
    const nlohmann::json* any(const char* field);

    /// Reports the members that were not asked for.
    void finish();

    void add_fault(std::string field, configuration_event reason, std::string detail);

private:
    [[nodiscard]] const nlohmann::json* member(const char* field) const;

    const nlohmann::json& source_;
    object_reference subject_;
    std::vector<fault>& faults_;
    std::set<std::string, std::less<>> known_;
};

} // namespace wisterialane::configuration
