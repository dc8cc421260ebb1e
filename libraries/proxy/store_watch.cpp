#include "libraries/proxy/store_watch.h"

#include "libraries/proxy/proxy_events.h"

namespace wisterialane::proxy {
namespace {

using kernel::line_urgency;
using milliseconds = std::chrono::milliseconds;

/// How long a call waits for a new version. Each answer, also one without news, confirms the version in force.
constexpr milliseconds configuration_wait{1000};
/// Upstreams write several times a second, so that waiting for a change would return at once.
constexpr milliseconds upstream_poll_pause{800};
constexpr milliseconds retry_pause{300};

} // namespace

store_watch::store_watch(io_context& context, control_source& source, upstream_directory& upstreams,
                         freshness& confirmed, proxy_metrics& metrics, kernel::decision_log& log, hooks use)
    : source_{source}, upstreams_{upstreams}, confirmed_{confirmed}, metrics_{metrics}, log_{log}, use_{std::move(use)},
      configuration_pause_{context.get_executor()}, upstreams_pause_{context.get_executor()}
{}

void store_watch::start()
{
    watch_configuration();
    poll_upstreams();
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

void store_watch::watch_configuration()
{
    const auto done = [self = shared_from_this()](const auto& reading) { self->on_configuration(reading); };
    if (configuration_revision_) {
        source_.await_configuration(*configuration_revision_, configuration_wait, done);
        return;
    }
    source_.read_configuration(done);
}

void store_watch::on_configuration(const kernel::result<configuration_reading>& reading)
{
    if (stopped_) {
        return;
    }
    if (!reading) {
        note_failure(reading.error());
        // What was missed is unknown, so everything is read anew.
        configuration_revision_.reset();
        wait(configuration_pause_, retry_pause, &store_watch::watch_configuration);
        return;
    }
    note_success(reading->at);
    const bool was_waiting = configuration_revision_.has_value();
    const bool known = was_waiting || reading->configuration.has_value();
    const bool in_force = !reading->configuration || use_.apply(*reading->configuration);
    if (known && in_force) {
        confirmed_.confirm(clock_, reading->at.read);
    }
    configuration_revision_ = reading->at.revision;
    watch_configuration();
}

void store_watch::poll_upstreams()
{
    const bool complete = !upstreams_revision_;
    const auto done = [self = shared_from_this(), complete](const auto& reading) {
        self->on_upstreams(reading, complete);
    };
    if (complete) {
        source_.read_upstreams(done);
        return;
    }
    source_.read_upstream_changes(*upstreams_revision_, done);
}

void store_watch::on_upstreams(const kernel::result<upstreams_reading>& reading, bool complete)
{
    if (stopped_) {
        return;
    }
    const auto now = use_.clock();
    if (!reading) {
        note_failure(reading.error());
        if (!reading.error().is(proxy_event::store_history_lost)) {
            upstreams_.store_failed(now);
        }
        upstreams_revision_.reset();
        wait(upstreams_pause_, retry_pause, &store_watch::poll_upstreams);
        return;
    }
    note_success(reading->at);
    for (const auto& key : reading->unreadable) {
        log_.write(now, line_urgency::routine, proxy_event::upstream_entry_unreadable, {{"entry", key}});
    }
    if (complete) {
        upstreams_.replace_all(reading->present, now);
    }
    else {
        for (const auto& record : reading->present) {
            upstreams_.update(record, now);
        }
        for (const auto& id : reading->removed) {
            upstreams_.remove(id, now);
        }
    }
    upstreams_.settle(now);
    upstreams_revision_ = reading->at.revision;
    wait(upstreams_pause_, upstream_poll_pause, &store_watch::poll_upstreams);
}

void store_watch::note_success(const store_reading& at)
{
    clock_.observe(at.sent, at.read);
    metrics_.record_store_call("answered");
    if (failing_since_) {
        const auto now = use_.clock();
        const auto away = std::chrono::duration_cast<milliseconds>(now - *failing_since_).count();
        log_.write(now, line_urgency::important, proxy_event::store_recovered, {{"away_ms", std::to_string(away)}});
        failing_since_.reset();
    }
}

void store_watch::note_failure(const kernel::failure& reason)
{
    metrics_.record_store_call(reason.name());
    const auto now = use_.clock();
    if (!failing_since_) {
        failing_since_ = now;
        log_.write(now, line_urgency::important, proxy_event::store_unreachable,
                   {{"reason", std::string{reason.name()}}, {"detail", reason.subject()}});
    }
}

} // namespace wisterialane::proxy
