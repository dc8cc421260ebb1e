// DRAIN: one connection of the store reader goes silent while a server leaves.

#include "review/stand_ins-2/harness.h"

#include <algorithm>

namespace {

using namespace review;

constexpr unsigned machine_count = 3;
constexpr unsigned server_count = 4;
/// The bounds of the pages.
constexpr double stable_ms = 3000;
constexpr double drain_ms = 2000;
/// How much longer than `drain` the leaving server serves.
constexpr double longer_ms = 1200;
constexpr double work_ms = 500;
constexpr double rounds_end_ms = 500;
constexpr const char* upstream_feed = "rows-feed?table_name=servers";

struct sent_request {
    std::string id;
    double at = 0;
    unsigned status = 0;
};

class play {
public:
    play(record& log, std::string folder, bool trouble) : log_{log}, folder_{std::move(folder)}, trouble_{trouble} {}

    bool run()
    {
        start();
        warm_up();
        const auto feed = await_open_feed();
        const double silent_at = now_ms();
        if (trouble_) {
            feed->silent = true;
            log_.line("the connection on which machine " + reader_ + " waits for changes of the servers goes silent");
        }
        sleep_until_ms(silent_at + 300);
        accepted_at_ = servers_.front()->drain();
        std::thread leaving{[this] {
            sleep_until_ms(accepted_at_ + drain_ms + longer_ms);
            servers_.front()->leave();
        }};
        in_touch_from_ = silent_at + stable_ms;
        sleep_until_ms(in_touch_from_ + 100);
        for (unsigned round = 0; now_ms() < in_touch_from_ + 100 + rounds_end_ms; ++round) {
            send_round("q" + std::to_string(round), round == 0 ? 2 : 1);
            sleep_ms(100);
        }
        for (auto& client : clients_) {
            client.join();
        }
        leaving.join();
        return judge();
    }

private:
    void start()
    {
        const auto store_port = address_plan::free_port();
        store_ = std::make_unique<store>(store_port);
        store_->put("op", "config", configuration_text(1, {{"orders", "order-desk", false, 2, 2500}}));
        for (unsigned number = 0; number < server_count; ++number) {
            server::options values;
            values.id = "i-" + std::to_string(number);
            values.service = "order-desk";
            values.zone = "zone-1";
            values.port = address_plan::free_port();
            values.work_ms = work_ms;
            servers_.push_back(std::make_unique<server>(*store_, arrivals_, log_, values));
        }
        for (unsigned number = 0; number < machine_count; ++number) {
            const auto proxy_port = address_plan::free_port();
            proxies_.push_back(std::make_unique<tcp_proxy>(proxy_port, store_port));
            auto values = machine_ports();
            values.name = "edge-zone-1-" + std::to_string(number + 1);
            values.zone = "zone-1";
            values.ip = addresses_.ip(number);
            values.store_port = proxy_port;
            machines_.push_back(std::make_unique<machine>(log_, folder_, values));
            machines_.back()->start(true);
        }
        await_ready(machines_, 10000);
    }

    void send_round(const std::string& name, unsigned each)
    {
        for (unsigned number = 0; number < machine_count * each; ++number) {
            clients_.emplace_back([this, id = name + "-" + std::to_string(number), number] {
                sent_request sent{id, now_ms(), 0};
                client_request request{id, "POST", "/orders/" + id, "order " + id, "key-1", 2000};
                sent.status = send_request(log_, *machines_[number % machine_count], request);
                const std::lock_guard lock{mutex_};
                sent_.push_back(sent);
            });
        }
    }

    // Longer than all times after which the machines know each other and their store reader.
    void warm_up()
    {
        sleep_ms(3000);
        for (unsigned round = 0; round < 12; ++round) {
            send_round("w" + std::to_string(round), 1);
            sleep_ms(250);
        }
        for (auto& client : clients_) {
            client.join();
        }
        clients_.clear();
        const auto served =
            std::count_if(sent_.begin(), sent_.end(), [](const auto& one) { return one.status == 200; });
        if (served != static_cast<std::ptrdiff_t>(sent_.size())) {
            throw not_runnable{"not all requests of the warm-up were served"};
        }
    }

    // Returns the connection on which the store reader waits for changes, while its call is under way.
    std::shared_ptr<tcp_proxy::flow> await_open_feed()
    {
        const double limit = now_ms() + 10000;
        sleep_ms(1000);
        while (now_ms() < limit) {
            for (unsigned number = 0; number < machine_count; ++number) {
                if (proxies_[number]->calls_since(upstream_feed, now_ms() - 1000) == 0) {
                    continue;
                }
                auto feed = proxies_[number]->find(upstream_feed);
                if (!feed) {
                    continue;
                }
                const std::lock_guard lock{feed->mutex};
                if (feed->awaits_answer && now_ms() - feed->called_at >= 30) {
                    reader_ = machines_[number]->values().name;
                    return feed;
                }
            }
            sleep_ms(2);
        }
        throw not_runnable{"no machine waits for changes of the servers"};
    }

    bool judge()
    {
        const auto& leaving = servers_.front()->id();
        unsigned late = 0;
        unsigned failed = 0;
        for (const auto& one : sent_) {
            failed += one.at >= in_touch_from_ && one.status != 200 && one.status != 503 ? 1 : 0;
        }
        for (const auto& one : arrivals_.all()) {
            const auto sent = std::find_if(sent_.begin(), sent_.end(), [&](const auto& s) { return s.id == one.id; });
            const bool is_late = one.server == leaving && !one.misdirected && one.at > accepted_at_ + drain_ms &&
                                 sent != sent_.end() && sent->at > in_touch_from_;
            if (is_late) {
                log_.line("DRAIN: " + one.id + " reached " + leaving + " " +
                          std::to_string(static_cast<int>(one.at - accepted_at_)) +
                          " ms after the store had accepted that it drains; its client got " +
                          std::to_string(sent->status));
                ++late;
            }
        }
        log_.line(std::to_string(late) + " requests reached the leaving server later than drain; " +
                  std::to_string(failed) + " requests failed in that time");
        return late > 0;
    }

    record& log_;
    std::string folder_;
    bool trouble_;
    address_plan addresses_;
    arrivals arrivals_;
    std::unique_ptr<store> store_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<tcp_proxy>> proxies_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<std::thread> clients_;
    std::mutex mutex_;
    std::vector<sent_request> sent_;
    std::string reader_;
    double accepted_at_ = 0;
    double in_touch_from_ = 0;
};

} // namespace

int main()
{
    return run_case([](record& log, const std::string& folder, bool trouble) {
        return play{log, folder, trouble}.run();
    });
}
