#include "kernel/failure_report.h"

#include <csignal>
#include <cstddef>

#include <glog/logging.h>
#include <unistd.h>

namespace wisterialane::kernel {
namespace {

void write_to_standard_output(const char* text, std::size_t size)
{
    // The process is about to end, so what is not taken at once is lost.
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, text, size);
}

} // namespace

void install_failure_report()
{
    google::InstallFailureSignalHandler();
    google::InstallFailureWriter(&write_to_standard_output);
    // It takes SIGTERM for a failure as well.
    std::signal(SIGTERM, SIG_DFL);
}

} // namespace wisterialane::kernel
