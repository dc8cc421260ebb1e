#include "libraries/configuration/change_check.h"

#include "libraries/configuration/json_codec.h"
#include "libraries/configuration/validation.h"

#include <utility>

namespace wisterialane::configuration {
namespace {

/// Names of referring objects that one fault lists, so that deleting a widely used object gives a readable fault.
constexpr std::size_t maximum_listed_referrers = 10;

} // namespace

change_check::change_check(const configuration_set& set, const std::vector<change>& changes)
    : set_{set}, changes_{changes}
{}

std::vector<fault> change_check::run()
{
    if (changes_.size() > maximum_changes) {
        add({}, "changes", configuration_event::input_too_large, std::to_string(changes_.size()));
        return std::move(faults_);
    }
    collect();
    for (const auto& item : changes_) {
        if (const auto* put = std::get_if<put_object>(&item)) {
            check_put(put->item);
        }
        else {
            check_delete(std::get<delete_object>(item).target);
        }
    }
    return std::move(faults_);
}

void change_check::collect()
{
    for (const auto& item : changes_) {
        const auto* put = std::get_if<put_object>(&item);
        const auto target = target_of(item);
        if (!after_.emplace(target, put == nullptr ? nullptr : &put->item).second) {
            add(target, {}, configuration_event::duplicate_change, {});
        }
    }
}

void change_check::check_put(const object& item)
{
    validate(item, faults_);
    const auto target = reference_in(item);
    if (target && !exists_afterwards(*target)) {
        add(reference_to(item), std::string{to_text(target->kind)}, configuration_event::unknown_reference,
            target->name);
    }
    if (const auto* typed = std::get_if<route>(&item)) {
        check_route(*typed);
    }
    if (const auto* typed = std::get_if<key>(&item)) {
        check_key(*typed);
    }
}

void change_check::check_delete(const object_reference& target)
{
    if (set_.find(target) == nullptr) {
        add(target, {}, configuration_event::object_missing, {});
        return;
    }
    std::string names;
    std::size_t listed = 0;
    for (const auto& referrer : set_.referrers_of(target)) {
        // A changed referrer is deleted, redirected, or reported for its own reference.
        if (is_changed(referrer)) {
            continue;
        }
        if (++listed > maximum_listed_referrers) {
            names += ", ...";
            break;
        }
        names += (names.empty() ? "" : ", ") + to_text(referrer);
    }
    if (listed > 0) {
        add(target, {}, configuration_event::object_in_use, names);
    }
}

void change_check::check_route(const route& item)
{
    const object_reference self{object_kind::route, item.name.value()};
    const auto [entry, added] = prefixes_.emplace(item.path_prefix, self);
    const auto held = set_.routes_by_prefix().find(item.path_prefix);
    const bool held_by_other =
        held != set_.routes_by_prefix().end() && !is_changed({object_kind::route, held->second.value()});
    if (!added || held_by_other) {
        add(self, "path_prefix", configuration_event::duplicate_value,
            added ? held->second.value() : entry->second.name);
    }
}

void change_check::check_key(const key& item)
{
    const object_reference self{object_kind::key, item.name.value()};
    const auto [entry, added] = digests_.emplace(item.digest, self);
    const auto held = set_.keys_by_digest().find(item.digest);
    const bool held_by_other =
        held != set_.keys_by_digest().end() && !is_changed({object_kind::key, held->second.value()});
    if (!added || held_by_other) {
        add(self, "digest", configuration_event::duplicate_value, added ? held->second.value() : entry->second.name);
    }
    const auto* present = set_.find_key(item.name);
    const bool was_withdrawn = present != nullptr && present->state == key_state::withdrawn;
    if (item.state == key_state::active && (was_withdrawn || set_.is_withdrawn_digest(item.digest))) {
        add(self, "state", configuration_event::key_already_withdrawn, {});
    }
}

bool change_check::exists_afterwards(const object_reference& reference) const
{
    const auto changed = after_.find(reference);
    return changed != after_.end() ? changed->second != nullptr : set_.find(reference) != nullptr;
}

void change_check::add(object_reference subject, std::string field, configuration_event reason, std::string detail)
{
    faults_.push_back({std::move(subject), std::move(field), reason, std::move(detail)});
}

} // namespace wisterialane::configuration
