#include "libraries/proxy/message_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <xxhash.h>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

/// Longer times of an upstream count as this one.
constexpr std::chrono::duration<double> maximum_retry_after = std::chrono::hours{1};
/// Longest time, in milliseconds, for which a response can say that its upstream is still cold: an hour.
constexpr double maximum_cold_ms = 3'600'000;

/// Headers that apply to one connection only, and those of the body's framing, which the host sets itself.
constexpr std::array hop_by_hop_headers{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::transfer_encoding,
    http::field::te,
    http::field::trailer,
    http::field::upgrade,
    http::field::content_length,
    http::field::expect,
    http::field::proxy_authorization,
    http::field::proxy_authenticate,
};

// A `Connection` header lists further hop-by-hop headers.
bool is_listed_by_connection(const http_fields& headers, boost::beast::string_view name)
{
    const auto listed = headers.equal_range(http::field::connection);
    return std::any_of(listed.first, listed.second,
                       [name](const auto& header) { return http::token_list{header.value()}.exists(name); });
}

bool is_hop_by_hop(const http_fields& headers, const http_fields::value_type& header)
{
    return std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), header.name()) != hop_by_hop_headers.end() ||
           is_listed_by_connection(headers, header.name_string());
}

bool is_set_by_host(boost::beast::string_view name, const wire_names& names)
{
    const auto same = [name](const std::string& other) { return boost::beast::iequals(name, other); };
    return same(names.key) || same(names.customer) || same(names.target_upstream) || same(names.deadline);
}

// Returns the number that a header holds; empty if it is missing, not a decimal number, negative or not finite.
std::optional<double> read_decimal(const http_fields& headers, const std::string& name)
{
    const auto found = headers.find(name);
    if (found == headers.end()) {
        return std::nullopt;
    }
    const std::string_view text{found->value().data(), found->value().size()};
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return valid && std::isfinite(value) && value >= 0 ? std::optional{value} : std::nullopt;
}

// Returns the time for which a response says that its upstream is still cold; empty if it does not say so.
std::optional<std::chrono::milliseconds> read_cold_time(const http_fields& headers, const wire_names& names)
{
    const auto left = read_decimal(headers, names.cold_left);
    if (!left) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> bounded{std::min(*left, maximum_cold_ms)};
    return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

void append(std::string& head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string head_for_upstream(const http_request& request, const wire_names& names, const proxy_header_values& values)
{
    std::string head;
    head.reserve(512);
    head.append(to_view(request.method_string())).append(" ").append(to_view(request.target())).append(" HTTP/1.1\r\n");
    for (const auto& header : request.base()) {
        if (!is_hop_by_hop(request.base(), header) && !is_set_by_host(header.name_string(), names)) {
            append(head, to_view(header.name_string()), to_view(header.value()));
        }
    }
    append(head, names.deadline, std::to_string(std::max<std::int64_t>(1, values.time_left.count())));
    append(head, names.target_upstream, values.upstream.value());
    if (!values.customer.value().empty()) {
        append(head, names.customer, values.customer.value());
    }
    const bool framed =
        request.count(http::field::content_length) > 0 || request.count(http::field::transfer_encoding) > 0;
    if (framed || !request.body().empty()) {
        append(head, "Content-Length", std::to_string(request.body().size()));
    }
    head += "\r\n";
    return head;
}

std::uint64_t fingerprint_of(const http_request& request, const kernel::customer_name& customer)
{
    const auto add = [](std::string_view text, std::uint64_t seed) { return ::XXH64(text.data(), text.size(), seed); };
    auto hash = add(customer.value(), 0);
    hash = add(to_view(request.method_string()), hash);
    hash = add(to_view(request.target()), hash);
    return add(request.body(), hash);
}

std::vector<std::pair<std::string, std::string>> headers_for_caller(const http_fields& headers)
{
    std::vector<std::pair<std::string, std::string>> result;
    for (const auto& header : headers) {
        if (!is_hop_by_hop(headers, header)) {
            result.emplace_back(to_view(header.name_string()), to_view(header.value()));
        }
    }
    return result;
}

std::optional<std::chrono::milliseconds> read_deadline(const http_request& request, const wire_names& names)
{
    const auto found = request.find(names.deadline);
    if (found == request.end()) {
        return std::nullopt;
    }
    const auto text = to_view(found->value());
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{value};
}

upstream_notice read_notice(const http_fields& headers, const wire_names& names, std::int64_t started_at_ms)
{
    return {started_at_ms, headers[names.leaving] == "1", read_decimal(headers, names.rate_limit),
            read_cold_time(headers, names)};
}

std::optional<kernel::duration> read_retry_after(const http_fields& headers)
{
    const auto wait = read_decimal(headers, "Retry-After");
    if (!wait) {
        return std::nullopt;
    }
    const std::chrono::duration<double> bounded = std::min(std::chrono::duration<double>{*wait}, maximum_retry_after);
    return std::chrono::duration_cast<kernel::duration>(bounded);
}

std::string_view query_parameter(std::string_view target, std::string_view name)
{
    auto rest = target.substr(std::min(target.size(), target.find('?')));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto end = std::min(rest.size(), rest.find('&'));
        const auto parameter = rest.substr(0, end);
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos && parameter.substr(0, equals) == name) {
            return parameter.substr(equals + 1);
        }
        rest.remove_prefix(end);
    }
    return {};
}

} // namespace wisterialane::proxy
