#include "tests/stand_ins/edge/store_stand_in.h"

#include "libraries/encoding/base64.h"
#include "libraries/encoding/percent_encoding.h"
#include "libraries/proxy/message_headers.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace wisterialane::edge_stand_ins {
namespace {

using nlohmann::json;
using session_pointer = std::shared_ptr<proxy::caller_session>;

/// Rows of one answer, few enough that tests meet answers with more than one page.
constexpr std::size_t page_rows = 50;

// Tests encode no parameter in a way that cannot be decoded.
std::string parameter(std::string_view target, std::string_view name)
{
    return encoding::percent_decode(proxy::query_parameter(target, name)).value_or("");
}

json write_row(const std::string& key, const std::optional<std::string>& value, std::uint64_t revision)
{
    json row{{"key", key}, {"part", ""}, {"row_version", revision}};
    if (value) {
        row["value"] = encoding::encode_base64(*value);
    }
    else {
        row["deleted"] = true;
    }
    return row;
}

void respond(const session_pointer& session, unsigned status, const json& body)
{
    session->respond({status, {{"Content-Type", "application/json"}}, body.dump(), false});
}

std::string to_text(kernel::time_point now)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()) + "ms";
}

} // namespace

store_stand_in::store_stand_in(proxy::io_context& context, kernel::clock_source clock)
    : context_{context}, clock_{std::move(clock)}
{}

kernel::result<void> store_stand_in::listen(const proxy::tcp::endpoint& address)
{
    auto hooks = std::make_shared<proxy::session_hooks>();
    hooks->handle_request = [this](const auto& session) { handle(session); };
    hooks->limits = [] { return proxy::caller_limits{}; };
    hooks->is_draining = [] { return false; };
    hooks->clock = clock_;
    listener_ = std::make_shared<proxy::caller_listener>(context_, std::move(hooks));
    return listener_->listen(address);
}

void store_stand_in::put(const std::string& table, const std::string& key, const std::string& value)
{
    tables_[table][key] = {value, ++revision_};
    wake(table);
}

void store_stand_in::erase(const std::string& table, const std::string& key)
{
    tables_[table][key] = {std::nullopt, ++revision_};
    wake(table);
}

void store_stand_in::handle(const session_pointer& session)
{
    if (mode_ == store_mode::unresponsive) {
        return;
    }
    if (mode_ == store_mode::overloaded) {
        respond(session, 503, json::object());
        return;
    }
    const auto target = proxy::to_view(session->request().target());
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/rows-get") {
        answer_rows(session, target);
    }
    else if (path == "/v1/rows-feed") {
        answer_changes(session, target);
    }
    else if (path == "/v1/rows-tx") {
        answer_transaction(session);
    }
    else {
        respond(session, 404, json::object());
    }
}

void store_stand_in::answer_rows(const session_pointer& session, std::string_view target)
{
    const auto& table = tables_[parameter(target, "table_name")];
    json rows = json::array();
    bool more = false;
    for (auto item = table.lower_bound(parameter(target, "from")); item != table.end(); ++item) {
        if (!item->second.value) {
            continue;
        }
        if (rows.size() == page_rows) {
            more = true;
            break;
        }
        rows.push_back(write_row(item->first, item->second.value, item->second.revision));
    }
    respond(session, 200,
            {{"rows", std::move(rows)}, {"row_version", revision_}, {"now", to_text(clock_())}, {"has_more", more}});
}

void store_stand_in::answer_changes(const session_pointer& session, std::string_view target)
{
    waiting_call call{session, parameter(target, "table_name"), std::stoull(parameter(target, "after")), nullptr};
    if (call.after < history_start_) {
        respond(session, 410, json::object());
        return;
    }
    if (has_changes(call.table, call.after)) {
        respond_changes(call);
        return;
    }
    call.limit = std::make_shared<proxy::timer>(context_.get_executor());
    call.limit->expires_after(std::chrono::milliseconds{std::stoll(parameter(target, "wait_ms"))});
    waiting_.push_back(call);
    call.limit->async_wait([this, session](proxy::error_code cancelled) {
        if (cancelled) {
            return;
        }
        for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
            if (item->session == session) {
                respond_changes(*item);
                waiting_.erase(item);
                return;
            }
        }
    });
}

void store_stand_in::answer_transaction(const session_pointer& session)
{
    const auto body = json::parse(session->request().body(), nullptr, false);
    if (!body.is_object()) {
        respond(session, 400, json::object());
        return;
    }
    for (const auto& item : body.value("put", json::array())) {
        put(item.at("table_name").get<std::string>(), item.at("key").get<std::string>(),
            encoding::decode_base64(item.at("value").get<std::string>()).value_or(""));
    }
    respond(session, 200, {{"row_version", revision_}, {"now", to_text(clock_())}});
}

bool store_stand_in::has_changes(const std::string& table, std::uint64_t after) const
{
    const auto found = tables_.find(table);
    if (found == tables_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(),
                       [after](const auto& entry) { return entry.second.revision > after; });
}

void store_stand_in::respond_changes(const waiting_call& call)
{
    std::map<std::uint64_t, json> in_order;
    for (const auto& [key, item] : tables_[call.table]) {
        if (item.revision > call.after) {
            in_order.emplace(item.revision, write_row(key, item.value, item.revision));
        }
    }
    json rows = json::array();
    for (auto& [revision, item] : in_order) {
        rows.push_back(std::move(item));
    }
    respond(call.session, 200, {{"rows", std::move(rows)}, {"row_version", revision_}, {"now", to_text(clock_())}});
}

void store_stand_in::wake(const std::string& table)
{
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        if (item->table == table && mode_ == store_mode::available) {
            const auto call = *item;
            item = waiting_.erase(item);
            call.limit->cancel();
            respond_changes(call);
        }
        else {
            ++item;
        }
    }
}

} // namespace wisterialane::edge_stand_ins
