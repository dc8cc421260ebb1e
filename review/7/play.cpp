// BUDGET: a request that crashes its servers comes again during a rolling restart of the machines.

#include "review/stand_ins-2/harness.h"

#include <algorithm>
#include <csignal>

namespace {

using namespace review;

constexpr unsigned machine_count = 3;
constexpr unsigned server_count = 8;
/// The bounds of the pages.
constexpr double stable_ms = 3000;
constexpr double grace_ms = 6000;
constexpr std::size_t allowed_arrivals = 3;
/// Time until a crashed server is back, and until its entry is removed: three heartbeats.
constexpr double back_after_ms = 3000;
constexpr double entry_lifetime_ms = 4500;
constexpr double pause_ms = 800;
constexpr unsigned times_at_each_machine = 3;
constexpr const char* poison = "/quotes/poison";

class play {
public:
    play(record& log, std::string folder, bool trouble) : log_{log}, folder_{std::move(folder)}, trouble_{trouble} {}

    bool run()
    {
        start();
        sleep_ms(4000);
        for (unsigned attempt = 0; count_poison(0) < 3; ++attempt) {
            if (attempt > 12) {
                throw not_runnable{"the request hasn't crashed three servers"};
            }
            send_poison(attempt % machine_count);
        }
        const double third_crash_at = poison_arrivals().at(2).at;
        log_.line("the request has crashed three servers");
        sleep_until_ms(third_crash_at + stable_ms + 500);
        for (unsigned number = 0; number < machine_count; ++number) {
            restart(number);
            for (unsigned time = 0; time < times_at_each_machine; ++time) {
                send_poison(number);
                send_poison((number + 1) % machine_count);
            }
        }
        const auto late = count_poison(third_crash_at + stable_ms);
        log_.line("the request reached servers " + std::to_string(late) + " times later than " +
                  std::to_string(static_cast<int>(stable_ms)) + " ms after it had crashed the third");
        end_threads();
        return late > allowed_arrivals;
    }

private:
    void start()
    {
        const auto store_port = address_plan::free_port();
        store_ = std::make_unique<store>(store_port);
        store_->put("op", "config", configuration_text(1, {{"quotes", "quote-desk", true, 2, 2500}}));
        for (unsigned number = 0; number < server_count; ++number) {
            add_server();
        }
        for (unsigned number = 0; number < machine_count; ++number) {
            auto values = machine_ports();
            values.name = "edge-zone-1-" + std::to_string(number + 1);
            values.zone = "zone-1";
            values.ip = addresses_.ip(number);
            values.store_port = store_port;
            machines_.push_back(std::make_unique<machine>(log_, folder_, values));
            machines_.back()->start(true);
        }
        await_ready(machines_, 10000);
    }

    void add_server()
    {
        const std::lock_guard lock{mutex_};
        server::options values;
        values.id = "i-" + std::to_string(servers_.size());
        values.service = "quote-desk";
        values.zone = "zone-1";
        values.port = address_plan::free_port();
        values.crash_text = poison;
        servers_.push_back(std::make_unique<server>(*store_, arrivals_, log_, values));
        servers_.back()->on_crash = [this, id = values.id] {
            const std::lock_guard threads_lock{threads_mutex_};
            threads_.emplace_back([this, id] { replace(id); });
        };
    }

    // A crashed server is back after some seconds as a new incarnation.
    void replace(const std::string& id)
    {
        sleep_ms(back_after_ms);
        add_server();
        sleep_ms(entry_lifetime_ms - back_after_ms);
        static_cast<void>(store_->erase("servers", id));
    }

    void end_threads()
    {
        std::vector<std::thread> ended;
        {
            const std::lock_guard lock{threads_mutex_};
            ended.swap(threads_);
        }
        for (auto& thread : ended) {
            thread.join();
        }
    }

    // Only machines in touch get the request: they have run for longer than `stable`.
    void send_poison(unsigned number)
    {
        const auto& to = *machines_[number];
        sleep_until_ms(to.started_at() + stable_ms + 500);
        const auto id = "p" + std::to_string(sent_++);
        static_cast<void>(send_request(log_, to, {id, "GET", poison, "", "key-1", 2000}));
        sleep_ms(pause_ms);
    }

    void restart(unsigned number)
    {
        auto& one = *machines_[number];
        if (trouble_) {
            one.signal(SIGTERM);
            if (!one.wait_for_end(grace_ms + 1000)) {
                throw not_runnable{"a machine didn't stop"};
            }
            sleep_ms(500);
            one.start(false);
            await_ready(machines_, 10000);
        }
        sleep_ms(stable_ms + 500);
    }

    std::vector<arrival> poison_arrivals()
    {
        auto all = arrivals_.all();
        std::erase_if(all, [](const auto& one) { return !one.executed; });
        return all;
    }

    std::size_t count_poison(double after)
    {
        const auto all = poison_arrivals();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [after](const auto& one) { return one.at > after; }));
    }

    record& log_;
    std::string folder_;
    bool trouble_;
    address_plan addresses_;
    arrivals arrivals_;
    std::unique_ptr<store> store_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::mutex threads_mutex_;
    std::vector<std::thread> threads_;
    unsigned sent_ = 0;
};

} // namespace

int main()
{
    return run_case([](record& log, const std::string& folder, bool trouble) {
        return play{log, folder, trouble}.run();
    });
}
