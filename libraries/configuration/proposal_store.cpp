#include "libraries/configuration/proposal_store.h"

#include "kernel/random_id.h"
#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/json_codec.h"
#include "libraries/platform/platform_events.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wisterialane::configuration {
namespace {

constexpr std::string_view proposal_table = "proposals";
constexpr std::size_t version_digits = 12;
constexpr std::size_t random_digits = 8;
/// Writers that may win before an update gives up.
constexpr int update_attempts = 8;
/// Reads that resolve a lost answer before its outcome counts as unknown.
constexpr int read_back_attempts = 3;

kernel::proposal_id make_id(kernel::version_number base_version)
{
    auto digits = std::to_string(base_version.value());
    digits.insert(0, version_digits - std::min(version_digits, digits.size()), '0');
    return kernel::proposal_id{digits + "-" + kernel::random_hex(random_digits)};
}

} // namespace

kernel::result<proposal> proposal_store::create(const kernel::operator_name& author,
                                                kernel::version_number base_version, std::vector<change> changes)
{
    const proposal item{make_id(base_version), author, base_version, std::move(changes), {}, std::nullopt};
    const auto inserted = table_.insert(proposal_table, item.id.value(), write_json(encode_proposal(item)));
    if (inserted) {
        return item;
    }
    if (!inserted.error().is(platform::platform_event::outcome_unknown)) {
        return tl::unexpected{inserted.error()};
    }
    for (int attempt = 0; attempt < read_back_attempts; ++attempt) {
        const auto found = read(item.id);
        if (found && *found == item) {
            return item;
        }
    }
    return tl::unexpected{inserted.error()};
}

kernel::result<proposal> proposal_store::read(const kernel::proposal_id& id)
{
    const auto row = table_.read(proposal_table, id.value());
    if (!row) {
        return tl::unexpected{row.error()};
    }
    if (!*row) {
        return kernel::fail(configuration_event::proposal_unknown, id.value());
    }
    return decode_proposal((*row)->value);
}

kernel::result<std::vector<proposal>> proposal_store::list(std::string_view after, std::size_t limit)
{
    const auto rows = table_.scan(proposal_table, "", after, limit);
    if (!rows) {
        return tl::unexpected{rows.error()};
    }
    std::vector<proposal> proposals;
    proposals.reserve(rows->size());
    for (const auto& row : *rows) {
        auto item = decode_proposal(row.value);
        if (!item) {
            return tl::unexpected{item.error()};
        }
        proposals.push_back(std::move(*item));
    }
    return proposals;
}

kernel::result<proposal> proposal_store::add_review(const kernel::proposal_id& id,
                                                    const kernel::operator_name& reviewer)
{
    return update(id, [&reviewer](proposal& item) -> kernel::result<void> {
        if (item.author == reviewer) {
            return kernel::fail(configuration_event::reviewer_is_author, reviewer.value());
        }
        if (item.published_version) {
            return kernel::fail(configuration_event::proposal_already_published,
                                std::to_string(item.published_version->value()));
        }
        if (std::find(item.reviewers.begin(), item.reviewers.end(), reviewer) == item.reviewers.end()) {
            item.reviewers.push_back(reviewer);
        }
        return {};
    });
}

kernel::result<proposal> proposal_store::mark_published(const kernel::proposal_id& id, kernel::version_number version)
{
    return update(id, [version](proposal& item) -> kernel::result<void> {
        item.published_version = version;
        return {};
    });
}

kernel::result<proposal> proposal_store::update(const kernel::proposal_id& id, const modification& modify)
{
    for (int attempt = 0; attempt < update_attempts; ++attempt) {
        const auto row = table_.read(proposal_table, id.value());
        if (!row) {
            return tl::unexpected{row.error()};
        }
        if (!*row) {
            return kernel::fail(configuration_event::proposal_unknown, id.value());
        }
        auto item = decode_proposal((*row)->value);
        if (!item) {
            return item;
        }
        const auto before = *item;
        if (auto modified = modify(*item); !modified) {
            return tl::unexpected{modified.error()};
        }
        // The state wanted is there, possibly by an earlier write whose answer was lost.
        if (*item == before) {
            return item;
        }
        const auto written =
            table_.update(proposal_table, id.value(), write_json(encode_proposal(*item)), (*row)->version);
        if (written) {
            return item;
        }
        // Both cases are resolved by reading the row again: a lost write either shows there, or is sent again under the
        // same row version, so that at most one of the two takes effect.
        if (!written.error().is(platform::platform_event::conflict) &&
            !written.error().is(platform::platform_event::outcome_unknown)) {
            return tl::unexpected{written.error()};
        }
    }
    return kernel::fail(platform::platform_event::conflict, id.value());
}

} // namespace wisterialane::configuration
