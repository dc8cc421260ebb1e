#include "utilities/wisterialane/edge_command.h"

#include "kernel/failure_report.h"
#include "libraries/proxy/one_shot_timer.h"
#include "libraries/proxy/proxy_events.h"
#include "libraries/proxy/proxy_host.h"
#include "platform/node_settings.h"
#include "platform/store_source.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <malloc.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

namespace wisterialane {
namespace {

namespace program_options = boost::program_options;
using kernel::line_priority;
using proxy::proxy_event;

constexpr int exit_invalid_settings = 2;
constexpr int exit_address_in_use = 3;
/// The interval at which the settings file is checked for changes that no SIGHUP announces.
constexpr std::chrono::milliseconds settings_check_interval{2000};

/// Greater blocks of memory are mapped one by one, and unmapped when they are freed.
constexpr int allocation_map_bytes = 1024 * 1024;
/// Free memory that the allocator keeps for small blocks.
constexpr int allocation_trim_bytes = 8 * 1024 * 1024;

/// The options of the command line.
struct edge_options {
    std::string settings_file;
    std::size_t hosts_per_data_centre = 1;
    std::uint16_t metrics_port = 0;
    bool check_only = false;
};

program_options::options_description make_description(edge_options& options)
{
    program_options::options_description description{"wisterialane edge: an entry host on a platform"};
    auto add = description.add_options();
    add("help", "print this text");
    add("settings-file", program_options::value(&options.settings_file),
        "the platform's settings file (default: from the platform's environment variable)");
    add("hosts-per-data-centre", program_options::value(&options.hosts_per_data_centre)->default_value(1),
        "minimum number of active hosts in each data centre; the other hosts are standby hosts");
    add("metrics-port", program_options::value(&options.metrics_port)->default_value(0),
        "port for GET /metrics at the host's address; 0 for none");
    add("check-settings", program_options::bool_switch(&options.check_only), "check the settings and exit");
    return description;
}

void report_error(const kernel::failure& error)
{
    std::cerr << "wisterialane: error " << error.number() << " " << error.name() << ": " << error.subject() << "\n";
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

kernel::result<proxy::proxy_settings> load_settings(const edge_options& options)
{
    const auto text = read_file(options.settings_file);
    if (!text) {
        return kernel::fail(proxy_event::unreadable_document, options.settings_file);
    }
    auto settings = platform_adapter::read_node_settings(*text);
    if (settings) {
        settings->hosts_per_data_centre = options.hosts_per_data_centre;
        settings->metrics_port = options.metrics_port;
    }
    return settings;
}

/// Reloads the settings on SIGHUP and when the content of the settings file changes.
class settings_reloader {
public:
    settings_reloader(proxy::io_context& context, edge_options options, proxy::proxy_host& host)
        : options_{std::move(options)}, host_{host}, reload_signal_{context, SIGHUP},
          check_timer_{context.get_executor()}, content_{read_file(options_.settings_file)}
    {
        await_reload_signal();
        schedule_check();
    }

private:
    void await_reload_signal()
    {
        reload_signal_.async_wait([this](proxy::error_code failed, int) {
            if (!failed) {
                content_ = read_file(options_.settings_file);
                reload();
                await_reload_signal();
            }
        });
    }

    void schedule_check()
    {
        check_timer_.start(settings_check_interval, [this] {
            if (auto content = read_file(options_.settings_file); content && content != content_) {
                content_ = std::move(content);
                reload();
            }
            schedule_check();
        });
    }

    void reload()
    {
        auto& log = host_.environment().log;
        const auto now = host_.environment().clock();
        const auto settings = load_settings(options_);
        if (!settings) {
            log.write(now, line_priority::important, proxy_event::settings_kept,
                      {{"reason", std::string{settings.error().name()}}, {"detail", settings.error().subject()}});
            return;
        }
        host_.reload(settings->reloadable);
        log.write(now, line_priority::important, proxy_event::settings_reloaded);
    }

    edge_options options_;
    proxy::proxy_host& host_;
    boost::asio::signal_set reload_signal_;
    proxy::one_shot_timer check_timer_;
    std::optional<std::string> content_;
};

// Runs the event loop until it is stopped. An unexpected error of one handler must not end the requests of all others,
// so it is logged and the loop goes on.
void run_handlers(proxy::io_context& context, proxy::proxy_host& host)
{
    while (true) {
        try {
            context.run();
            return;
        }
        catch (const std::exception& error) {
            auto& environment = host.environment();
            environment.metrics.record_handler_failure();
            environment.log.write(environment.clock(), line_priority::important, proxy_event::handler_failed,
                                  {{"detail", error.what()}});
        }
    }
}

int run(const edge_options& options, const proxy::proxy_settings& settings)
{
    // With fixed thresholds, the memory of large messages goes back to the system when they have been sent.
    ::mallopt(M_MMAP_THRESHOLD, allocation_map_bytes);
    ::mallopt(M_TRIM_THRESHOLD, allocation_trim_bytes);
    // A single thread runs everything, so that no locks are needed.
    proxy::io_context context{1};
    const kernel::clock_source clock = [] { return kernel::boot_clock::now(); };
    platform_adapter::store_source source{context, settings.store_endpoint, clock};
    proxy::proxy_host host{context, settings, source, clock};
    boost::asio::signal_set stop_signals{context, SIGTERM, SIGINT};
    stop_signals.async_wait([&host](proxy::error_code failed, int) {
        if (!failed) {
            host.begin_stop();
        }
    });
    const settings_reloader reloader{context, options, host};
    if (const auto started = host.start(); !started) {
        report_error(started.error());
        return exit_address_in_use;
    }
    run_handlers(context, host);
    return 0;
}

} // namespace

int run_edge_command(const std::vector<std::string>& arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    kernel::install_failure_report();
    edge_options options;
    const auto description = make_description(options);
    try {
        program_options::variables_map values;
        program_options::store(program_options::command_line_parser{arguments}.options(description).run(), values);
        program_options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    }
    catch (const program_options::error& error) {
        report_error({proxy_event::unreadable_document, error.what()});
        return exit_invalid_settings;
    }
    if (const char* path = std::getenv(platform_adapter::settings_file_variable);
        options.settings_file.empty() && path != nullptr) {
        options.settings_file = path;
    }
    if (options.hosts_per_data_centre == 0) {
        report_error({proxy_event::invalid_limit, "--hosts-per-data-centre"});
        return exit_invalid_settings;
    }
    const auto settings = load_settings(options);
    if (!settings) {
        report_error(settings.error());
        return exit_invalid_settings;
    }
    if (options.check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(options, *settings);
}

} // namespace wisterialane
