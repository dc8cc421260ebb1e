#pragma once

#include "kernel/failure.h"

#include <chrono>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace wisterialane::stand_ins {

enum class fault {
    healthy,
    /// The service time is multiplied by `factor`.
    slow,
    /// A share of the answers is wrong, in the way of `wrong_kind`.
    wrong,
    /// Requests are read and never answered.
    silent,
    /// Answers end inside their body.
    cut,
    /// Answers are 503 with `Wisterialane-Shed: 1`, without running the request.
    shedding,
    /// Answers carry `Wisterialane-Draining: 1`.
    draining,
};

enum class wrong_answer_kind {
    /// Status 200 and the exchange nonce of another request.
    other_nonce,
    /// Status 500.
    server_error,
};

/// How the stand-in behaves at the moment.
struct upstream_mode {
    fault kind = fault::healthy;
    double factor = 10;
    /// Share of wrong answers, from 0 to 1.
    double share = 0.3;
    wrong_answer_kind wrong_kind = wrong_answer_kind::server_error;
    /// A request whose body contains this text crashes the stand-in; empty for none.
    std::string crash_text;
    std::chrono::milliseconds down_time{500};
};

enum class stand_in_event {
    malformed_mode = 1900,
};

[[nodiscard]] std::string_view to_name(stand_in_event event);

/// Changes the fields that the JSON object has. Fails with `malformed_mode`, changing nothing.
kernel::result<upstream_mode> change_mode(upstream_mode mode, std::string_view text);

[[nodiscard]] nlohmann::json to_json(const upstream_mode& mode);

} // namespace wisterialane::stand_ins
