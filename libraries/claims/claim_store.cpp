#include "libraries/claims/claim_store.h"

#include "kernel/event_log.h"
#include "kernel/random_id.h"
#include "libraries/claims/claims_events.h"
#include "libraries/platform/platform_events.h"

#include <algorithm>
#include <array>
#include <utility>

#include <openssl/evp.h>

namespace wisterialane::claims {
namespace {

using platform::platform_event;

constexpr std::string_view table_name = "claims";
constexpr std::size_t token_digits = 32;

// A row can disappear between a refused insert and its read, when its holder releases it; this often is enough.
constexpr int maximum_insert_attempts = 3;

// The first update may lose its answer without effect; the second is conditional on the same version, so it is safe.
constexpr int maximum_update_attempts = 2;

// An insert whose answer was lost may still take effect while it waits somewhere on its way, so its row is looked for
// again, for 10 s at least with a call every second. After an outage that cut connections a thousand such rows can be
// kept per host; at 16 reads per call they are done in about 10 minutes.
constexpr unsigned maximum_absent_reads = 10;

// Bounds the reads of the whole fleet when the platform is back after an outage: 40 hosts with a call every second make
// 640 reads/s of the 2,000 that the platform handles.
constexpr std::size_t maximum_releases_per_call = 16;

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < size; ++index) {
        text += {digits[bytes[index] >> 4U], digits[bytes[index] & 15U]};
    }
    return text;
}

/// Hashed, because request ids may be long and may hold personal data. A customer's name contains no line break.
std::string make_row_key(const kernel::customer_name& customer, std::string_view idempotency_key)
{
    const auto text = customer.value() + "\n" + std::string{idempotency_key};
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

claim_record make_record(const claim_handle& handle)
{
    return {handle.token, handle.digest, handle.instance, std::nullopt};
}

kernel::result<claim_outcome> decide(const claim_handle& handle, const platform::row& row)
{
    auto record = read_claim_record(row);
    if (!record) {
        kernel::log_failure(kernel::severity::error, record.error());
        return kernel::fail(claims_event::claims_unavailable, row.key);
    }
    if (record->token == handle.token) {
        auto granted = handle;
        granted.version = row.version;
        return claim_granted{std::move(granted)};
    }
    if (record->digest != handle.digest) {
        return request_id_reused{};
    }
    if (record->answer) {
        return already_completed{*std::move(record->answer)};
    }
    return already_claimed{record->instance};
}

} // namespace

kernel::result<claim_outcome> claim_store::claim(const kernel::customer_name& customer,
                                                 std::string_view idempotency_key, const request_digest& digest,
                                                 const kernel::instance_id& instance)
{
    claim_handle handle{
        make_row_key(customer, idempotency_key), claim_token{kernel::random_hex(token_digits)}, {}, digest, instance};
    const auto value = write_claim_record(make_record(handle));
    for (int attempt = 0; attempt < maximum_insert_attempts; ++attempt) {
        const auto inserted = rows_.insert(table_name, handle.row_key, value);
        if (inserted) {
            handle.version = *inserted;
            return claim_granted{std::move(handle)};
        }
        const bool undecided = inserted.error().is(platform_event::outcome_unknown);
        if (!undecided && !inserted.error().is(platform_event::conflict)) {
            return kernel::fail(claims_event::claims_unavailable, std::string{inserted.error().name()});
        }
        const auto row = rows_.read(table_name, handle.row_key);
        if (row && *row) {
            return decide(handle, **row);
        }
        if (undecided) {
            defer_release({handle.row_key, handle.token, insertion::undecided, 0});
        }
        if (undecided || !row) {
            return kernel::fail(claims_event::claims_unavailable, handle.row_key);
        }
    }
    return kernel::fail(claims_event::claims_unavailable, handle.row_key);
}

kernel::result<void> claim_store::complete(const claim_handle& handle, int status, std::string_view content_type,
                                           std::optional<std::string_view> body)
{
    auto record = make_record(handle);
    record.answer = completed_answer{status, std::string{content_type}, std::nullopt};
    if (body && body->size() <= maximum_stored_body_bytes) {
        record.answer->body = std::string{*body};
    }
    const auto value = write_claim_record(record);
    for (int attempt = 0; attempt < maximum_update_attempts; ++attempt) {
        const auto updated = rows_.update(table_name, handle.row_key, value, handle.version);
        if (updated) {
            return {};
        }
        if (!updated.error().is(platform_event::outcome_unknown) && !updated.error().is(platform_event::conflict)) {
            break;
        }
        const auto state = read_completion(handle);
        if (!state) {
            return tl::unexpected{state.error()};
        }
        if (*state == completion::stored) {
            return {};
        }
    }
    return kernel::fail(claims_event::completion_not_stored, handle.row_key);
}

kernel::result<claim_store::completion> claim_store::read_completion(const claim_handle& handle)
{
    const auto row = rows_.read(table_name, handle.row_key);
    if (!row) {
        return kernel::fail(claims_event::completion_not_stored, handle.row_key);
    }
    const auto record = *row ? read_claim_record(**row) : kernel::fail(claims_event::claim_not_held, handle.row_key);
    if (!record || record->token != handle.token) {
        return kernel::fail(claims_event::claim_not_held, handle.row_key);
    }
    return record->answer ? completion::stored : completion::missing;
}

void claim_store::release(const claim_handle& handle)
{
    const auto removed = rows_.remove(table_name, handle.row_key, handle.version);
    if (!removed && !removed.error().is(platform_event::conflict)) {
        defer_release({handle.row_key, handle.token, insertion::took_effect, 0});
    }
}

void claim_store::defer_release(kept_release release)
{
    kernel::log_event(kernel::severity::information, claims_event::release_deferred, {{"row", release.row_key}});
    keep_release(std::move(release));
}

void claim_store::keep_release(kept_release release)
{
    {
        const std::lock_guard lock{mutex_};
        if (releases_.size() < maximum_releases_) {
            releases_.push_back(std::move(release));
            return;
        }
    }
    kernel::log_event(kernel::severity::warning, claims_event::release_dropped, {{"row", release.row_key}});
}

void claim_store::retry_releases()
{
    const auto count = std::min(kept_releases(), maximum_releases_per_call);
    for (std::size_t index = 0; index < count; ++index) {
        auto release = take_release();
        if (!release) {
            return;
        }
        const auto outcome = attempt_release(*release);
        if (outcome != release_outcome::done) {
            keep_release(*std::move(release));
        }
        if (outcome == release_outcome::platform_failed) {
            return;
        }
    }
}

std::optional<claim_store::kept_release> claim_store::take_release()
{
    const std::lock_guard lock{mutex_};
    if (releases_.empty()) {
        return std::nullopt;
    }
    auto release = std::move(releases_.front());
    releases_.pop_front();
    return release;
}

claim_store::release_outcome claim_store::attempt_release(kept_release& release)
{
    const auto row = rows_.read(table_name, release.row_key);
    if (!row) {
        return release_outcome::platform_failed;
    }
    if (!*row) {
        const bool may_appear =
            release.inserted == insertion::undecided && ++release.absent_reads < maximum_absent_reads;
        return may_appear ? release_outcome::try_again : release_outcome::done;
    }
    const auto record = read_claim_record(**row);
    if (!record || record->token != release.token || record->answer) {
        return release_outcome::done;
    }
    release.inserted = insertion::took_effect;
    const auto removed = rows_.remove(table_name, release.row_key, (*row)->version);
    const bool removed_or_gone = removed || removed.error().is(platform_event::conflict);
    return removed_or_gone ? release_outcome::done : release_outcome::platform_failed;
}

std::size_t claim_store::kept_releases() const
{
    const std::lock_guard lock{mutex_};
    return releases_.size();
}

} // namespace wisterialane::claims
