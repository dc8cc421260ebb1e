#pragma once

#include "kernel/clock.h"
#include "libraries/http/message.h"
#include "tests/stand_ins/platform/platform_state.h"
#include "tests/stand_ins/platform/request_target.h"

#include <string_view>

namespace wisterialane::stand_ins {

enum class request_kind { read, write, announcement };

[[nodiscard]] request_kind classify(const http::request_head& head);

/// An answer with a JSON body `{"error": ...}`.
[[nodiscard]] http::buffered_response error_answer(int status, std::string_view error);

/// Answers the requests of the platform's protocol (docs/PLATFORM.md). Not thread-safe.
class platform_api {
public:
    /// The state must outlive this object.
    explicit platform_api(platform_state& state) : state_{state} {}

    http::buffered_response handle(const http::request_head& head, std::string_view body, kernel::time_point now);

private:
    [[nodiscard]] http::buffered_response scan(const request_target& target) const;
    http::buffered_response handle_row(const http::request_head& head, const request_target& target,
                                       std::string_view body);
    http::buffered_response put_row(const http::request_head& head, const request_target& target,
                                    std::string_view body);
    http::buffered_response delete_row(const http::request_head& head, const request_target& target);
    http::buffered_response handle_object(const http::request_head& head, const std::string& key,
                                          std::string_view body);
    http::buffered_response announce(const std::string& instance, std::string_view body, kernel::time_point now);

    platform_state& state_;
};

} // namespace wisterialane::stand_ins
