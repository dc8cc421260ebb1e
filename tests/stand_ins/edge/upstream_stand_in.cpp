#include "tests/stand_ins/edge/upstream_stand_in.h"

#include "libraries/proxy/message_headers.h"
#include "platform/node_settings.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace wisterialane::edge_stand_ins {
namespace {

constexpr std::chrono::milliseconds heartbeat{1500};
/// Faulty upstreams still serve one request in this many.
constexpr unsigned served_by_faulty = 4;
/// The time in which hosts must stop sending work to an upstream that leaves, and the time for which tests keep hosts
/// from hearing of it.
constexpr std::chrono::milliseconds drain_bound{2000};
constexpr std::chrono::milliseconds longest_fault{4500};

} // namespace

upstream_stand_in::upstream_stand_in(proxy::io_context& context, kernel::clock_source clock, store_stand_in& store,
                                     request_tracker& tracker, options use)
    : context_{context}, clock_{std::move(clock)}, store_{store}, tracker_{tracker}, use_{std::move(use)},
      heartbeat_{context.get_executor()}
{}

kernel::result<void> upstream_stand_in::start()
{
    auto hooks = std::make_shared<proxy::session_hooks>();
    hooks->handle_request = [this](const auto& session) { handle(session); };
    hooks->limits = [] { return proxy::caller_limits{}; };
    hooks->is_draining = [this] { return leaving_since_.has_value(); };
    hooks->clock = clock_;
    listener_ = std::make_shared<proxy::caller_listener>(context_, std::move(hooks));
    write_entry();
    return listener_->listen(use_.listen);
}

void upstream_stand_in::write_entry()
{
    if (removed_) {
        return;
    }
    const nlohmann::json entry{
        {"address", use_.registered},
        {"born", 1700000000000},
        {"info",
         {{"service", use_.service}, {"version", "v1"}, {"zone", use_.data_centre}, {"max_concurrency", use_.slots}}},
        {"status", {{"state", leaving_since_ ? "draining" : "ready"}, {"seq", ++beats_}}}};
    store_.put("servers", use_.id, entry.dump());
    heartbeat_.expires_after(heartbeat);
    heartbeat_.async_wait([this](proxy::error_code cancelled) {
        if (!cancelled) {
            write_entry();
        }
    });
}

void upstream_stand_in::leave()
{
    leaving_since_ = clock_();
    write_entry();
}

void upstream_stand_in::remove()
{
    removed_ = true;
    heartbeat_.cancel();
    leaving_since_ = leaving_since_.value_or(clock_());
    store_.erase("servers", use_.id);
}

void upstream_stand_in::refuse(const session_pointer& session, unsigned status) const
{
    const auto names = platform_adapter::platform_wire_names();
    session->respond({status, {{names.not_executed, "1"}}, {}, false});
}

void upstream_stand_in::handle(const session_pointer& session)
{
    const auto names = platform_adapter::platform_wire_names();
    const auto& request = session->request();
    const std::string request_id{proxy::to_view(request[names.request_id])};
    if (request_id.empty()) {
        refuse(session, 400);
        return;
    }
    const auto intended = proxy::to_view(request[names.target_upstream]);
    if (!intended.empty() && intended != use_.id) {
        refuse(session, 421);
        return;
    }
    const bool faulty_turn = ++handled_ % served_by_faulty != 0;
    if (mode_ == upstream_mode::resets_connections && faulty_turn) {
        session->abort();
        return;
    }
    if (busy_ >= use_.slots) {
        refuse(session, 503);
        return;
    }
    check(request_id, request);
    run(session, request_id);
}

// What callers may rely on, as far as an upstream sees it.
void upstream_stand_in::check(const std::string& request_id, const proxy::http_request& request)
{
    const auto names = platform_adapter::platform_wire_names();
    const auto found = tracker_.requests.find(request_id);
    if (found == tracker_.requests.end()) {
        tracker_.report_violation("UNASKED", request_id, "no caller sent it");
        return;
    }
    auto& entry = found->second;
    const bool same = entry.method == proxy::to_view(request.method_string()) &&
                      entry.target == proxy::to_view(request.target()) && entry.body == request.body();
    if (!same) {
        tracker_.report_violation("UNASKED", request_id, "changed on the way");
    }
    if (request.count(names.key) > 0 || proxy::to_view(request[names.customer]) != entry.customer) {
        tracker_.report_violation("UNASKED", request_id, "key passed on or wrong customer");
    }
    if (leaving_since_ && clock_() - *leaving_since_ > drain_bound + longest_fault) {
        tracker_.report_violation("DRAIN", request_id, "sent to " + use_.id + ", which has left");
    }
    entry.executions.push_back(use_.id);
    entry.last_execution_at = clock_();
    if (!entry.idempotent && entry.executions.size() > 1) {
        tracker_.report_violation("TWICE", request_id, "ran at " + entry.executions[0] + " and " + use_.id);
    }
}

void upstream_stand_in::run(const session_pointer& session, const std::string& request_id)
{
    ++busy_;
    const auto pause = std::make_shared<proxy::timer>(context_.get_executor());
    const auto departed = std::make_shared<bool>(false);
    session->on_disconnect([pause, departed] {
        *departed = true;
        pause->cancel();
    });
    const bool hangs = mode_ == upstream_mode::hangs;
    pause->expires_after(hangs ? std::chrono::milliseconds{60000} : use_.work);
    pause->async_wait([this, session, request_id, pause, departed](proxy::error_code) {
        --busy_;
        if (*departed) {
            session->abort();
            return;
        }
        finish(session, request_id);
    });
}

void upstream_stand_in::finish(const session_pointer& session, const std::string& request_id)
{
    const auto names = platform_adapter::platform_wire_names();
    const bool faulty_turn = handled_ % served_by_faulty != 0;
    if (mode_ == upstream_mode::drops_responses && faulty_turn) {
        session->abort();
        return;
    }
    proxy::caller_response answer;
    answer.headers = {{names.request_id, request_id}, {names.signature, "signed by " + use_.id}};
    if (mode_ == upstream_mode::returns_errors && faulty_turn) {
        answer.status = 500;
    }
    else {
        answer.body = expected_body(request_id, std::string{proxy::to_view(session->request().target())});
    }
    session->respond(std::move(answer));
}

} // namespace wisterialane::edge_stand_ins
