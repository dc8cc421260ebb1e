#include "libraries/proxy/store_watch.h"

#include "libraries/proxy/proxy_events.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;
using milliseconds = std::chrono::milliseconds;

/// How long a call waits for a new version. Each answer, also one without news, confirms the version in force.
constexpr milliseconds configuration_wait{900};
constexpr milliseconds upstreams_wait{2500};
/// Changes that come in quick succession are read together.
constexpr milliseconds upstreams_pause{250};
/// Pause after a failed call; doubles with each further failure, up to the longest. Every host calls while the store is
/// away, and refused calls cost as well.
constexpr milliseconds first_retry_pause{300};
constexpr milliseconds longest_retry_pause{1200};
/// A host that hears no relay for this time reads by itself. The reader relays after each answer, at least once in
/// `configuration_wait`; a new version has to be in force within two seconds also when the reader fails.
constexpr milliseconds relay_silence{1200};
/// The hosts of a data centre that start together know their reader after this time.
constexpr milliseconds election_time{1000};
/// A host whose last call succeeded this long ago still counts as one that reaches the store; those that rely on a
/// reader make no calls.
constexpr milliseconds store_memory{60000};

// After a call that failed on its way the next one asks for the changes since the same revision. Until then the relays
// of the data centre's reader still fit.
bool must_read_anew(const kernel::failure& reason)
{
    return !reason.is(proxy_event::store_unreachable) && !reason.is(proxy_event::store_refused);
}

} // namespace

milliseconds retry_backoff::next(kernel::time_point now)
{
    pause_ = pause_.count() == 0 ? first_retry_pause : std::min(longest_retry_pause, 2 * pause_);
    until_ = now + pause_;
    return pause_;
}

store_watch::store_watch(io_context& context, store_client& source, upstream_directory& upstreams,
                         configuration_freshness& confirmed, proxy_metrics& metrics, kernel::decision_log& log,
                         hooks use)
    : source_{source}, upstreams_{upstreams}, confirmed_{confirmed}, metrics_{metrics}, log_{log}, use_{std::move(use)},
      configuration_pause_{context.get_executor()}, upstreams_pause_{context.get_executor()}
{}

void store_watch::start()
{
    // After its first reads a host waits for the reader as if it had just been heard.
    relay_heard_at_ = use_.clock() + election_time;
    watch_configuration();
    watch_upstreams();
}

void store_watch::stop()
{
    stopped_ = true;
    configuration_pause_.cancel();
    upstreams_pause_.cancel();
}

void store_watch::wait(timer& pause, milliseconds time, void (store_watch::*next)())
{
    pause.expires_after(time);
    pause.async_wait([self = shared_from_this(), next](error_code cancelled) {
        if (!cancelled && !self->stopped_) {
            (self.get()->*next)();
        }
    });
}

kernel::duration store_watch::remaining_relay_wait(kernel::time_point now) const
{
    if (!relay_heard_at_ || !configuration_revision_ || !upstreams_revision_ || use_.is_store_reader(now)) {
        return kernel::duration::zero();
    }
    return std::max<kernel::duration>(kernel::duration::zero(), *relay_heard_at_ + relay_silence - now);
}

void store_watch::begin_reading()
{
    if (!stopped_ && !reading_configuration_ && configuration_revision_) {
        configuration_pause_.cancel();
        watch_configuration();
    }
    if (!stopped_ && !reading_upstreams_ && upstreams_revision_) {
        upstreams_pause_.cancel();
        watch_upstreams();
    }
}

bool store_watch::reaches_store(kernel::time_point now) const
{
    return !failing_since_ && answered_at_ && now - *answered_at_ < store_memory;
}

void store_watch::watch_configuration()
{
    if (const auto left = remaining_relay_wait(use_.clock()); left > kernel::duration::zero()) {
        wait(configuration_pause_, std::chrono::ceil<milliseconds>(left), &store_watch::watch_configuration);
        return;
    }
    reading_configuration_ = true;
    const auto done = [self = shared_from_this()](const auto& reading) { self->on_configuration(reading); };
    if (configuration_revision_) {
        source_.await_configuration(*configuration_revision_, configuration_wait, done);
        return;
    }
    source_.read_configuration(done);
}

void store_watch::on_configuration(const kernel::result<configuration_reading>& reading)
{
    reading_configuration_ = false;
    if (stopped_) {
        return;
    }
    if (!reading) {
        note_failure(reading.error());
        if (must_read_anew(reading.error())) {
            configuration_revision_.reset();
        }
        wait(configuration_pause_, configuration_retry_.next(use_.clock()), &store_watch::watch_configuration);
        return;
    }
    note_success(reading->metadata);
    configuration_retry_.reset();
    upstreams_.remove_missing(use_.clock());
    const bool in_force = !reading->configuration || use_.apply(*reading->configuration);
    if (in_force && use_.version().value() > 0) {
        confirmed_.confirm(clock_, reading->metadata.store_now);
        confirmed_read_ = std::max(confirmed_read_, reading->metadata.store_now);
    }
    configuration_revision_ = reading->metadata.revision;
    if (upstreams_revision_) {
        relay_changes(*upstreams_revision_, {}, {});
    }
    watch_configuration();
}

void store_watch::watch_upstreams()
{
    if (const auto left = remaining_relay_wait(use_.clock()); left > kernel::duration::zero()) {
        wait(upstreams_pause_, std::chrono::ceil<milliseconds>(left), &store_watch::watch_upstreams);
        return;
    }
    reading_upstreams_ = true;
    const bool complete = !upstreams_revision_;
    const auto done = [self = shared_from_this(), complete](const auto& reading) {
        self->on_upstreams(reading, complete);
    };
    if (complete) {
        source_.read_upstreams(done);
        return;
    }
    source_.await_upstream_changes(*upstreams_revision_, upstreams_wait, done);
}

void store_watch::on_upstreams(const kernel::result<upstreams_reading>& reading, bool complete)
{
    reading_upstreams_ = false;
    if (stopped_) {
        return;
    }
    const auto now = use_.clock();
    if (!reading) {
        note_failure(reading.error());
        if (!reading.error().is(proxy_event::store_history_lost)) {
            upstreams_.record_store_failure(now);
        }
        if (must_read_anew(reading.error())) {
            upstreams_revision_.reset();
        }
        wait(upstreams_pause_, upstreams_retry_.next(now), &store_watch::watch_upstreams);
        return;
    }
    note_success(reading->metadata);
    upstreams_retry_.reset();
    for (const auto& key : reading->unreadable_keys) {
        log_.write(now, line_priority::routine, proxy_event::upstream_entry_unreadable, {{"entry", key}});
    }
    // Others have no part of a complete list, so the next relay shows them a gap and they read by themselves.
    const auto after = complete ? reading->metadata.revision : *upstreams_revision_;
    upstreams_revision_ = reading->metadata.revision;
    if (complete) {
        upstreams_.replace_all(reading->present, now);
        relay_changes(after, {}, {});
    }
    else {
        std::vector<upstream_record> changed;
        for (const auto& record : reading->present) {
            if (upstreams_.update(record)) {
                changed.push_back(record);
            }
        }
        apply_changes({}, reading->removed, now);
        relay_changes(after, std::move(changed), reading->removed);
    }
    upstreams_.remove_missing(now);
    wait(upstreams_pause_, upstreams_pause, &store_watch::watch_upstreams);
}

void store_watch::apply_changes(const std::vector<upstream_record>& present,
                                const std::vector<kernel::upstream_name>& removed, kernel::time_point now)
{
    for (const auto& record : present) {
        upstreams_.update(record);
    }
    for (const auto& id : removed) {
        upstreams_.remove(id, now);
    }
}

void store_watch::relay_changes(store_revision after, std::vector<upstream_record> present,
                                std::vector<kernel::upstream_name> removed)
{
    use_.relay({use_.version(), confirmed_read_, after, *upstreams_revision_, std::move(present), std::move(removed)});
}

void store_watch::on_relay(const store_relay& relay)
{
    if (stopped_) {
        return;
    }
    const auto now = use_.clock();
    relay_heard_at_ = now;
    upstreams_.remove_missing(now);
    if (relay.version > use_.version()) {
        // After a failure the next call keeps its pause, however many relays come.
        if (!reading_configuration_ && !configuration_retry_.is_pausing(now)) {
            configuration_revision_.reset();
            configuration_pause_.cancel();
            watch_configuration();
        }
    }
    else if (relay.version == use_.version() && relay.version.value() > 0) {
        confirmed_.confirm(clock_, relay.confirmed_at);
    }
    if (!upstreams_revision_ || reading_upstreams_ || relay.up_to <= *upstreams_revision_) {
        return;
    }
    if (relay.after > *upstreams_revision_) {
        // A relay was lost.
        relay_heard_at_.reset();
        upstreams_pause_.cancel();
        watch_upstreams();
        return;
    }
    apply_changes(relay.present, relay.removed, now);
    upstreams_revision_ = relay.up_to;
}

void store_watch::note_success(const answer_metadata& at)
{
    clock_.observe(at.sent_at, at.store_now);
    answered_at_ = use_.clock();
    metrics_.record_store_call("answered");
    if (failing_since_) {
        const auto now = use_.clock();
        const auto away = std::chrono::duration_cast<milliseconds>(now - *failing_since_).count();
        log_.write(now, line_priority::important, proxy_event::store_recovered, {{"away_ms", std::to_string(away)}});
        failing_since_.reset();
    }
}

void store_watch::note_failure(const kernel::failure& reason)
{
    metrics_.record_store_call(reason.name());
    const auto now = use_.clock();
    if (!failing_since_) {
        failing_since_ = now;
        log_.write(now, line_priority::important, proxy_event::store_unreachable,
                   {{"reason", std::string{reason.name()}}, {"detail", reason.subject()}});
    }
}

} // namespace wisterialane::proxy
