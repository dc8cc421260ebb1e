#include "libraries/claims/claim_record.h"

#include "libraries/claims/claims_events.h"
#include "libraries/encoding/base64.h"

#include <nlohmann/json.hpp>

namespace wisterialane::claims {
namespace {

using nlohmann::json;

tl::unexpected<kernel::failure> malformed(const platform::row& row)
{
    return kernel::fail(claims_event::row_malformed, row.key);
}

} // namespace

std::string write_claim_record(const claim_record& record)
{
    json document{{"state", record.answer ? "completed" : "claimed"},
                  {"token", record.token.value()},
                  {"request_digest", record.digest.value()},
                  {"instance", record.instance.value()}};
    if (record.answer) {
        document["status"] = record.answer->status;
        document["content_type"] = record.answer->content_type;
        if (record.answer->body) {
            document["body"] = encoding::encode_base64(*record.answer->body);
        }
    }
    // An upstream's content type may hold bytes that are not UTF-8.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

kernel::result<claim_record> read_claim_record(const platform::row& row)
{
    try {
        const auto document = json::parse(row.value);
        claim_record record{claim_token{document.at("token").get<std::string>()},
                            request_digest{document.at("request_digest").get<std::string>()},
                            kernel::instance_id{document.at("instance").get<std::string>()}, std::nullopt};
        const auto state = document.at("state").get<std::string>();
        if (state == "claimed") {
            return record;
        }
        if (state != "completed") {
            return malformed(row);
        }
        record.answer =
            completed_answer{document.at("status").get<int>(), document.at("content_type").get<std::string>(), {}};
        if (document.contains("body")) {
            record.answer->body = encoding::decode_base64(document.at("body").get<std::string>());
            if (!record.answer->body) {
                return malformed(row);
            }
        }
        return record;
    }
    catch (const json::exception&) {
        return malformed(row);
    }
}

} // namespace wisterialane::claims
