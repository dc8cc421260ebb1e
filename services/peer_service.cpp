#include "services/peer_service.h"

#include "kernel/event_log.h"
#include "libraries/peers/peers_events.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wisterialane::services {
namespace {

using peers::peers_event;

// Share of the pulls that go to a peer in the own data centre, when it has one.
constexpr double own_data_centre_share = 0.75;
// A call to a silent peer costs its whole deadline, in which no other peer is asked.
constexpr std::chrono::seconds shortest_avoidance{2};
constexpr std::chrono::seconds longest_avoidance{32};
// Seeds are asked when no peer has answered for this long.
constexpr std::chrono::seconds seed_delay{2};
// Bounds the time that one pull spends on catching up.
constexpr int maximum_record_fetches = 64;
constexpr std::size_t departure_notices = 2;

// The host's part of a roster that a peer is chosen from.
struct candidate_peers {
    std::vector<kernel::socket_address> near;
    std::vector<kernel::socket_address> far;
};

} // namespace

peer_service::peer_service(peer_service_settings settings, configuration_service& configuration,
                           kernel::clock_source clock)
    : settings_{std::move(settings)}, configuration_{configuration}, clock_{std::move(clock)},
      codec_{settings_.secret, configuration.self().instance}, client_{codec_, counters_}, random_{
                                                                                               std::random_device{}()}
{}

peer_service::~peer_service()
{
    peer_service::stop();
}

kernel::result<void> peer_service::start()
{
    auto started = peers::peer_server::start(
        settings_.listen_address, codec_,
        [this](const kernel::instance_id& sender, const peers::message_content& request) {
            return answer(sender, request);
        },
        counters_);
    if (!started) {
        return tl::unexpected{started.error()};
    }
    server_ = std::move(*started);
    configuration_.claim_peer_address();
    pull_task_ = std::make_unique<kernel::periodic_task>([this] { return pull(); });
    return {};
}

void peer_service::stop()
{
    if (!pull_task_) {
        return;
    }
    pull_task_.reset();
    configuration_.enter_state(peers::host_state::departed);
    announce_departure();
    server_.reset();
}

kernel::result<std::vector<limits::loan>> peer_service::request_loans(const configuration::roster_entry& lender,
                                                                      std::vector<limits::loan_request> requests)
{
    auto response = client_.call(lender.peer_address, peers::loan_requests{std::move(requests)});
    if (!response) {
        return tl::unexpected{response.error()};
    }
    auto* loans = std::get_if<peers::loan_response>(&response->content);
    // Another instance at the lender's address does not know the lender's promises.
    if (loans == nullptr || response->sender != lender.instance) {
        return kernel::fail(peers_event::unexpected_content, lender.peer_address.value());
    }
    return std::move(loans->items);
}

void peer_service::begin_draining()
{
    kernel::log_event(kernel::severity::information, peers_event::draining_started);
    configuration_.enter_state(peers::host_state::draining);
}

bool peer_service::is_draining(const kernel::instance_id& instance) const
{
    return configuration_.state_of(instance) != peers::host_state::serving;
}

peer_traffic peer_service::traffic() const
{
    return {counters_.bytes_sent,       counters_.bytes_received, counters_.envelopes_dropped,
            counters_.channels_retired, pulls_answered_,          pulls_failed_};
}

kernel::duration peer_service::pull()
{
    if (const auto address = choose_peer(clock_())) {
        pull_from(*address);
    }
    return settings_.pull_interval;
}

std::optional<kernel::socket_address> peer_service::choose_peer(kernel::time_point now)
{
    candidate_peers candidates;
    const auto& self = configuration_.self();
    for (const auto& entry : configuration_.current_roster().entries) {
        // Two instances have one address while the roster lags behind a restart.
        if (entry.instance == self.instance || entry.peer_address == self.peer_address ||
            configuration_.state_of(entry.instance) == peers::host_state::departed ||
            is_avoided(entry.peer_address, now)) {
            continue;
        }
        auto& group = entry.data_centre == self.data_centre ? candidates.near : candidates.far;
        group.push_back(entry.peer_address);
    }
    const bool alone = candidates.near.empty() && candidates.far.empty();
    if (alone || !last_answer_ || now - *last_answer_ > seed_delay) {
        for (const auto& seed : settings_.seeds) {
            if (seed != self.peer_address && !is_avoided(seed, now)) {
                candidates.far.push_back(seed);
            }
        }
    }
    const bool prefer_near = std::bernoulli_distribution{own_data_centre_share}(random_);
    const bool use_near = candidates.far.empty() || (prefer_near && !candidates.near.empty());
    const auto& group = use_near ? candidates.near : candidates.far;
    if (group.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index{0, group.size() - 1};
    return group[index(random_)];
}

bool peer_service::is_avoided(const kernel::socket_address& address, kernel::time_point now) const
{
    const auto found = failing_peers_.find(address.value());
    return found != failing_peers_.end() && now < found->second.avoid_until;
}

void peer_service::pull_from(const kernel::socket_address& address)
{
    // Read before the request is sent: ages in the response count from here.
    const auto sent = clock_();
    const auto response = client_.call(address, make_pull_request());
    if (!response) {
        note_failure(address, response.error());
        return;
    }
    failing_peers_.erase(address.value());
    last_answer_ = clock_();
    ++pulls_answered_;
    take_response(address, *response, sent);
}

void peer_service::note_failure(const kernel::socket_address& address, const kernel::failure& reason)
{
    ++pulls_failed_;
    const auto now = clock_();
    std::erase_if(failing_peers_,
                  [now](const auto& item) { return now > item.second.avoid_until + longest_avoidance; });
    auto& failing = failing_peers_[address.value()];
    failing.pause = std::clamp<kernel::duration>(failing.pause * 2, shortest_avoidance, longest_avoidance);
    failing.avoid_until = now + failing.pause;
    kernel::log_event(kernel::severity::warning, peers_event::pull_failed,
                      {{"peer", address.value()}, {"reason", std::string{reason.name()}}});
}

void peer_service::take_response(const kernel::socket_address& address, const peers::peer_response& response,
                                 kernel::time_point sent)
{
    const auto* pulled = std::get_if<peers::pull_response>(&response.content);
    if (pulled == nullptr) {
        kernel::log_event(kernel::severity::warning, peers_event::unexpected_content, {{"peer", address.value()}});
        return;
    }
    const auto outcome = configuration_.hear(response.sender, *pulled, sent, clock_());
    if (outcome == peers::hear_outcome::conflicting) {
        kernel::log_event(kernel::severity::error, peers_event::conflicting_hash,
                          {{"peer", address.value()}, {"version", std::to_string(pulled->version.value())}});
        return;
    }
    pass_evidence(response.sender, pulled->evidence);
    if (outcome == peers::hear_outcome::newer_available) {
        fetch_records(address, pulled->version);
    }
}

void peer_service::fetch_records(const kernel::socket_address& address, kernel::version_number wanted)
{
    auto held = configuration_.version();
    for (int fetches = 0; held.value() < wanted.value() && fetches < maximum_record_fetches; ++fetches) {
        const auto response = client_.call(address, peers::record_request{held});
        if (!response) {
            note_failure(address, response.error());
            return;
        }
        const auto* records = std::get_if<peers::record_response>(&response->content);
        if (records == nullptr) {
            kernel::log_event(kernel::severity::warning, peers_event::unexpected_content, {{"peer", address.value()}});
            return;
        }
        const auto applied = configuration_.apply_response(*records, clock_());
        if (!applied) {
            kernel::log_event(kernel::severity::warning, peers_event::records_unusable,
                              {{"peer", address.value()},
                               {"reason", std::string{applied.error().name()}},
                               {"subject", applied.error().subject()}});
            return;
        }
        if (applied->value() <= held.value()) {
            return;
        }
        held = *applied;
    }
}

kernel::result<peers::message_content> peer_service::answer(const kernel::instance_id& sender,
                                                            const peers::message_content& request)
{
    if (const auto* pulled = std::get_if<peers::pull_request>(&request)) {
        return answer_pull(sender, *pulled);
    }
    if (const auto* wanted = std::get_if<peers::record_request>(&request)) {
        return configuration_.records_since(wanted->since);
    }
    if (const auto* loans = std::get_if<peers::loan_requests>(&request); loans != nullptr && loan_handler_) {
        return peers::loan_response{loan_handler_(sender, loans->items)};
    }
    return kernel::fail(peers_event::unexpected_content, sender.value());
}

peers::message_content peer_service::answer_pull(const kernel::instance_id& sender, const peers::pull_request& request)
{
    const auto now = clock_();
    configuration_.hear_request(sender, request, now);
    if (request.state == peers::host_state::departed) {
        kernel::log_event(kernel::severity::information, peers_event::peer_departed, {{"instance", sender.value()}});
    }
    pass_evidence(sender, request.evidence);
    auto response = configuration_.report(now);
    response.evidence = collect_evidence();
    return response;
}

peers::pull_request peer_service::make_pull_request() const
{
    return {configuration_.version(), configuration_.state_of(configuration_.self().instance), collect_evidence()};
}

health::evidence_report peer_service::collect_evidence() const
{
    return evidence_source_ ? evidence_source_() : health::evidence_report{};
}

// A report counts only for the instance that sent it, so that no host speaks for two.
void peer_service::pass_evidence(const kernel::instance_id& sender, const health::evidence_report& report) const
{
    if (evidence_sink_ && report.reporter == sender) {
        evidence_sink_(report, clock_());
    }
}

// Without the notice a fleet that loses a large part of its instances at once could not accept any version, because
// the silent ones might still act on old ones. A lost notice costs only that.
void peer_service::announce_departure()
{
    const auto entries = configuration_.live_hosts(clock_());
    std::size_t sent = 0;
    for (const auto& entry : entries) {
        if (entry.instance == configuration_.self().instance) {
            continue;
        }
        auto notice = make_pull_request();
        notice.state = peers::host_state::departed;
        if (client_.call(entry.peer_address, std::move(notice)) && ++sent == departure_notices) {
            return;
        }
    }
}

} // namespace wisterialane::services
