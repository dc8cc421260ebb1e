#include "tests/stand_ins/platform/request_target.h"

#include "libraries/encoding/percent_encoding.h"
#include "libraries/http/http_events.h"

namespace wisterialane::stand_ins {
namespace {

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

tl::unexpected<kernel::failure> malformed(std::string_view text)
{
    return kernel::fail(http::http_event::malformed_request, std::string{text});
}

} // namespace

kernel::result<request_target> parse_request_target(std::string_view text)
{
    if (text.empty() || text.front() != '/') {
        return malformed(text);
    }
    request_target target;
    const auto question = text.find('?');
    for (const auto segment :
         split(text.substr(1, question == std::string_view::npos ? question : question - 1), '/')) {
        auto decoded = encoding::percent_decode(segment);
        if (!decoded) {
            return malformed(text);
        }
        target.segments.push_back(*std::move(decoded));
    }
    if (question == std::string_view::npos) {
        return target;
    }
    for (const auto parameter : split(text.substr(question + 1), '&')) {
        const auto equals = parameter.find('=');
        auto value = encoding::percent_decode(equals == std::string_view::npos ? "" : parameter.substr(equals + 1));
        if (!value) {
            return malformed(text);
        }
        target.query[std::string{parameter.substr(0, equals)}] = *std::move(value);
    }
    return target;
}

} // namespace wisterialane::stand_ins
