#include "libraries/configuration/field_reader.h"

namespace wisterialane::configuration {
namespace {

/// Longest part of an offending value that is repeated in a fault.
constexpr std::size_t maximum_detail_bytes = 100;

} // namespace

field_reader::field_reader(const nlohmann::json& source, object_reference subject, std::vector<fault>& faults)
    : source_{source}, subject_{std::move(subject)}, faults_{faults}
{}

std::string field_reader::text(const char* field)
{
    const auto* value = any(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        add_fault(field, configuration_event::malformed_input, "text expected");
        return {};
    }
    return value->get<std::string>();
}

std::string field_reader::optional_text(const char* field)
{
    known_.insert(field);
    return member(field) == nullptr ? std::string{} : text(field);
}

double field_reader::number(const char* field)
{
    const auto* value = any(field);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number()) {
        add_fault(field, configuration_event::malformed_input, "number expected");
        return 0;
    }
    return value->get<double>();
}

std::uint64_t field_reader::integer(const char* field, std::uint64_t maximum)
{
    const auto* value = any(field);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number_integer()) {
        add_fault(field, configuration_event::malformed_input, "whole number expected");
        return 0;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > maximum) {
        add_fault(field, configuration_event::value_out_of_range, value->dump());
        return 0;
    }
    return value->get<std::uint64_t>();
}

const nlohmann::json* field_reader::any(const char* field)
{
    known_.insert(field);
    const auto* value = member(field);
    if (value == nullptr) {
        add_fault(field, configuration_event::missing_field, {});
    }
    return value;
}

void field_reader::finish()
{
    for (const auto& [field, value] : source_.items()) {
        if (!known_.contains(field)) {
            add_fault(field.substr(0, maximum_detail_bytes), configuration_event::unknown_field, {});
        }
    }
}

void field_reader::add_fault(std::string field, configuration_event reason, std::string detail)
{
    detail.resize(std::min(detail.size(), maximum_detail_bytes));
    faults_.push_back({subject_, std::move(field), reason, std::move(detail)});
}

const nlohmann::json* field_reader::member(const char* field) const
{
    const auto found = source_.find(field);
    return found == source_.end() ? nullptr : &*found;
}

} // namespace wisterialane::configuration
