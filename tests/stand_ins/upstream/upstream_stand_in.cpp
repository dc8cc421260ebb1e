#include "tests/stand_ins/upstream/upstream_stand_in.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <xxhash.h>

namespace wisterialane::stand_ins {
namespace {

/// Silent requests hold a thread each; control requests must still be answered then.
constexpr unsigned control_threads = 8;
constexpr int cold_factor = 5;
constexpr std::uint64_t maximum_answer_bytes = 1ULL << 32U;
constexpr std::uint64_t default_answer_bytes = 32;

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    return {digits.data(), end};
}

http::header_list json_headers()
{
    http::header_list headers;
    headers.add("Content-Type", "application/json");
    return headers;
}

// The number N of `/bytes?count=N`; other targets have a short answer.
std::uint64_t answer_bytes(const std::string& target)
{
    constexpr std::string_view prefix = "/bytes?count=";
    const auto found = target.find(prefix);
    std::uint64_t count = default_answer_bytes;
    if (found != std::string::npos) {
        const char* start = target.data() + found + prefix.size();
        std::from_chars(start, target.data() + target.size(), count);
    }
    return std::min(count, maximum_answer_bytes);
}

std::string answer_block()
{
    std::string block;
    while (block.size() < 32 * 1024) {
        block += "0123456789abcdefghijklmnopqrstuv";
    }
    return block;
}

} // namespace

upstream_stand_in::upstream_stand_in(stand_in_settings settings) : settings_{std::move(settings)} {}

upstream_stand_in::~upstream_stand_in()
{
    {
        const std::scoped_lock lock{mutex_};
        ++epoch_;
    }
    changed_.notify_all();
    server_.reset();
}

kernel::result<kernel::socket_address> upstream_stand_in::start()
{
    http::server_settings settings;
    settings.address = settings_.address;
    settings.threads = settings_.connections + control_threads;
    {
        const std::scoped_lock lock{mutex_};
        started_ = kernel::boot_clock::now();
    }
    auto created = http::server::create(settings, [this](http::server_exchange& exchange) { handle(exchange); });
    if (!created) {
        return tl::unexpected{created.error()};
    }
    server_ = std::move(*created);
    // A restart takes the same port.
    settings_.address = server_->address();
    return settings_.address;
}

void upstream_stand_in::maintain()
{
    kernel::time_point up_at;
    {
        const std::scoped_lock lock{mutex_};
        if (!crashed_) {
            return;
        }
        up_at = up_at_;
    }
    server_.reset();
    if (kernel::boot_clock::now() < up_at) {
        return;
    }
    {
        const std::scoped_lock lock{mutex_};
        crashed_ = false;
    }
    if (!start()) {
        const std::scoped_lock lock{mutex_};
        crashed_ = true;
    }
}

void upstream_stand_in::handle(http::server_exchange& exchange)
{
    {
        const std::scoped_lock lock{mutex_};
        if (crashed_) {
            return;
        }
    }
    const auto& target = exchange.head().target;
    if (target.starts_with("/control/")) {
        handle_control(exchange);
    }
    else if (target == "/health") {
        // Probes mislead: the answer is the same in every mode.
        (void)exchange.respond(200, json_headers(), R"({"status":"ok"})");
    }
    else {
        handle_request(exchange);
    }
}

void upstream_stand_in::handle_control(http::server_exchange& exchange)
{
    const auto& head = exchange.head();
    if (head.target == "/control/mode") {
        handle_mode(exchange);
    }
    else if (head.target == "/control/requests" && head.method == "GET") {
        (void)exchange.respond(200, json_headers(), record_.to_json());
    }
    else if (head.target == "/control/requests" && head.method == "DELETE") {
        record_.clear();
        (void)exchange.respond(200, json_headers(), "{}");
    }
    else if (head.target == "/control/state") {
        (void)exchange.respond(200, json_headers(), state_json());
    }
    else {
        (void)exchange.respond(404, json_headers(), "{}");
    }
}

void upstream_stand_in::handle_mode(http::server_exchange& exchange)
{
    if (exchange.head().method == "POST") {
        const auto body = exchange.read_whole_body(searched_bytes);
        if (!body) {
            return;
        }
        const auto mode = change_mode(current_mode(), *body);
        if (!mode) {
            (void)exchange.respond(400, json_headers(), R"({"reason":"malformed_mode"})");
            return;
        }
        {
            const std::scoped_lock lock{mutex_};
            mode_ = *mode;
        }
        changed_.notify_all();
    }
    (void)exchange.respond(200, json_headers(), to_json(current_mode()).dump());
}

std::optional<upstream_stand_in::received_body> upstream_stand_in::receive_body(http::server_exchange& exchange)
{
    received_body body;
    XXH64_state_t* state = XXH64_createState();
    XXH64_reset(state, 0);
    std::array<char, 16 * 1024> buffer{};
    auto count = exchange.read_body(buffer);
    while (count && *count > 0) {
        XXH64_update(state, buffer.data(), *count);
        body.length += *count;
        body.start.append(buffer.data(), std::min(*count, searched_bytes - body.start.size()));
        count = exchange.read_body(buffer);
    }
    body.checksum = XXH64_digest(state);
    XXH64_freeState(state);
    return count ? std::optional{std::move(body)} : std::nullopt;
}

void upstream_stand_in::handle_request(http::server_exchange& exchange)
{
    const auto mode = current_mode();
    const auto number = record_.add(exchange.head());
    const auto body = receive_body(exchange);
    if (!body) {
        return;
    }
    record_.set_body(number, body->start, body->length);
    if (mode.kind == fault::shedding) {
        auto headers = json_headers();
        headers.add("Wisterialane-Shed", "1");
        (void)exchange.respond(503, std::move(headers), R"({"reason":"shed"})");
        return;
    }
    if (mode.kind == fault::silent) {
        std::uint64_t epoch = 0;
        {
            const std::scoped_lock lock{mutex_};
            epoch = epoch_;
        }
        wait_silently(epoch);
        return;
    }
    if (!mode.crash_text.empty() && body->start.find(mode.crash_text) != std::string::npos) {
        record_.set_run(number);
        crash(mode);
        return;
    }
    if (serve_in_slot(mode, number) == wait_result::aborted) {
        return;
    }
    answer(exchange, mode, *body);
}

upstream_stand_in::wait_result upstream_stand_in::serve_in_slot(const upstream_mode& mode, std::size_t number)
{
    std::unique_lock lock{mutex_};
    const auto epoch = epoch_;
    changed_.wait(lock, [&] { return epoch_ != epoch || in_service_ < settings_.slots; });
    if (epoch_ != epoch) {
        return wait_result::aborted;
    }
    // A request that has begun counts as run, even when a crash ends it.
    record_.set_run(number);
    most_in_service_ = std::max(most_in_service_, ++in_service_);
    auto duration = std::chrono::duration<double, std::milli>{settings_.service_time};
    if (mode.kind == fault::slow) {
        duration *= mode.factor;
    }
    if (kernel::boot_clock::now() - started_ < settings_.cold_start) {
        duration *= cold_factor;
    }
    changed_.wait_for(lock, duration, [&] { return epoch_ != epoch; });
    --in_service_;
    const bool is_aborted = epoch_ != epoch;
    served_ += is_aborted ? 0 : 1;
    lock.unlock();
    changed_.notify_all();
    return is_aborted ? wait_result::aborted : wait_result::done;
}

void upstream_stand_in::wait_silently(std::uint64_t epoch)
{
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [&] { return epoch_ != epoch; });
}

void upstream_stand_in::crash(const upstream_mode& mode)
{
    {
        const std::scoped_lock lock{mutex_};
        ++epoch_;
        ++crashes_;
        crashed_ = true;
        up_at_ = kernel::boot_clock::now() + mode.down_time;
    }
    changed_.notify_all();
}

void upstream_stand_in::answer(http::server_exchange& exchange, const upstream_mode& mode, const received_body& body)
{
    int status = 200;
    auto headers = http::header_list{};
    headers.add("Content-Type", "text/plain");
    headers.add("Upstream-Address", settings_.address.value());
    headers.add("Upstream-Body-Length", std::to_string(body.length));
    headers.add("Upstream-Body-Checksum", hexadecimal(body.checksum));
    const bool is_wrong = mode.kind == fault::wrong && draw(mode.share);
    if (const auto nonce = exchange.head().headers.find("Wisterialane-Exchange")) {
        const std::string own{*nonce};
        const auto other = other_nonce(own);
        const bool swaps = is_wrong && mode.wrong_kind == wrong_answer_kind::other_nonce;
        headers.add("Wisterialane-Exchange", swaps ? other : own);
    }
    if (is_wrong && mode.wrong_kind == wrong_answer_kind::server_error) {
        status = 500;
    }
    if (mode.kind == fault::draining) {
        headers.add("Wisterialane-Draining", "1");
    }
    send_answer(exchange, status, headers, answer_bytes(exchange.head().target), mode.kind);
}

void upstream_stand_in::send_answer(http::server_exchange& exchange, int status, const http::header_list& headers,
                                    std::uint64_t count, fault kind)
{
    static const std::string block = answer_block();
    if (!exchange.start_response({status, headers}, {http::body_framing::length, count})) {
        return;
    }
    std::uint64_t left = kind == fault::cut ? count / 2 : count;
    if (exchange.head().method == "HEAD") {
        left = 0;
    }
    while (left > 0) {
        const auto part = std::min<std::uint64_t>(left, block.size());
        if (!exchange.write_body(std::string_view{block}.substr(0, part))) {
            return;
        }
        left -= part;
    }
    if (kind != fault::cut) {
        (void)exchange.finish_response();
    }
}

upstream_mode upstream_stand_in::current_mode() const
{
    const std::scoped_lock lock{mutex_};
    return mode_;
}

bool upstream_stand_in::draw(double share)
{
    const std::scoped_lock lock{mutex_};
    return std::uniform_real_distribution<double>{0, 1}(random_) < share;
}

std::string upstream_stand_in::other_nonce(const std::string& own)
{
    const std::scoped_lock lock{mutex_};
    const auto previous = std::exchange(last_nonce_, own);
    return previous.empty() || previous == own ? hexadecimal(random_()) : previous;
}

std::string upstream_stand_in::state_json() const
{
    const std::scoped_lock lock{mutex_};
    return nlohmann::json{
        {"in_service", in_service_}, {"most_in_service", most_in_service_}, {"served", served_}, {"crashes", crashes_}}
        .dump();
}

} // namespace wisterialane::stand_ins
