#pragma once

#include "libraries/configuration/change.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/fault.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisterialane::configuration {

/// Finds the faults that a set would have after a list of changes. It looks at the changed objects, at what they refer
/// to, and at the objects that refer to deleted ones; nothing else of the set is visited.
class change_check {
public:
    change_check(const configuration_set& set, const std::vector<change>& changes);

    [[nodiscard]] std::vector<fault> run();

private:
    void collect();
    void check_put(const object& item);
    void check_delete(const object_reference& target);
    void check_route(const route& item);
    void check_key(const key& item);
    [[nodiscard]] bool exists_afterwards(const object_reference& reference) const;

    [[nodiscard]] bool is_changed(const object_reference& reference) const { return after_.contains(reference); }

    void add(object_reference subject, std::string field, configuration_event reason, std::string detail);

    const configuration_set& set_;
    const std::vector<change>& changes_;
    /// The changed objects as they will be; null where they are deleted.
    std::map<object_reference, const object*> after_;
    std::unordered_map<std::string, object_reference> digests_;
    std::unordered_map<std::string, object_reference> prefixes_;
    std::vector<fault> faults_;
};

} // namespace wisterialane::configuration
