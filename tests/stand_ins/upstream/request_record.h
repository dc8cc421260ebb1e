#pragma once

#include "libraries/http/message.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::stand_ins {

/// Whether a request reached the work of the upstream.
enum class execution { not_run, run };

/// Every request that the stand-in received, with headers and the start of the body, so that tests can search it for
/// keys and count runs by request id. Thread-safe.
class request_record {
public:
    static constexpr std::size_t body_prefix_bytes = 4096;
    /// Bounds the memory; later requests are only counted.
    static constexpr std::size_t maximum_entries = 100'000;

    /// Returns the number of the entry.
    std::size_t add(const http::request_head& head);

    void set_body(std::size_t number, std::string_view start, std::uint64_t length);
    void set_run(std::size_t number);

    void clear();

    /// `{"count", "requests": [{"method", "target", "headers": [[name, value]], "body_prefix", "body_length",
    /// "run"}]}`. Bytes that are not UTF-8 are replaced.
    [[nodiscard]] std::string to_json() const;

private:
    struct entry {
        http::request_head head;
        std::string body_prefix;
        std::uint64_t body_length = 0;
        execution state = execution::not_run;
    };

    entry* find(std::size_t number);

    mutable std::mutex mutex_;
    std::vector<entry> entries_;
    /// Number of the first entry since the last clear.
    std::size_t first_ = 0;
    std::size_t next_ = 0;
};

} // namespace wisterialane::stand_ins
