#include "libraries/configuration/json_codec.h"
#include "libraries/configuration/record.h"
#include "tests/configuration/sample_objects.h"

#include <doctest/doctest.h>

namespace wisterialane::configuration {
namespace {

std::vector<fault> faults_of(const std::string& text)
{
    const auto value = parse_json(text);
    REQUIRE(value);
    const auto changes = decode_changes(*value);
    return changes ? std::vector<fault>{} : changes.error();
}

TEST_CASE("json_codec: changes of every kind: round trip")
{
    auto changes = sample_changes();
    changes.push_back(deletion(object_kind::route, "old"));
    const auto value = parse_json(write_json(encode_changes(changes)));
    REQUIRE(value);
    CHECK(decode_changes(*value) == changes);
}

// Guards against a misspelt or mistyped field that is silently ignored.
TEST_CASE("json_codec: wrong fields: reports each with its type")
{
    const auto faults = faults_of(R"([{"put":{"kind":"limit","name":"a","rate_per_second":"1","brust":2}},
        {"put":{"kind":"service","name":"s","floor_percent":-1,"exchange_echo":"maybe"}},
        {"delete":{"kind":"bird","name":"x"}}, {"rename":{}}, 7])");
    std::vector<std::pair<std::string, configuration_event>> found;
    found.reserve(faults.size());
    for (const auto& item : faults) {
        found.emplace_back(item.field, item.reason);
    }
    using enum configuration_event;
    CHECK(found == decltype(found){{"rate_per_second", malformed_input},
                                   {"burst", missing_field},
                                   {"brust", unknown_field},
                                   {"floor_percent", value_out_of_range},
                                   {"exchange_echo", value_out_of_range},
                                   {"kind", value_out_of_range},
                                   {"rename", unknown_field},
                                   {"", malformed_input}});
}

// Guards against input that costs more memory or stack than its sender should get.
TEST_CASE("json_codec: deep, long or ambiguous input: refuses before decoding")
{
    CHECK(parse_json(std::string(100'000, '[')).error().is(configuration_event::input_too_large));
    CHECK(parse_json(std::string(maximum_input_bytes + 1, ' ')).error().is(configuration_event::input_too_large));
    CHECK(parse_json(R"({"a":1,"a":2})").error().is(configuration_event::malformed_input));
    CHECK(parse_json("[1e999]").error().is(configuration_event::malformed_input));
    CHECK(parse_json(R"([{"a":1},{"a":1}])"));
    CHECK(parse_json("[1] 2").error().is(configuration_event::malformed_input));
    // Guards against a parser that visits all earlier elements at the end of each one.
    std::string elements = "[{}";
    while (elements.size() < maximum_input_bytes - 4) {
        elements += ",{}";
    }
    CHECK(parse_json(elements + "]"));
    std::string many = "[0";
    for (std::size_t index = 0; index < maximum_changes; ++index) {
        many += ",0";
    }
    const auto faults = faults_of(many + "]");
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].reason == configuration_event::input_too_large);
}

// Guards against a record that was altered after it was published.
TEST_CASE("record: any altered byte: is refused")
{
    const auto text = encode_record(next_record(configuration_set{}, sample_changes()));
    REQUIRE(decode_record(text));
    for (std::size_t index = 0; index < text.size(); ++index) {
        auto altered = text;
        altered[index] = altered[index] == '1' ? '2' : '1';
        CAPTURE(index);
        CHECK_FALSE(decode_record(altered));
    }
}

// Guards against a roster that cannot be searched by instance id.
TEST_CASE("record: unsorted roster: is stored sorted and found")
{
    roster hosts;
    for (const std::string id : {"b", "a", "b"}) {
        hosts.entries.push_back({kernel::instance_id{id}, {}, {}, {}, {}, {}});
    }
    const auto item = decode_record(encode_record(make_record({}, {}, {}, {}, {}, hosts)));
    REQUIRE(item);
    REQUIRE(item->new_roster->entries.size() == 2);
    CHECK(item->new_roster->find(kernel::instance_id{"a"}) != nullptr);
    CHECK(item->new_roster->find(kernel::instance_id{"c"}) == nullptr);
}

} // namespace
} // namespace wisterialane::configuration
