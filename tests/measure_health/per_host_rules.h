#pragma once

#include "tests/health/fleet_replay.h"

#include <memory>

namespace wisterialane::health::replay {

/// The baseline of the measurement: each host judges by its own outcomes alone, with the usual two rules. It ejects an
/// upstream for 30 s after 5 consecutive failures, and every 10 s those whose success rate is more than 1.9 standard
/// deviations below the mean, at most 10 % of the upstreams at once. A timeout of `response_timeout` is a failure; a
/// late answer is not.
std::unique_ptr<host_logic> make_per_host_rules(const replay_settings& settings, unsigned host, std::uint64_t seed);

} // namespace wisterialane::health::replay
