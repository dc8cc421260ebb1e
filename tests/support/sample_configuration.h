#pragma once

#include "kernel/identifiers.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/// A small configuration for whole-system tests: the service "readings" with the routes "/lookups" and "/bundles"
/// (idempotent), "/certificates" (not idempotent) and "/public" (open), and the customers "depot" with a high rate and
/// "trader" with a low one.
namespace wisterialane::test_support {

/// Above what the tests send, also while a part of the shares is moving.
inline constexpr double depot_rate_per_second = 20'000;
inline constexpr double trader_rate_per_second = 20;
inline constexpr double trader_burst = 20;

[[nodiscard]] std::string depot_key();
[[nodiscard]] std::string trader_key();

[[nodiscard]] nlohmann::json put(nlohmann::json object);

/// Changes that create everything, with one upstream per address.
[[nodiscard]] nlohmann::json sample_changes(const std::vector<kernel::socket_address>& upstreams, unsigned slots);

} // namespace wisterialane::test_support
