#pragma once

#include "libraries/proxy/caller_listener.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Stand-ins for what the edge program meets on the platform. They run on one io_context, that of the test.
namespace wisterialane::edge_stand_ins {

enum class store_mode {
    available,
    /// Refuses each call with 503.
    overloaded,
    /// Takes calls and never answers them.
    unresponsive,
};

/// The platform's store in memory, by its published HTTP calls for rows.
class store_stand_in {
public:
    store_stand_in(proxy::io_context& context, kernel::clock_source clock);

    /// Fails with `listen_failed`.
    kernel::result<void> listen(const proxy::tcp::endpoint& address);

    /// Writes a row as its owner does, and wakes the calls that wait for it.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void erase(const std::string& table, const std::string& key);

    void set_mode(store_mode mode) { mode_ = mode; }

    /// Drops the history: calls for changes since an earlier revision are refused with 410.
    void discard_history() { history_start_ = revision_; }

private:
    struct row {
        /// Nothing once it was dropped.
        std::optional<std::string> value;
        std::uint64_t revision = 0;
    };

    struct waiting_call {
        std::shared_ptr<proxy::caller_session> session;
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<proxy::timer> limit;
    };

    void handle(const std::shared_ptr<proxy::caller_session>& session);
    void answer_rows(const std::shared_ptr<proxy::caller_session>& session, std::string_view target);
    void answer_changes(const std::shared_ptr<proxy::caller_session>& session, std::string_view target);
    void answer_transaction(const std::shared_ptr<proxy::caller_session>& session);
    void respond_changes(const waiting_call& call);
    void wake(const std::string& table);
    [[nodiscard]] bool has_changes(const std::string& table, std::uint64_t after) const;

    proxy::io_context& context_;
    kernel::clock_source clock_;
    std::shared_ptr<proxy::caller_listener> listener_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::list<waiting_call> waiting_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_start_ = 0;
    store_mode mode_ = store_mode::available;
};

} // namespace wisterialane::edge_stand_ins
