#include "review/stand_ins/stand_ins.h"

#include <mutex>
#include <set>
#include <thread>

/// One version of the configuration splits a route by weights of 0.9 and 0.1 and takes a key away. Requests with that
/// key that are sent later than the bound on revocation must not run.

namespace {

using namespace review;

constexpr const char* kept_key = "fqasnmgkcuyj8pjbvk9m";
constexpr const char* revoked_key = "ctnfzs989anu6wsjnban";
constexpr unsigned deadline_ms = 2000;
constexpr milliseconds client_patience{2500};
constexpr milliseconds request_interval{500};
/// The bound `revoke` of the settings.
constexpr milliseconds revocation_bound{5000};
constexpr milliseconds observation{12000};
constexpr milliseconds time_to_touch{4000};

/// The requests that servers have run, by id.
class run_list {
public:
    void add(const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        ids_.insert(id);
    }

    [[nodiscard]] bool contains(const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        return ids_.contains(id);
    }

private:
    std::mutex mutex_;
    std::set<std::string> ids_;
};

void serve(connection& client, case_record& record, run_list& runs)
{
    while (auto request = client.read_head()) {
        const auto id = request->header("wisterialane-request-id");
        record.write("server runs " + id + " of tenant " + request->header("wisterialane-tenant"));
        runs.add(id);
        client.send("HTTP/1.1 200 OK\r\nWisterialane-Request-Id: " + id +
                    "\r\nWisterialane-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok");
    }
}

nlohmann::json first_version()
{
    auto configuration =
        make_configuration({{"status", "/status/", "idempotent"}, {"archive", "/archive/", "idempotent"}});
    for (auto& rule : configuration["listeners"][0]["policy"]) {
        rule["public"] = false;
    }
    configuration["tenants"] = {{{"name", "sese880"},
                                 {"api_keys", {kept_key, revoked_key}},
                                 {"priority", 1},
                                 {"rate_per_s", 36},
                                 {"burst", 36}}};
    return configuration;
}

/// Without trouble, the weights of the same proportions are whole numbers.
nlohmann::json second_version()
{
    auto configuration = first_version();
    configuration["version"] = "0000000c";
    configuration["tenants"][0]["api_keys"] = nlohmann::json::array({kept_key});
    auto& action = configuration["listeners"][0]["policy"][1]["action"];
    action.erase("service");
    const nlohmann::json large_weight = with_trouble() ? nlohmann::json(0.9) : nlohmann::json(90);
    const nlohmann::json small_weight = with_trouble() ? nlohmann::json(0.1) : nlohmann::json(10);
    action["weighted_backends"] = {{{"service", "archive"}, {"weight", large_weight}},
                                   {{"service", "status"}, {"weight", small_weight}}};
    return configuration;
}

std::string send_request(const edge_host& host, case_record& record, const std::string& key)
{
    const auto opened = connect_to(host.options().ip, edge_host::front_port);
    if (!opened) {
        give_up("the host accepts no connection");
    }
    auto id = new_request_id();
    auto request = make_request("GET", "/status/1", id, deadline_ms, 0);
    request.insert(request.size() - 2, "X-Api-Key: " + key + "\r\n");
    opened->send(request);
    const auto answer = read_response(*opened, client_patience);
    record.write("client gets " + std::to_string(answer.status) + " for " + id + " with the key " + key);
    return id;
}

} // namespace

int main(int, char** arguments)
{
    case_record record{arguments[2]};
    run_list runs;
    platform_store store{loopback_ip(1)};
    const listener status{loopback_ip(2), 0, [&](connection& client) { serve(client, record, runs); }};
    const listener archive{loopback_ip(2), 0, [&](connection& client) { serve(client, record, runs); }};
    store.put("op", "config", first_version());
    store.put("servers", "i-1", make_server_entry(loopback_ip(2), status.port(), "status", 20));
    store.put("servers", "i-2", make_server_entry(loopback_ip(2), archive.port(), "archive", 20));
    unsigned broken = 0;
    {
        edge_host host{arguments[1], {.ip = loopback_ip(3), .store_port = store.port(), .store_ip = loopback_ip(1)}};
        host.start();
        if (!host.await_ready(milliseconds{10000})) {
            give_up("the host does not become ready");
        }
        std::this_thread::sleep_for(time_to_touch);
        if (!runs.contains(send_request(host, record, revoked_key))) {
            give_up("the key is not served before the change");
        }
        store.put("op", "config", second_version());
        const auto acknowledged_at = steady_clock::now();
        record.write("store acknowledges version 0000000c without the key " + std::string{revoked_key});
        while (steady_clock::now() - acknowledged_at < observation) {
            std::this_thread::sleep_for(request_interval);
            const bool late = steady_clock::now() - acknowledged_at > revocation_bound;
            const bool run = runs.contains(send_request(host, record, revoked_key));
            broken += late && run ? 1 : 0;
        }
        static_cast<void>(send_request(host, record, kept_key));
    }
    record.write("CONFIG broken by " + std::to_string(broken) + " requests with the revoked key");
    end_case(broken > 0 ? exit_rule_broken : exit_rule_held);
}
