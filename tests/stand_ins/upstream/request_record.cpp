#include "tests/stand_ins/upstream/request_record.h"

#include <nlohmann/json.hpp>

namespace wisterialane::stand_ins {

std::size_t request_record::add(const http::request_head& head)
{
    const std::scoped_lock lock{mutex_};
    if (entries_.size() < maximum_entries) {
        entries_.push_back({head, {}, 0, execution::not_run});
    }
    return next_++;
}

request_record::entry* request_record::find(std::size_t number)
{
    return number < first_ || number - first_ >= entries_.size() ? nullptr : &entries_[number - first_];
}

void request_record::set_body(std::size_t number, std::string_view start, std::uint64_t length)
{
    const std::scoped_lock lock{mutex_};
    if (auto* found = find(number)) {
        found->body_prefix = start.substr(0, body_prefix_bytes);
        found->body_length = length;
    }
}

void request_record::set_run(std::size_t number)
{
    const std::scoped_lock lock{mutex_};
    if (auto* found = find(number)) {
        found->state = execution::run;
    }
}

void request_record::clear()
{
    const std::scoped_lock lock{mutex_};
    entries_.clear();
    first_ = next_;
}

std::string request_record::to_json() const
{
    const std::scoped_lock lock{mutex_};
    auto requests = nlohmann::json::array();
    for (const auto& item : entries_) {
        auto headers = nlohmann::json::array();
        for (const auto& field : item.head.headers.fields()) {
            headers.push_back({field.name, field.value});
        }
        requests.push_back({{"method", item.head.method},
                            {"target", item.head.target},
                            {"headers", std::move(headers)},
                            {"body_prefix", item.body_prefix},
                            {"body_length", item.body_length},
                            {"run", item.state == execution::run}});
    }
    const nlohmann::json result{{"count", next_ - first_}, {"requests", std::move(requests)}};
    return result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace wisterialane::stand_ins
