#pragma once

namespace wisterialane::kernel {

/// Writes the signal and a stack trace to standard output when a failure such as an invalid memory access or an
/// uncaught exception ends the process. Without it, a process that fails cannot be told from one that was killed.
void install_failure_report();

} // namespace wisterialane::kernel
