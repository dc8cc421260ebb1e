#include "libraries/configuration/publisher.h"

#include "kernel/event_log.h"
#include "libraries/configuration/configuration_events.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wisterialane::configuration {
namespace {

constexpr std::size_t records_per_scan = 100;
/// Other versions that may win before a publish gives up. Racing publishers and roster changes are a few per second at
/// most, and each attempt takes a few platform round trips.
constexpr int append_attempts = 8;

tl::unexpected<publish_refusal> refuse(kernel::failure reason)
{
    return tl::unexpected{publish_refusal{std::move(reason), {}, {}}};
}

tl::unexpected<publish_refusal> refuse(configuration_event reason, std::string subject)
{
    return refuse(kernel::failure{reason, std::move(subject)});
}

bool withdraws_key(const configuration_set& set, const change& item)
{
    const auto* put = std::get_if<put_object>(&item);
    const auto* wanted = put == nullptr ? nullptr : std::get_if<key>(&put->item);
    const auto* present = wanted == nullptr ? nullptr : set.find_key(wanted->name);
    return present != nullptr && wanted->state == key_state::withdrawn && present->customer == wanted->customer &&
           present->digest == wanted->digest;
}

bool is_reviewed(const proposal& item)
{
    return std::any_of(item.reviewers.begin(), item.reviewers.end(),
                       [&item](const auto& reviewer) { return reviewer != item.author; });
}

std::string join(const std::set<object_reference>& references)
{
    std::string text;
    for (const auto& reference : references) {
        text += (text.empty() ? "" : ", ") + to_text(reference);
    }
    return text;
}

tl::expected<void, publish_refusal> decide(const proposal& item, const std::set<object_reference>& conflicts,
                                           const configuration_set& set)
{
    if (!conflicts.empty()) {
        return tl::unexpected{publish_refusal{
            {configuration_event::proposal_conflict, join(conflicts)}, {conflicts.begin(), conflicts.end()}, {}}};
    }
    if (!is_reviewed(item) && !only_withdraws_keys(set, item.changes)) {
        return refuse(configuration_event::review_missing, item.id.value());
    }
    auto faults = set.check(item.changes);
    if (!faults.empty()) {
        return tl::unexpected{publish_refusal{
            {configuration_event::check_failed, std::to_string(faults.size()) + " faults"}, {}, std::move(faults)}};
    }
    return {};
}

} // namespace

bool only_withdraws_keys(const configuration_set& set, const std::vector<change>& changes)
{
    return !changes.empty() &&
           std::all_of(changes.begin(), changes.end(), [&set](const change& item) { return withdraws_key(set, item); });
}

tl::expected<kernel::version_number, publish_refusal>
publisher::publish(const kernel::proposal_id& id, const kernel::operator_name& publishing_operator,
                   configuration_set current)
{
    auto item = proposals_.read(id);
    if (!item) {
        return refuse(item.error());
    }
    if (item->published_version) {
        return refuse(configuration_event::proposal_already_published,
                      std::to_string(item->published_version->value()));
    }
    attempt state{std::move(*item), {}, std::move(current), {}, {}};
    for (const auto& wanted : state.item.changes) {
        state.targets.insert(target_of(wanted));
    }
    state.last_read = kernel::version_number{std::min(state.item.base_version.value(), state.set.version().value())};
    for (int count = 0; count < append_attempts; ++count) {
        const auto ready = catch_up(state).and_then([&] { return decide(state.item, state.conflicts, state.set); });
        if (!ready) {
            return tl::unexpected{ready.error()};
        }
        const auto next = make_record(state.set.version(), state.set.hash(), id, publishing_operator,
                                      state.item.changes, std::nullopt);
        const auto appended = log_.append(next);
        if (!appended) {
            return refuse(appended.error());
        }
        if (*appended == append_outcome::appended) {
            note_published(id, next.version);
            return next.version;
        }
    }
    return refuse(configuration_event::version_raced, id.value());
}

tl::expected<void, publish_refusal> publisher::catch_up(attempt& state)
{
    while (true) {
        const auto records = log_.read_after(state.last_read, records_per_scan);
        if (!records) {
            return refuse(records.error());
        }
        for (const auto& next : *records) {
            if (auto taken = take_record(state, next); !taken) {
                return taken;
            }
        }
        // A platform may return fewer rows than asked for, so only an empty scan is the end of the log.
        if (records->empty()) {
            break;
        }
    }
    if (state.set.version() != state.last_read || state.set.version().value() < state.item.base_version.value()) {
        return refuse(configuration_event::version_gap, std::to_string(state.last_read.value()));
    }
    return {};
}

tl::expected<void, publish_refusal> publisher::take_record(attempt& state, const record& next)
{
    state.last_read = next.version;
    if (next.proposal == state.item.id) {
        note_published(state.item.id, next.version);
        return refuse(configuration_event::proposal_already_published, std::to_string(next.version.value()));
    }
    if (next.version.value() > state.item.base_version.value()) {
        for (const auto& made : next.changes) {
            const auto target = target_of(made);
            if (state.targets.contains(target)) {
                state.conflicts.insert(target);
            }
        }
    }
    if (next.version.value() > state.set.version().value()) {
        if (const auto applied = state.set.apply(next); !applied) {
            return refuse(applied.error());
        }
    }
    return {};
}

void publisher::note_published(const kernel::proposal_id& id, kernel::version_number version)
{
    // The log decides; a note that cannot be written costs a longer search of the log next time.
    if (const auto noted = proposals_.mark_published(id, version); !noted) {
        kernel::log_failure(kernel::severity::warning, noted.error());
    }
}

} // namespace wisterialane::configuration
