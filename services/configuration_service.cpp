#include "services/configuration_service.h"

#include "kernel/event_log.h"
#include "kernel/random_id.h"
#include "libraries/configuration/configuration_events.h"
#include "libraries/peers/envelope_codec.h"
#include "libraries/peers/peers_events.h"
#include "libraries/platform/platform_events.h"

#include <algorithm>
#include <utility>

namespace wisterialane::services {
namespace {

using configuration::configuration_event;
using configuration::freshness;

constexpr std::size_t kept_record_limit = 1000;
constexpr std::uint64_t snapshot_interval = 100;
// Leaves room in an envelope for the last record, which may be large itself.
constexpr std::size_t record_response_bytes = peers::maximum_payload_bytes / 2;
// The fleet as a whole reads at most this many rows a second.
constexpr std::int64_t fleet_polls_per_second = 64;
constexpr std::chrono::milliseconds watch_interval{100};
// Hosts that try to store the accepted version in one announce interval, on average.
constexpr double accepted_writers = 3;
// Polls of hosts that started together spread out over this share of the interval, in each direction.
constexpr double jitter_share = 0.2;

const kernel::operator_name fleet_author{"fleet"};

bool by_instance(const configuration::roster_entry& left, const configuration::roster_entry& right)
{
    return left.instance.value() < right.instance.value();
}

configuration::roster roster_of(const std::vector<platform::listed_host>& listed)
{
    configuration::roster wanted;
    for (const auto& host : listed) {
        if (host.role == platform::listed_role::entry_host && host.state == platform::listed_state::live) {
            wanted.entries.push_back({host.instance, host.name, host.data_centre, host.caller_address,
                                      host.operator_address, host.peer_address});
        }
    }
    std::sort(wanted.entries.begin(), wanted.entries.end(), by_instance);
    return wanted;
}

} // namespace

configuration_service::configuration_service(configuration_service_settings settings, platform::table& table,
                                             platform::object_store& objects, platform::host_list& hosts,
                                             kernel::clock_source clock)
    : settings_{std::move(settings)}, log_{table, objects}, accepted_store_{table},
      host_list_{hosts}, clock_{std::move(clock)}, tracker_{settings_.self.instance},
      poll_random_{std::random_device{}()}, store_random_{std::random_device{}()}
{}

configuration_service::~configuration_service()
{
    configuration_service::stop();
}

kernel::result<void> configuration_service::start()
{
    watch_task_ = std::make_unique<kernel::periodic_task>([this] { return watch_freshness(); });
    poll_task_ = std::make_unique<kernel::periodic_task>([this] { return poll(); });
    host_list_task_ = std::make_unique<kernel::periodic_task>([this] { return follow_host_list(); });
    return {};
}

void configuration_service::stop()
{
    // A stopped service learns nothing more, so that its answers must not be acted on.
    enter_state(peers::host_state::departed);
    host_list_task_.reset();
    // The poll task is woken by the other tasks' threads, which have ended now.
    poll_task_.reset();
    watch_task_.reset();
}

void configuration_service::read(const std::function<void(const configuration::configuration_set&)>& use) const
{
    const std::shared_lock lock{set_mutex_};
    use(set_);
}

freshness configuration_service::freshness_at(kernel::time_point now) const
{
    const std::lock_guard lock{mutex_};
    return tracker_.freshness_at(now);
}

kernel::version_number configuration_service::settled_version(kernel::time_point now) const
{
    const std::lock_guard lock{mutex_};
    return tracker_.settled(now);
}

configuration::version_progress configuration_service::progress_of(kernel::version_number version,
                                                                   kernel::time_point /*now*/) const
{
    const std::lock_guard lock{mutex_};
    return tracker_.progress_of(version);
}

void configuration_service::poll_now()
{
    if (poll_task_) {
        poll_task_->wake();
    }
}

void configuration_service::add_listener(listener notify)
{
    listeners_.push_back(std::move(notify));
}

void configuration_service::set_leaving_listener(leaving_listener notify)
{
    leaving_listener_ = std::move(notify);
}

std::vector<configuration::roster_entry> configuration_service::live_hosts(kernel::time_point now) const
{
    auto entries = current_roster().entries;
    const std::lock_guard lock{mutex_};
    std::erase_if(entries, [this, now](const configuration::roster_entry& entry) {
        return known_state(entry.instance) != peers::host_state::serving ||
               !tracker_.heard_since(entry.instance, now - peers::freshness_bound);
    });
    return entries;
}

configuration::roster configuration_service::current_roster() const
{
    const std::shared_lock lock{set_mutex_};
    return set_.hosts();
}

kernel::version_number configuration_service::version() const
{
    const std::shared_lock lock{set_mutex_};
    return set_.version();
}

peers::host_state configuration_service::state_of(const kernel::instance_id& instance) const
{
    const std::lock_guard lock{mutex_};
    return known_state(instance);
}

peers::host_state configuration_service::known_state(const kernel::instance_id& instance) const
{
    const auto heard = tracker_.state_of(instance);
    const bool listed =
        std::find(leaving_instances_.begin(), leaving_instances_.end(), instance) != leaving_instances_.end();
    return listed ? std::max(heard, peers::host_state::draining) : heard;
}

void configuration_service::enter_state(peers::host_state state)
{
    const std::lock_guard lock{mutex_};
    state_ = std::max(state_, state);
    tracker_.enter_state(state);
}

void configuration_service::claim_peer_address()
{
    const std::lock_guard lock{mutex_};
    tracker_.claim_address(settings_.self.peer_address, clock_());
}

peers::pull_response configuration_service::report(kernel::time_point now) const
{
    const std::lock_guard lock{mutex_};
    return tracker_.report(now);
}

peers::hear_outcome configuration_service::hear(const kernel::instance_id& sender, const peers::pull_response& response,
                                                kernel::time_point sent, kernel::time_point now)
{
    const std::lock_guard lock{mutex_};
    return tracker_.hear(sender, response, sent, now);
}

void configuration_service::hear_request(const kernel::instance_id& sender, const peers::pull_request& request,
                                         kernel::time_point now)
{
    const std::lock_guard lock{mutex_};
    tracker_.hear_request(sender, request.version, request.state, now);
}

peers::record_response configuration_service::records_since(kernel::version_number since) const
{
    peers::record_response response;
    {
        const std::lock_guard lock{mutex_};
        std::size_t bytes = 0;
        for (const auto& kept : records_) {
            if (kept.version.value() <= since.value()) {
                continue;
            }
            if (response.records.empty() && kept.version.value() != since.value() + 1) {
                break;
            }
            bytes += kept.text.size();
            if (!response.records.empty() && bytes > record_response_bytes) {
                break;
            }
            response.records.push_back(kept.text);
        }
    }
    if (response.records.empty()) {
        const std::shared_lock lock{set_mutex_};
        if (set_.version().value() > since.value()) {
            response.snapshot = set_.encode_snapshot();
        }
    }
    return response;
}

kernel::result<kernel::version_number> configuration_service::apply_response(const peers::record_response& response,
                                                                             kernel::time_point now)
{
    if (response.snapshot) {
        auto set = configuration::configuration_set::decode_snapshot(*response.snapshot);
        if (!set) {
            return tl::unexpected{set.error()};
        }
        adopt_snapshot(std::move(*set), now);
    }
    for (const auto& text : response.records) {
        const auto next = configuration::decode_record(text);
        if (!next) {
            return tl::unexpected{next.error()};
        }
        if (auto applied = apply_record(*next, text, now); !applied) {
            return tl::unexpected{applied.error()};
        }
    }
    return version();
}

kernel::duration configuration_service::poll()
{
    if (!start_read_) {
        if (const auto started = read_start(); !started) {
            kernel::log_failure(kernel::severity::warning, started.error());
            return poll_pause();
        }
        start_read_ = true;
    }
    while (true) {
        const auto outcome = poll_once();
        if (!outcome) {
            kernel::log_failure(kernel::severity::warning, outcome.error());
            return poll_pause();
        }
        if (*outcome == poll_outcome::current) {
            return poll_pause();
        }
    }
}

kernel::result<configuration_service::poll_outcome> configuration_service::poll_once()
{
    const auto held = version();
    // Read before the request is sent: the row was absent at some time not before it.
    const auto sent = clock_();
    const auto next = log_.read(kernel::version_number{held.value() + 1});
    if (!next) {
        return tl::unexpected{next.error()};
    }
    if (!*next) {
        const std::lock_guard lock{mutex_};
        tracker_.observe(held, sent);
        last_poll_success_ = sent;
        return poll_outcome::current;
    }
    if (auto applied = apply_record(**next, configuration::encode_record(**next), clock_()); !applied) {
        return tl::unexpected{applied.error()};
    }
    store_snapshot_if_due();
    return poll_outcome::advanced;
}

kernel::result<void> configuration_service::read_start()
{
    // Peers may have sent more than the newest snapshot by now.
    if (version().value() == 0) {
        auto snapshot = log_.read_newest_snapshot();
        if (!snapshot) {
            return tl::unexpected{snapshot.error()};
        }
        if (*snapshot) {
            adopt_snapshot(std::move(**snapshot), clock_());
        }
    }
    const auto accepted = accepted_store_.read();
    if (!accepted) {
        return tl::unexpected{accepted.error()};
    }
    const std::lock_guard lock{mutex_};
    tracker_.learn_accepted(*accepted, clock_());
    return {};
}

void configuration_service::store_accepted()
{
    kernel::version_number accepted;
    std::size_t instances = 0;
    {
        const std::lock_guard lock{mutex_};
        accepted = tracker_.accepted();
        instances = tracker_.roster_size();
    }
    // A few hosts of the fleet suffice.
    const double share = std::min(1.0, accepted_writers / static_cast<double>(std::max<std::size_t>(instances, 1)));
    if (accepted.value() <= stored_accepted_.value() || !std::bernoulli_distribution{share}(store_random_)) {
        return;
    }
    if (const auto stored = accepted_store_.raise(accepted)) {
        stored_accepted_ = *stored;
    }
    else {
        kernel::log_failure(kernel::severity::warning, stored.error());
    }
}

kernel::duration configuration_service::poll_pause()
{
    const auto instances = static_cast<std::int64_t>(current_roster().entries.size());
    const kernel::duration fleet_share =
        std::chrono::nanoseconds{std::chrono::seconds{instances}} / fleet_polls_per_second;
    const auto pause = std::max(settings_.poll_interval, fleet_share);
    std::uniform_real_distribution<double> factor{1 - jitter_share, 1 + jitter_share};
    return std::chrono::duration_cast<kernel::duration>(pause * factor(poll_random_));
}

void configuration_service::store_snapshot_if_due()
{
    if (version().value() % snapshot_interval != 0) {
        return;
    }
    // A copy, because no lock may be held while the platform is slow.
    std::optional<configuration::configuration_set> copy;
    read([&copy](const configuration::configuration_set& set) { copy = set; });
    if (const auto stored = log_.store_snapshot(*copy); !stored) {
        kernel::log_failure(kernel::severity::warning, stored.error());
        return;
    }
    kernel::log_event(kernel::severity::information, configuration_event::snapshot_stored,
                      {{"version", std::to_string(copy->version().value())}});
}

kernel::result<void> configuration_service::apply_record(const configuration::record& next, std::string text,
                                                         kernel::time_point now)
{
    const std::lock_guard applying{apply_mutex_};
    if (next.version.value() <= set_.version().value()) {
        return {};
    }
    {
        const std::unique_lock lock{set_mutex_};
        if (auto applied = set_.apply(next); !applied) {
            return applied;
        }
    }
    {
        const std::lock_guard lock{mutex_};
        tracker_.advance(set_.version(), set_.hash(), set_.hosts(), now);
        keep_record(next.version, std::move(text));
    }
    kernel::log_event(kernel::severity::information, configuration_event::version_applied,
                      {{"version", std::to_string(next.version.value())}, {"proposal", next.proposal.value()}});
    notify_listeners();
    return {};
}

void configuration_service::adopt_snapshot(configuration::configuration_set set, kernel::time_point now)
{
    const std::lock_guard applying{apply_mutex_};
    if (set.version().value() <= set_.version().value()) {
        return;
    }
    {
        const std::unique_lock lock{set_mutex_};
        set_ = std::move(set);
    }
    {
        const std::lock_guard lock{mutex_};
        tracker_.start_at(set_.version(), set_.hash(), set_.hosts(), now);
        records_.clear();
    }
    kernel::log_event(kernel::severity::information, configuration_event::version_applied,
                      {{"version", std::to_string(set_.version().value())}, {"source", "snapshot"}});
    notify_listeners();
}

void configuration_service::keep_record(kernel::version_number version, std::string text)
{
    records_.push_back({version, std::move(text)});
    if (records_.size() > kept_record_limit) {
        records_.pop_front();
    }
}

void configuration_service::notify_listeners()
{
    for (const auto& notify : listeners_) {
        notify(set_);
    }
}

kernel::duration configuration_service::follow_host_list()
{
    announce();
    store_accepted();
    const auto listed = host_list_.read();
    if (!listed) {
        kernel::log_failure(kernel::severity::warning, listed.error());
        // The difference must last for the whole delay in readings that succeed.
        roster_differs_since_.reset();
        return settings_.announce_interval;
    }
    report_leaving(*listed);
    {
        const std::lock_guard lock{mutex_};
        leaving_instances_.clear();
        for (const auto& host : *listed) {
            if (host.role == platform::listed_role::entry_host && host.state == platform::listed_state::leaving) {
                leaving_instances_.push_back(host.instance);
            }
        }
    }
    follow_roster(*listed, clock_());
    return settings_.announce_interval;
}

void configuration_service::announce()
{
    platform::listed_host self;
    self.role = platform::listed_role::entry_host;
    {
        const std::lock_guard lock{mutex_};
        self.state =
            state_ == peers::host_state::serving ? platform::listed_state::live : platform::listed_state::leaving;
    }
    self.name = settings_.self.host;
    self.data_centre = settings_.self.data_centre;
    self.instance = settings_.self.instance;
    self.caller_address = settings_.self.caller_address;
    self.operator_address = settings_.self.operator_address;
    self.peer_address = settings_.self.peer_address;
    if (const auto announced = host_list_.announce(self); !announced) {
        kernel::log_failure(kernel::severity::warning, announced.error());
    }
}

void configuration_service::report_leaving(const std::vector<platform::listed_host>& listed) const
{
    if (!leaving_listener_) {
        return;
    }
    leaving_hosts leaving;
    for (const auto& host : listed) {
        if (host.state != platform::listed_state::leaving) {
            continue;
        }
        if (host.role == platform::listed_role::upstream) {
            leaving.upstreams.push_back(host.upstream_address);
        }
        else {
            leaving.instances.push_back(host.instance);
        }
    }
    leaving_listener_(leaving);
}

void configuration_service::follow_roster(const std::vector<platform::listed_host>& listed, kernel::time_point now)
{
    auto wanted = roster_of(listed);
    auto current = current_roster();
    if (wanted.entries.empty() || wanted == current || current != compared_roster_) {
        // Another host has appended a roster since the last comparison, to which the difference does not apply.
        roster_differs_since_.reset();
    }
    compared_roster_ = std::move(current);
    if (wanted.entries.empty() || wanted == compared_roster_) {
        return;
    }
    if (!roster_differs_since_) {
        roster_differs_since_ = now;
    }
    // A host that has not reached the log lately may hold an old version, whose successor exists already.
    if (now - *roster_differs_since_ >= settings_.roster_delay && platform_answers(now)) {
        append_roster(std::move(wanted));
    }
}

bool configuration_service::platform_answers(kernel::time_point now) const
{
    const std::lock_guard lock{mutex_};
    return last_poll_success_ && *last_poll_success_ >= now - peers::freshness_bound;
}

void configuration_service::append_roster(configuration::roster wanted)
{
    std::optional<configuration::record> next;
    read([&next, &wanted](const configuration::configuration_set& set) {
        if (set.hosts() != wanted) {
            next = configuration::make_record(set.version(), set.hash(),
                                              kernel::proposal_id{"roster-" + kernel::random_hex(16)}, fleet_author, {},
                                              wanted);
        }
    });
    if (!next) {
        return;
    }
    const auto outcome = log_.append(*next);
    if (!outcome) {
        kernel::log_failure(kernel::severity::warning, outcome.error());
    }
    else if (*outcome == configuration::append_outcome::appended) {
        kernel::log_event(
            kernel::severity::information, configuration_event::roster_changed,
            {{"version", std::to_string(next->version.value())}, {"instances", std::to_string(wanted.entries.size())}});
    }
    // The record is applied when it is read from the log, whoever appended it.
    poll_now();
}

kernel::duration configuration_service::watch_freshness()
{
    const auto now = clock_();
    const auto present = freshness_at(now);
    if (present != logged_freshness_) {
        logged_freshness_ = present;
        const bool fresh = present == freshness::fresh;
        kernel::log_event(fresh ? kernel::severity::information : kernel::severity::warning,
                          fresh ? configuration_event::configuration_fresh : configuration_event::configuration_stale,
                          {{"version", std::to_string(version().value())}});
    }
    return watch_interval;
}

} // namespace wisterialane::services
