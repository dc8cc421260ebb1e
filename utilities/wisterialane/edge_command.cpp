#include "utilities/wisterialane/edge_command.h"

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

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

namespace wisterialane {
namespace {

namespace options = boost::program_options;
using kernel::line_priority;
using proxy::proxy_event;

constexpr int faulty_settings = 2;
constexpr int address_in_use = 3;
/// The settings file may change without a signal.
constexpr std::chrono::milliseconds settings_check_pause{2000};

/// The checked command line.
struct edge_options {
    std::string settings_file;
    std::size_t hosts_per_data_centre = 1;
    std::uint16_t metrics_port = 0;
    bool check_only = false;
};

options::options_description describe(edge_options& use)
{
    options::options_description description{"wisterialane edge: an entry host on a platform"};
    auto add = description.add_options();
    add("help", "print this text");
    add("settings-file", options::value(&use.settings_file),
        "the platform's settings file (default: from the platform's environment variable)");
    add("hosts-per-data-centre", options::value(&use.hosts_per_data_centre)->default_value(1),
        "hosts of a data centre that callers are sent to at least; the others stand by");
    add("metrics-port", options::value(&use.metrics_port)->default_value(0),
        "port for GET /metrics at the host's address; 0 for none");
    add("check-settings", options::bool_switch(&use.check_only), "check the settings and exit");
    return description;
}

void report(const kernel::failure& reason)
{
    std::cerr << "wisterialane: error " << reason.number() << " " << reason.name() << ": " << reason.subject() << "\n";
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

kernel::result<proxy::proxy_settings> load_settings(const edge_options& use)
{
    const auto text = read_file(use.settings_file);
    if (!text) {
        return kernel::fail(proxy_event::unreadable_document, use.settings_file);
    }
    auto settings = platform_adapter::read_node_settings(*text);
    if (settings) {
        settings->hosts_per_data_centre = use.hosts_per_data_centre;
        settings->metrics_port = use.metrics_port;
    }
    return settings;
}

/// Applies changes of the settings file at SIGHUP and when its content changes.
class settings_reloader {
public:
    settings_reloader(proxy::io_context& context, edge_options use, proxy::proxy_host& host)
        : use_{std::move(use)}, host_{host}, hangup_{context, SIGHUP}, pause_{context.get_executor()},
          content_{read_file(use_.settings_file)}
    {
        await_hangup();
        await_check();
    }

private:
    void await_hangup()
    {
        hangup_.async_wait([this](proxy::error_code failed, int) {
            if (!failed) {
                content_ = read_file(use_.settings_file);
                reload();
                await_hangup();
            }
        });
    }

    void await_check()
    {
        pause_.expires_after(settings_check_pause);
        pause_.async_wait([this](proxy::error_code failed) {
            if (failed) {
                return;
            }
            if (auto content = read_file(use_.settings_file); content && content != content_) {
                content_ = std::move(content);
                reload();
            }
            await_check();
        });
    }

    void reload()
    {
        auto& log = host_.environment().log;
        const auto now = host_.environment().clock();
        const auto settings = load_settings(use_);
        if (!settings) {
            log.write(now, line_priority::important, proxy_event::settings_kept,
                      {{"reason", std::string{settings.error().name()}}, {"detail", settings.error().subject()}});
            return;
        }
        host_.reload(settings->reloadable);
        log.write(now, line_priority::important, proxy_event::settings_reloaded);
    }

    edge_options use_;
    proxy::proxy_host& host_;
    boost::asio::signal_set hangup_;
    proxy::timer pause_;
    std::optional<std::string> content_;
};

int run(const edge_options& use, const proxy::proxy_settings& settings)
{
    // One thread runs everything, so that no locking is needed.
    proxy::io_context context{1};
    const kernel::clock_source clock = [] { return kernel::boot_clock::now(); };
    platform_adapter::store_source source{context, settings.store_endpoint, clock};
    proxy::proxy_host host{context, settings, source, clock};
    boost::asio::signal_set stop{context, SIGTERM, SIGINT};
    stop.async_wait([&host](proxy::error_code failed, int) {
        if (!failed) {
            host.begin_stop();
        }
    });
    const settings_reloader reloader{context, use, host};
    if (const auto started = host.start(); !started) {
        report(started.error());
        return address_in_use;
    }
    context.run();
    return 0;
}

} // namespace

int run_edge_command(const std::vector<std::string>& arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    edge_options use;
    const auto description = describe(use);
    try {
        options::variables_map values;
        options::store(options::command_line_parser{arguments}.options(description).run(), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    }
    catch (const options::error& error) {
        report({proxy_event::unreadable_document, error.what()});
        return faulty_settings;
    }
    if (const char* path = std::getenv(platform_adapter::settings_file_variable);
        use.settings_file.empty() && path != nullptr) {
        use.settings_file = path;
    }
    if (use.hosts_per_data_centre == 0) {
        report({proxy_event::invalid_limit, "--hosts-per-data-centre"});
        return faulty_settings;
    }
    const auto settings = load_settings(use);
    if (!settings) {
        report(settings.error());
        return faulty_settings;
    }
    if (use.check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(use, *settings);
}

} // namespace wisterialane
