#pragma once

#include "kernel/failure.h"
#include "libraries/configuration/proposal.h"
#include "libraries/platform/table.h"

#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace wisterialane::configuration {

/// Proposals in the platform's table `proposals`, changed by compare-and-swap only. Thread-safe.
class proposal_store {
public:
    explicit proposal_store(platform::table& table) : table_{table} {}

    /// Stores a new proposal under a new id. Ids begin with the base version, so that they sort roughly by age.
    kernel::result<proposal> create(const kernel::operator_name& author, kernel::version_number base_version,
                                    std::vector<change> changes);

    /// Fails with `proposal_unknown` if there is none.
    kernel::result<proposal> read(const kernel::proposal_id& id);

    /// Proposals with ids greater than `after`, in order, at most `limit`.
    kernel::result<std::vector<proposal>> list(std::string_view after, std::size_t limit);

    /// Adds an approval; an operator's second one changes nothing. Fails with `reviewer_is_author`,
    /// `proposal_already_published` or `proposal_unknown`.
    kernel::result<proposal> add_review(const kernel::proposal_id& id, const kernel::operator_name& reviewer);

    /// Notes in which version the proposal is.
    kernel::result<proposal> mark_published(const kernel::proposal_id& id, kernel::version_number version);

private:
    /// Changes the proposal; returning a failure abandons the update.
    using modification = std::function<kernel::result<void>(proposal&)>;

    kernel::result<proposal> update(const kernel::proposal_id& id, const modification& modify);

    platform::table& table_;
};

} // namespace wisterialane::configuration
