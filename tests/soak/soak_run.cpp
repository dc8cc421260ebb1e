#include "tests/soak/soak_run.h"

#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_fleet.h"
#include "tests/stand_ins/edge/upstream_stand_in.h"
#include "tests/support/loopback.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <random>

#include <nlohmann/json.hpp>

namespace wisterialane::soak {
namespace {

using edge_stand_ins::relay_mode;
using edge_stand_ins::store_mode;
using edge_stand_ins::upstream_mode;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t host_count = 4;
constexpr std::size_t upstream_count = 6;
constexpr unsigned caller_count = 12;
constexpr unsigned attempts = 2;
constexpr milliseconds grace{6000};
constexpr milliseconds key_bound{5000};
constexpr milliseconds restart_pause{300};
constexpr std::chrono::seconds start_time{4};
/// After the last fault hosts may need this long until all is as before.
constexpr std::chrono::seconds recovery_time{7};
constexpr std::chrono::seconds calm_time{3};
constexpr std::uint16_t host_ports = 21000;
constexpr std::uint16_t ports_of_host = 10;
constexpr std::uint16_t upstream_ports = 22000;

proxy::tcp::endpoint endpoint(std::uint16_t port)
{
    return *proxy::parse_endpoint(test_support::loopback_address(port));
}

json make_route(const std::string& name, const std::string& prefix, bool idempotent)
{
    return {{"name", name},
            {"route_kind", idempotent ? "idempotent" : "non_idempotent"},
            {"target_latency", "800ms"},
            {"priority", 1},
            {"public", false},
            {"match", {{"prefix", prefix}}},
            {"action", {{"service", "archive"}, {"timeout", "2000ms"}, {"attempts", attempts}}}};
}

json make_customer(const std::string& name, const std::vector<std::string>& keys)
{
    return {{"name", name}, {"api_keys", keys}, {"priority", 1}, {"rate_per_s", 5000}, {"burst", 5000}};
}

/// An upstream behind a relay.
struct relayed_upstream {
    std::shared_ptr<edge_stand_ins::tcp_relay> relay;
    std::unique_ptr<edge_stand_ins::upstream_stand_in> server;
    bool leaving = false;
};

/// One run: the world, its faults and the checks at its end.
class soak {
public:
    explicit soak(const soak_options& use);

    soak_result run();

private:
    using action = std::function<void()>;

    void after(milliseconds time, action next);
    void publish();
    void add_upstream();
    void start_callers();
    void schedule_fault();
    void inject();
    void trace(const std::string& what) const;
    [[nodiscard]] milliseconds some_time(int least, int most);

    [[nodiscard]] soak_host& some_host() { return *hosts_[random_() % hosts_.size()]; }

    [[nodiscard]] relayed_upstream& some_upstream() { return upstreams_[random_() % upstreams_.size()]; }

    void stop_host();
    void await_end(soak_host& host, kernel::time_point kill_at);
    void kill_host(soak_host& host);
    void kill_all_hosts();
    void pause_host();
    void disturb_store();
    void cut_host_from_store();
    void change_upstream();
    void cut_upstream();
    void replace_upstream();
    void change_configuration();

    void repair();
    void check_ends();

    soak_options use_;
    std::mt19937 random_;
    proxy::io_context context_{1};
    kernel::clock_source clock_ = [] { return kernel::boot_clock::now(); };
    edge_stand_ins::request_tracker tracker_;
    edge_stand_ins::store_stand_in store_{context_, clock_};
    std::vector<std::unique_ptr<soak_host>> hosts_;
    std::vector<relayed_upstream> upstreams_;
    std::vector<std::shared_ptr<soak_caller>> callers_;
    std::map<std::string, kernel::time_point> withdrawn_;
    std::map<const soak_host*, bool> in_change_;
    unsigned version_ = 0;
    std::uint16_t next_port_ = upstream_ports;
    kernel::time_point trouble_ends_{};
    kernel::time_point calm_since_{};
};

soak::soak(const soak_options& use) : use_{use}, random_{use.seed}
{
    if (!store_.listen(endpoint(host_ports - 1))) {
        throw std::runtime_error{"store"};
    }
    publish();
    for (std::size_t index = 0; index < upstream_count; ++index) {
        add_upstream();
    }
    for (std::size_t index = 0; index < host_count; ++index) {
        const auto port = static_cast<std::uint16_t>(host_ports + index * ports_of_host);
        hosts_.push_back(std::make_unique<soak_host>(context_, clock_, endpoint(host_ports - 1),
                                                     "host-" + std::to_string(index), "z" + std::to_string(index % 2),
                                                     port));
        hosts_.back()->start();
    }
}

void soak::after(milliseconds time, action next)
{
    const auto pause = std::make_shared<proxy::timer>(context_.get_executor(), time);
    pause->async_wait([pause, next = std::move(next)](proxy::error_code cancelled) {
        if (!cancelled) {
            next();
        }
    });
}

void soak::publish()
{
    std::vector<std::string> keys{"key-a1", "key-a2"};
    std::erase_if(keys, [this](const auto& key) { return withdrawn_.count(key) > 0; });
    json routes = json::array({make_route("r-read", "/read/", true), make_route("r-write", "/write/", false)});
    for (unsigned extra = 0; extra < version_; ++extra) {
        routes.push_back(make_route("r-" + std::to_string(extra), "/extra" + std::to_string(extra) + "/", true));
    }
    std::string digits = "0000000" + std::to_string(++version_ % 10);
    const json document{{"version", digits},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 1 << 20},
                          {"header_timeout", "3000ms"},
                          {"idle_timeout", "15000ms"}}},
                        {"tenants", {make_customer("alpha", keys), make_customer("beta", {"key-b1"})}},
                        {"listeners", {{{"host", "gateway.example"}, {"policy", routes}}}},
                        {"upstreams", {{{"name", "archive"}, {"health_path", "/health"}, {"max_conns", 300}}}}};
    store_.put("op", "config", document.dump());
}

void soak::add_upstream()
{
    const auto number = upstreams_.size();
    const auto direct = endpoint(next_port_++);
    const auto relayed = next_port_++;
    auto relay = std::make_shared<edge_stand_ins::tcp_relay>(context_, direct);
    auto server = std::make_unique<edge_stand_ins::upstream_stand_in>(
        context_, clock_, store_, tracker_,
        edge_stand_ins::upstream_stand_in::options{"u" + std::to_string(next_port_), "archive",
                                                   "z" + std::to_string(number % 2), direct,
                                                   test_support::loopback_address(relayed).value()});
    if (!relay->listen(endpoint(relayed)) || !server->start()) {
        throw std::runtime_error{"upstream"};
    }
    upstreams_.push_back({std::move(relay), std::move(server)});
}

void soak::start_callers()
{
    std::vector<proxy::tcp::endpoint> directories;
    for (const auto& host : hosts_) {
        directories.push_back(host->directory());
    }
    const auto pick_key = [](unsigned draw) {
        const bool alpha = draw % 2 == 0;
        return std::pair<std::string, std::string>{alpha ? "alpha" : "beta",
                                                   alpha ? (draw % 3 == 0 ? "key-a2" : "key-a1") : "key-b1"};
    };
    const auto excused = [this](const std::string& address, kernel::time_point sent) {
        return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
            return host->caller_address() == address && host->is_excused(sent);
        });
    };
    for (unsigned number = 0; number < caller_count; ++number) {
        callers_.push_back(std::make_shared<soak_caller>(
            caller_settings{context_, clock_, tracker_, directories, "z" + std::to_string(number % 2), pick_key,
                            [this](const auto& key) { return withdrawn_.count(key) > 0; }, excused},
            number, use_.seed));
        callers_.back()->start();
    }
}

void soak::trace(const std::string& what) const
{
    if (use_.trace != nullptr) {
        *use_.trace << std::chrono::duration_cast<milliseconds>((clock_() - calm_since_)).count() << " ms " << what
                    << std::endl;
    }
}

milliseconds soak::some_time(int least, int most)
{
    return milliseconds{least + static_cast<int>(random_() % static_cast<unsigned>(most - least))};
}

// Faults come in series and overlap.
void soak::schedule_fault()
{
    if (clock_() >= trouble_ends_) {
        return;
    }
    after(some_time(100, 900), [this] {
        inject();
        schedule_fault();
    });
}

void soak::inject()
{
    switch (random_() % 13) {
    case 0:
    case 1:
        return stop_host();
    case 2:
        return kill_host(some_host());
    case 3:
        return pause_host();
    case 4:
        trace("reload");
        return some_host().send_signal(SIGHUP);
    case 5:
        return disturb_store();
    case 6:
        return cut_host_from_store();
    case 7:
    case 8:
        return change_upstream();
    case 9:
        return cut_upstream();
    case 10:
        return replace_upstream();
    case 11:
        return kill_all_hosts();
    default:
        return change_configuration();
    }
}

void soak::stop_host()
{
    auto& host = some_host();
    if (!host.is_running() || in_change_[&host]) {
        return;
    }
    trace("SIGTERM " + host.name());
    in_change_[&host] = true;
    host.send_signal(SIGTERM);
    await_end(host, clock_() + grace);
}

void soak::await_end(soak_host& host, kernel::time_point kill_at)
{
    if (host.has_ended()) {
        trace("ended " + host.name());
        after(restart_pause, [this, &host] {
            host.start();
            in_change_[&host] = false;
        });
        return;
    }
    if (clock_() >= kill_at) {
        in_change_[&host] = false;
        kill_host(host);
        return;
    }
    after(milliseconds{20}, [this, &host, kill_at] { await_end(host, kill_at); });
}

void soak::kill_host(soak_host& host)
{
    if (!host.is_running() || in_change_[&host]) {
        return;
    }
    trace("SIGKILL " + host.name());
    in_change_[&host] = true;
    host.kill();
    after(restart_pause, [this, &host] {
        host.start();
        in_change_[&host] = false;
    });
}

void soak::kill_all_hosts()
{
    for (const auto& host : hosts_) {
        kill_host(*host);
    }
}

void soak::pause_host()
{
    auto& host = some_host();
    if (!host.is_running() || in_change_[&host]) {
        return;
    }
    trace("SIGSTOP " + host.name());
    in_change_[&host] = true;
    host.excuse();
    host.send_signal(SIGSTOP);
    after(some_time(300, 2000), [this, &host] {
        host.excuse();
        host.send_signal(SIGCONT);
        in_change_[&host] = false;
    });
}

void soak::disturb_store()
{
    const auto kind = random_() % 3;
    trace("store " + std::to_string(kind));
    if (kind == 0) {
        store_.discard_history();
        return;
    }
    store_.set_mode(kind == 1 ? store_mode::overloaded : store_mode::unresponsive);
    after(some_time(300, 2500), [this] { store_.set_mode(store_mode::available); });
}

void soak::cut_host_from_store()
{
    auto& host = some_host();
    const auto mode = static_cast<relay_mode>(1 + random_() % 4);
    trace(host.name() + " to store " + std::to_string(static_cast<int>(mode)));
    host.store_relay().set_mode(mode);
    after(some_time(300, 2500), [&host] { host.store_relay().set_mode(relay_mode::forward); });
}

void soak::change_upstream()
{
    auto* server = some_upstream().server.get();
    const auto mode = static_cast<upstream_mode>(1 + random_() % 4);
    trace(server->id() + " mode " + std::to_string(static_cast<int>(mode)));
    server->set_mode(mode);
    after(some_time(500, 4000), [server] { server->set_mode(upstream_mode::healthy); });
}

void soak::cut_upstream()
{
    const auto relay = some_upstream().relay;
    const auto mode = static_cast<relay_mode>(1 + random_() % 4);
    trace("upstream relay " + std::to_string(static_cast<int>(mode)));
    relay->set_mode(mode);
    relay->set_delay(some_time(0, 30));
    after(some_time(300, 2500), [relay] {
        relay->set_mode(relay_mode::forward);
        relay->set_delay(milliseconds{0});
    });
}

void soak::replace_upstream()
{
    auto& old = some_upstream();
    if (old.leaving) {
        return;
    }
    trace(old.server->id() + " leaves");
    old.leaving = true;
    old.server->start_draining();
    after(some_time(500, 3000), [server = old.server.get()] { server->remove(); });
    add_upstream();
}

void soak::change_configuration()
{
    if (version_ >= 9) {
        return;
    }
    if (random_() % 3 == 0 && withdrawn_.empty()) {
        withdrawn_["key-a2"] = clock_();
    }
    trace("configuration");
    publish();
}

void soak::repair()
{
    store_.set_mode(store_mode::available);
    for (const auto& host : hosts_) {
        host->store_relay().set_mode(relay_mode::forward);
    }
    for (auto& item : upstreams_) {
        item.relay->set_mode(relay_mode::forward);
        item.server->set_mode(upstream_mode::healthy);
    }
}

void soak::check_ends()
{
    for (const auto& [id, entry] : tracker_.requests) {
        const bool promised = entry.status == 429 || entry.status == 503;
        if (promised && !entry.idempotent && !entry.executions.empty()) {
            tracker_.report_violation(
                "REFUSED", id, "answered " + std::to_string(entry.status) + " and ran at " + entry.executions[0]);
        }
        if (entry.executions.size() > attempts) {
            tracker_.report_violation("BUDGET", id, "ran at " + std::to_string(entry.executions.size()) + " upstreams");
        }
        const auto gone = withdrawn_.find(entry.key);
        if (gone != withdrawn_.end() && entry.sent_at > gone->second + key_bound && !entry.executions.empty()) {
            tracker_.report_violation("CONFIG", id, "ran with a key that was withdrawn");
        }
    }
}

soak_result soak::run()
{
    calm_since_ = clock_();
    after(start_time, [this] {
        trouble_ends_ = clock_() + use_.trouble;
        start_callers();
        schedule_fault();
        after(use_.trouble, [this] {
            after(grace, [this] { repair(); });
            after(grace + recovery_time, [this] { calm_since_ = clock_(); });
            after(grace + recovery_time + calm_time, [this] {
                for (const auto& caller : callers_) {
                    caller->stop();
                }
            });
            after(grace + recovery_time + calm_time + std::chrono::seconds{4}, [this] { context_.stop(); });
        });
    });
    context_.run();
    check_ends();
    soak_result result;
    for (const auto& [id, entry] : tracker_.requests) {
        const bool served = entry.status / 100 == 2;
        ++result.requests;
        result.served += served ? 1 : 0;
        if (entry.sent_at >= calm_since_ && withdrawn_.count(entry.key) == 0) {
            ++result.calm_requests;
            result.calm_served += served ? 1 : 0;
        }
    }
    result.violations = tracker_.violations;
    return result;
}

} // namespace

soak_result run_soak(const soak_options& use)
{
    return soak{use}.run();
}

} // namespace wisterialane::soak
