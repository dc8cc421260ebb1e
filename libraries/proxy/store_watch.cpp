#include "libraries/proxy/store_watch.h"

#include "libraries/proxy/proxy_events.h"

#include <algorithm>
#include <utility>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;
using milliseconds = std::chrono::milliseconds;

/// Time that the store waits for a change before it responds to a call. Each response, even without a new version,
/// confirms the version in force. A connection may go silent without an error: such a call, the retry delay and a read
/// must end before the hosts of a data centre have to act on the changes of that time.
constexpr milliseconds poll_timeout{900};
/// Delay between two calls, so that one call reads changes in quick succession together.
constexpr milliseconds upstreams_batch_delay{250};
/// Delay after a failed call; doubles with each further failure up to the maximum. Every host calls the store while it
/// is unavailable, and refused calls have a cost, too.
constexpr milliseconds initial_retry_delay{300};
/// Together with the timeout of a call that the store does not answer, this delay determines how long after the store's
/// return a host reads the newest version; see docs/design.md, 12.3.
constexpr milliseconds maximum_configuration_retry_delay{600};
constexpr milliseconds maximum_upstreams_retry_delay{1200};
/// A pending call is overdue if a newer version, or a change that this host lacks, is known to exist and the call was
/// sent longer ago than this, because the store answers it as soon as there is one.
constexpr milliseconds overdue_call_time{600};
/// A host that receives no relay for this time reads the store itself. The store reader sends a relay after each
/// response, at least once per `poll_timeout`. A new version must be in force within two seconds even if
/// the reader fails.
constexpr milliseconds relay_timeout{1200};
/// For this time after a relay of a newer version, an older one that the store holds is not confirmed. The store reader
/// relays at least once per `poll_timeout`.
constexpr milliseconds newer_version_lifetime{2500};
/// A host that has not received all parts of a newer version's document by then reads it from the store. Together with
/// the read and the relay this is far below the time in which a version must be in force.
constexpr milliseconds document_timeout{300};
/// Hosts of a data centre that start at the same time agree on their store reader within this time.
constexpr milliseconds reader_election_time{1000};
/// For this time after its last successful call a host counts as one that reaches the store, because hosts that rely on
/// a store reader make no calls.
constexpr milliseconds success_lifetime{60000};
/// Names of the calls in the log.
constexpr std::string_view configuration_call = "configuration";
constexpr std::string_view upstreams_call = "upstreams";

// After a call that was refused or failed in transit, the next one requests the changes since the same revision, and
// relays of the store reader can still be applied in the meantime.
bool requires_full_read(const kernel::failure& reason)
{
    return !reason.is(proxy_event::store_unreachable) && !reason.is(proxy_event::store_refused);
}

} // namespace

milliseconds retry_backoff::next_delay(kernel::time_point now)
{
    delay_ = delay_.count() == 0 ? initial_retry_delay : std::min(maximum_delay_, 2 * delay_);
    delay_end_ = now + delay_;
    return delay_;
}

milliseconds retry_backoff::extend(milliseconds least, kernel::time_point now)
{
    if (least <= delay_) {
        return delay_;
    }
    extended_ = true;
    delay_end_ = now + least;
    return least;
}

store_watch::store_watch(io_context& context, store_client& store, upstream_directory& upstreams,
                         evacuations& evacuated, configuration_freshness& freshness, proxy_metrics& metrics,
                         kernel::decision_log& log, hooks callbacks)
    : store_{store}, upstreams_{upstreams}, evacuations_{evacuated}, freshness_{freshness}, metrics_{metrics},
      log_{log}, hooks_{std::move(callbacks)}, configuration_timer_{context.get_executor()},
      upstreams_timer_{context.get_executor()}, document_timer_{context.get_executor()},
      configuration_retry_{maximum_configuration_retry_delay}, upstreams_retry_{maximum_upstreams_retry_delay}
{}

void store_watch::start()
{
    // After its first reads the host waits for the store reader as if a relay had just been received.
    relay_received_at_ = hooks_.clock() + reader_election_time;
    watch_configuration();
    watch_upstreams();
}

void store_watch::stop()
{
    stopped_ = true;
    configuration_timer_.cancel();
    upstreams_timer_.cancel();
    document_timer_.cancel();
}

void store_watch::schedule(one_shot_timer& delay_timer, milliseconds delay, void (store_watch::*next)())
{
    delay_timer.start(delay, [self = shared_from_this(), next] { (self.get()->*next)(); });
}

kernel::duration store_watch::remaining_relay_wait(kernel::time_point now) const
{
    if (!relay_received_at_ || !configuration_revision_ || !upstreams_revision_ || hooks_.is_store_reader(now)) {
        return kernel::duration::zero();
    }
    return std::max<kernel::duration>(kernel::duration::zero(), *relay_received_at_ + relay_timeout - now);
}

void store_watch::begin_reading()
{
    if (!stopped_ && !reading_configuration_ && configuration_revision_) {
        configuration_timer_.cancel();
        watch_configuration();
    }
    if (!stopped_ && !reading_upstreams_ && upstreams_revision_) {
        upstreams_timer_.cancel();
        watch_upstreams();
    }
}

bool store_watch::reaches_store(kernel::time_point now) const
{
    return !failing_since_ && !lacks_newest_version() && last_success_at_ && now - *last_success_at_ < success_lifetime;
}

// Each step of a watch starts the timer for the next one before its work, so that one that fails does not end the
// watch.
void store_watch::watch_configuration()
{
    schedule(configuration_timer_, maximum_configuration_retry_delay, &store_watch::watch_configuration);
    const auto now = hooks_.clock();
    const bool newer_exists = relayed_version_ > hooks_.version() && !awaiting_document_;
    if (const auto wait = remaining_relay_wait(now); wait > kernel::duration::zero() && !newer_exists) {
        schedule(configuration_timer_, std::chrono::ceil<milliseconds>(wait), &store_watch::watch_configuration);
        return;
    }
    configuration_timer_.cancel();
    reading_configuration_ = true;
    configuration_call_sent_at_ = now;
    const bool complete = !configuration_revision_;
    const auto done = [self = shared_from_this(), complete](const auto& reading) {
        self->on_configuration(reading, complete);
    };
    if (!complete) {
        // While calls fail, the store is asked to answer at once, so that an unanswered call times out early.
        const auto wait = configuration_retry_.has_failed() ? milliseconds{0} : poll_timeout;
        store_.await_configuration(*configuration_revision_, wait, done);
        return;
    }
    store_.read_configuration(done);
}

void store_watch::on_configuration(const kernel::result<configuration_reading>& reading, bool complete)
{
    reading_configuration_ = false;
    if (stopped_) {
        return;
    }
    schedule(configuration_timer_, maximum_configuration_retry_delay, &store_watch::watch_configuration);
    if (!reading) {
        record_failure(configuration_call, reading.error());
        if (requires_full_read(reading.error())) {
            configuration_revision_.reset();
        }
        schedule(configuration_timer_, retry_delay(configuration_retry_, reading.error(), hooks_.clock()),
                 &store_watch::watch_configuration);
        return;
    }
    const auto era = check_era(reading->metadata.era);
    if (era == era_check::older) {
        schedule(configuration_timer_, configuration_retry_.next_delay(hooks_.clock()),
                 &store_watch::watch_configuration);
        return;
    }
    record_success(configuration_call, reading->metadata);
    if (era == era_check::entered) {
        restart_upstreams_call();
        // Changes since a revision of the older era mean nothing.
        if (!complete) {
            watch_configuration();
            return;
        }
    }
    if (configuration_retry_.has_failed()) {
        configuration_retry_.reset();
        restart_upstreams_call();
    }
    upstreams_.remove_missing(hooks_.clock());
    // First, because the configuration enables requests after a start.
    apply_evacuations(*reading, complete);
    apply_reading(*reading, complete);
    // A relay of a newer version shows that this one is not the newest, even if the store no longer holds the newer
    // one.
    if (newest_ == newest_version::in_force && !is_newer_version_relayed(hooks_.clock())) {
        freshness_.confirm(store_clock_, reading->metadata.store_now);
        confirmed_at_ = std::max(confirmed_at_, reading->metadata.store_now);
    }
    configuration_revision_ = reading->metadata.revision;
    if (upstreams_revision_) {
        relay_changes(*upstreams_revision_, {}, {});
    }
    watch_configuration();
}

// The first failure may be that of a single call. A known newer version is read by each host itself.
milliseconds store_watch::retry_delay(retry_backoff& retry, const kernel::failure& reason, kernel::time_point now)
{
    const bool repeated = retry.has_failed();
    const auto delay = retry.next_delay(now);
    if (!repeated || requires_full_read(reason) || relayed_version_ > hooks_.version()) {
        return delay;
    }
    return retry.extend(hooks_.outage_retry_delay(now), now);
}

// A relay shows that the store answers another host, so this one goes on as after a success. It makes no call if it has
// all that the relay builds on.
void store_watch::end_outage()
{
    if (configuration_retry_.end_extension() && !reading_configuration_) {
        configuration_timer_.cancel();
        watch_configuration();
    }
    if (upstreams_retry_.end_extension() && !reading_upstreams_) {
        upstreams_timer_.cancel();
        watch_upstreams();
    }
}

void store_watch::check_outage(kernel::time_point now)
{
    if (!stopped_ && hooks_.outage_retry_delay(now).count() == 0) {
        end_outage();
    }
}

// A later reading without a change says nothing more about a version that could not be applied, so the result is kept
// until the store holds another one.
void store_watch::apply_reading(const configuration_reading& reading, bool complete)
{
    if (reading.configuration && reading.configuration->version < hooks_.version()) {
        if (newest_ != newest_version::older) {
            log_.write(hooks_.clock(), line_priority::important, proxy_event::configuration_older,
                       {{"version", std::to_string(reading.configuration->version.value())},
                        {"in_force", std::to_string(hooks_.version().value())}});
        }
        newest_ = newest_version::older;
    }
    else if (reading.configuration) {
        const auto before = hooks_.version();
        hooks_.apply(*reading.configuration);
        newest_ = newest_version::in_force;
        if (reading.document && hooks_.version() > before) {
            hooks_.relay_document(hooks_.version(), *reading.document);
        }
    }
    else if (reading.unreadable) {
        newest_ = newest_version::not_applicable;
        log_.write(hooks_.clock(), line_priority::important, proxy_event::configuration_kept,
                   {{"reason", std::string{reading.unreadable->name()}}, {"object", reading.unreadable->subject()}});
    }
    else if (complete) {
        newest_ = newest_version::none_published;
    }
}

void store_watch::apply_evacuations(const configuration_reading& reading, bool complete)
{
    const auto now = hooks_.clock();
    for (const auto& row : reading.evacuations) {
        if (row.present && !row.readable) {
            log_.write(now, line_priority::important, proxy_event::evacuation_unreadable,
                       {{"data_centre", row.data_centre.value()}});
        }
    }
    const store_position position{reading.metadata.era, reading.metadata.revision};
    const bool changed =
        complete ? evacuations_.replace({position, evacuated_data_centres(reading.evacuations), {}, {}}, now)
                 : evacuations_.update(reading.evacuations, position, now);
    if (changed) {
        hooks_.on_evacuations_changed();
    }
}

store_watch::era_check store_watch::check_era(store_era era)
{
    if (era_ && era < *era_) {
        metrics_.record_store_call("older_era");
        return era_check::older;
    }
    if (!era_ || *era_ == era) {
        era_ = era;
        return era_check::same;
    }
    enter_era(era);
    return era_check::entered;
}

// What is known stays until rows of the new era say otherwise; what it was dated by does not.
void store_watch::enter_era(store_era era)
{
    log_.write(hooks_.clock(), line_priority::important, proxy_event::store_era_changed,
               {{"era", std::to_string(era.value())},
                {"before", std::to_string(era_.value_or(store_era{}).value())},
                {"version", std::to_string(hooks_.version().value())}});
    era_ = era;
    relayed_era_.reset();
    store_clock_ = {};
    confirmed_at_ = {};
    relayed_confirmation_ = {};
    upstreams_kept_ = has_upstreams();
    configuration_revision_.reset();
    upstreams_revision_.reset();
    upstreams_restored_ = true;
    hooks_.on_new_era();
}

// A damaged relay must not make the host refuse the store's own responses, so the store is asked first. A host that
// cannot reach it enters the era with the second relay.
bool store_watch::is_of_this_era(const store_relay& relay)
{
    if (!era_ || relay.era < *era_) {
        return false;
    }
    if (relay.era == *era_) {
        relayed_era_.reset();
        return true;
    }
    if (relayed_era_ == relay.era) {
        enter_era(relay.era);
        restart_upstreams_call();
    }
    else {
        relayed_era_ = relay.era;
    }
    if (!configuration_retry_.is_delaying(hooks_.clock())) {
        restart_configuration_call();
    }
    return era_ == relay.era;
}

void store_watch::restart_configuration_call()
{
    if (reading_configuration_) {
        store_.cancel_configuration_calls();
        reading_configuration_ = false;
    }
    configuration_revision_.reset();
    configuration_timer_.cancel();
    watch_configuration();
}

// A call that was sent while the store was unavailable may never be answered.
void store_watch::restart_upstreams_call()
{
    if (reading_upstreams_) {
        store_.cancel_upstream_calls();
        reading_upstreams_ = false;
    }
    upstreams_timer_.cancel();
    watch_upstreams();
}

void store_watch::watch_upstreams()
{
    schedule(upstreams_timer_, maximum_upstreams_retry_delay, &store_watch::watch_upstreams);
    if (const auto wait = remaining_relay_wait(hooks_.clock()); wait > kernel::duration::zero()) {
        upstreams_answered_since_.reset();
        schedule(upstreams_timer_, std::chrono::ceil<milliseconds>(wait), &store_watch::watch_upstreams);
        return;
    }
    upstreams_timer_.cancel();
    reading_upstreams_ = true;
    upstreams_call_sent_at_ = hooks_.clock();
    const bool complete = !upstreams_revision_;
    const auto done = [self = shared_from_this(), complete](const auto& reading) {
        self->on_upstreams(reading, complete);
    };
    if (complete) {
        store_.read_upstreams(done);
        return;
    }
    store_.await_upstream_changes(*upstreams_revision_, poll_timeout, done);
}

void store_watch::on_upstreams(const kernel::result<upstreams_reading>& reading, bool complete)
{
    reading_upstreams_ = false;
    if (stopped_) {
        return;
    }
    schedule(upstreams_timer_, maximum_upstreams_retry_delay, &store_watch::watch_upstreams);
    const auto now = hooks_.clock();
    if (!reading) {
        record_failure(upstreams_call, reading.error());
        upstreams_answered_since_.reset();
        if (!reading.error().is(proxy_event::store_history_lost)) {
            upstreams_.record_store_failure(now);
        }
        if (requires_full_read(reading.error())) {
            upstreams_revision_.reset();
        }
        schedule(upstreams_timer_, retry_delay(upstreams_retry_, reading.error(), now), &store_watch::watch_upstreams);
        return;
    }
    const auto era = check_era(reading->metadata.era);
    if (era == era_check::older) {
        schedule(upstreams_timer_, upstreams_retry_.next_delay(now), &store_watch::watch_upstreams);
        return;
    }
    record_success(upstreams_call, reading->metadata);
    upstreams_answered_since_ = upstreams_answered_since_.value_or(now);
    upstreams_retry_.reset();
    if (era == era_check::entered) {
        restart_configuration_call();
        if (!complete) {
            watch_upstreams();
            return;
        }
    }
    for (const auto& key : reading->unreadable_keys) {
        log_.write(now, line_priority::routine, proxy_event::upstream_entry_unreadable, {{"entry", key}});
    }
    if (!complete && reading->metadata.revision < *upstreams_revision_) {
        // Relays have brought later changes since the call was sent.
        upstreams_.remove_missing(now);
        schedule(upstreams_timer_, upstreams_batch_delay, &store_watch::watch_upstreams);
        return;
    }
    // A complete list is not relayed. The other hosts detect the gap at the next relay and read the store themselves.
    const auto after = complete ? reading->metadata.revision : *upstreams_revision_;
    upstreams_revision_ = reading->metadata.revision;
    if (complete) {
        replace_upstreams(reading->present, now);
        relay_changes(after, {}, {});
    }
    else {
        std::vector<upstream_record> changed;
        for (const auto& record : reading->present) {
            if (upstreams_.update(record, now)) {
                changed.push_back(record);
            }
        }
        apply_changes({}, reading->removed, now);
        relay_changes(after, std::move(changed), reading->removed);
    }
    upstreams_.remove_missing(now);
    schedule(upstreams_timer_, upstreams_batch_delay, &store_watch::watch_upstreams);
}

// The first list of a new era may name processes that have left since the store's copy was made.
void store_watch::replace_upstreams(const std::vector<upstream_record>& present, kernel::time_point now)
{
    upstreams_kept_ = false;
    if (std::exchange(upstreams_restored_, false)) {
        upstreams_.restore(present, now);
        return;
    }
    upstreams_.replace_all(present, now);
}

void store_watch::apply_changes(const std::vector<upstream_record>& present,
                                const std::vector<kernel::upstream_name>& removed, kernel::time_point now)
{
    for (const auto& record : present) {
        upstreams_.update(record, now);
    }
    for (const auto& id : removed) {
        upstreams_.remove(id, now);
    }
}

void store_watch::relay_changes(store_revision after, std::vector<upstream_record> present,
                                std::vector<kernel::upstream_name> removed)
{
    store_relay relay{hooks_.version(),     confirmed_at_,      after,
                      *upstreams_revision_, std::move(present), std::move(removed)};
    relay.era = era();
    // The upstreams may be read in a new era before the evacuations are.
    if (const auto& state = evacuations_.state(); state && state->position.era == relay.era) {
        relay.evacuated = state;
    }
    relay.store_is_stable =
        upstreams_answered_since_ && hooks_.clock() - *upstreams_answered_since_ > reappearance_time;
    hooks_.relay(std::move(relay));
}

void store_watch::on_relay(const store_relay& relay)
{
    if (stopped_) {
        return;
    }
    if (!is_of_this_era(relay)) {
        return;
    }
    const auto now = hooks_.clock();
    relay_received_at_ = now;
    end_outage();
    upstreams_.remove_missing(now);
    if (relay.evacuated && evacuations_.replace(*relay.evacuated, now)) {
        hooks_.on_evacuations_changed();
    }
    if (relay.version > hooks_.version()) {
        relayed_version_ = std::max(relayed_version_, relay.version);
        newer_version_relayed_at_ = now;
        relayed_confirmation_ = std::max(relayed_confirmation_, relay.confirmed_at);
        await_document(relay);
        if (!awaiting_document_) {
            read_newer_version(now);
        }
    }
    else if (relay.version == hooks_.version() && relay.version.value() > 0 && relay.confirmed_at > store_time{0}) {
        freshness_.confirm(store_clock_, relay.confirmed_at);
    }
    apply_relayed_upstreams(relay, now);
}

// The changes count although a call of this host is under way: its connection may have gone silent.
void store_watch::apply_relayed_upstreams(const store_relay& relay, kernel::time_point now)
{
    if (!upstreams_revision_) {
        return;
    }
    if (relay.after <= *upstreams_revision_) {
        // The calls of this host may fail although the store is available to others.
        if (relay.store_is_stable) {
            upstreams_.record_store_stable();
            upstreams_.remove_missing(now);
        }
        if (relay.up_to > *upstreams_revision_) {
            apply_changes(relay.present, relay.removed, now);
            upstreams_revision_ = relay.up_to;
        }
        return;
    }
    // A relay was lost, so the host reads the changes itself. The store answers a call that waits for them at once,
    // unless that call is lost as well.
    if (reading_upstreams_ && now - upstreams_call_sent_at_ < overdue_call_time) {
        return;
    }
    relay_received_at_.reset();
    restart_upstreams_call();
}

// After a failed call the retry delay applies, no matter how many relays arrive. A pending call is replaced once for
// each version, so that relays do not cancel each call to a slow store.
void store_watch::read_newer_version(kernel::time_point now)
{
    if (reading_configuration_) {
        if (!configuration_call_is_overdue(now) || replaced_call_for_ == relayed_version_) {
            return;
        }
        replaced_call_for_ = relayed_version_;
        store_.cancel_configuration_calls();
    }
    else if (configuration_retry_.is_delaying(now)) {
        return;
    }
    configuration_revision_.reset();
    configuration_timer_.cancel();
    watch_configuration();
}

// A version that no relay has named for a while is no reason to confirm nothing: the relay may have been damaged.
bool store_watch::is_newer_version_relayed(kernel::time_point now) const
{
    return hooks_.version() < relayed_version_ && now - newer_version_relayed_at_ < newer_version_lifetime;
}

// Starts the wait for the parts of a document once for each version. A pending call of this host is answered by the
// store itself.
void store_watch::await_document(const store_relay& relay)
{
    if (!relay.document_sent || reading_configuration_ || !configuration_revision_ ||
        relay.version <= awaited_document_) {
        return;
    }
    awaited_document_ = relay.version;
    awaiting_document_ = true;
    schedule(document_timer_, document_timeout, &store_watch::end_document_wait);
}

void store_watch::end_document_wait()
{
    awaiting_document_ = false;
    const auto now = hooks_.clock();
    if (stopped_ || relayed_version_ <= hooks_.version()) {
        return;
    }
    log_.write(now, line_priority::routine, proxy_event::document_incomplete,
               {{"version", std::to_string(relayed_version_.value())}});
    read_newer_version(now);
}

void store_watch::on_document(const traffic_configuration& configuration)
{
    if (stopped_ || configuration.version <= hooks_.version()) {
        return;
    }
    hooks_.apply(configuration);
    newest_ = newest_version::in_force;
    if (relayed_version_ == hooks_.version()) {
        freshness_.confirm(store_clock_, relayed_confirmation_);
    }
    if (awaited_document_ <= hooks_.version()) {
        awaiting_document_ = false;
        document_timer_.cancel();
    }
}

bool store_watch::configuration_call_is_overdue(kernel::time_point now) const
{
    return configuration_retry_.has_failed() || now - configuration_call_sent_at_ >= overdue_call_time;
}

void store_watch::record_success(std::string_view call, const response_metadata& metadata)
{
    store_clock_.observe(metadata.sent_at, metadata.store_now);
    last_success_at_ = hooks_.clock();
    metrics_.record_store_call("answered");
    if (failing_since_) {
        const auto now = hooks_.clock();
        log_.write(now, line_priority::important, proxy_event::store_recovered,
                   {{"call", std::string{call}}, {"away_ms", kernel::to_milliseconds_text(now - *failing_since_)}});
        failing_since_.reset();
    }
}

void store_watch::record_failure(std::string_view call, const kernel::failure& reason)
{
    metrics_.record_store_call(reason.name());
    const auto now = hooks_.clock();
    if (!failing_since_) {
        failing_since_ = now;
        log_.write(now, line_priority::important, proxy_event::store_unreachable,
                   {{"call", std::string{call}}, {"reason", std::string{reason.name()}}, {"detail", reason.subject()}});
    }
}

} // namespace wisterialane::proxy
