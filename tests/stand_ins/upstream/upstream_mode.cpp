#include "tests/stand_ins/upstream/upstream_mode.h"

#include <array>
#include <utility>

namespace wisterialane::stand_ins {
namespace {

constexpr std::array<std::pair<std::string_view, fault>, 7> fault_names{{{"healthy", fault::healthy},
                                                                         {"slow", fault::slow},
                                                                         {"wrong", fault::wrong},
                                                                         {"silent", fault::silent},
                                                                         {"cut", fault::cut},
                                                                         {"shedding", fault::shedding},
                                                                         {"draining", fault::draining}}};

constexpr std::array<std::pair<std::string_view, wrong_answer_kind>, 2> wrong_kind_names{
    {{"nonce", wrong_answer_kind::other_nonce}, {"status", wrong_answer_kind::server_error}}};

template <class Names, class Value>
bool read_name(const nlohmann::json& object, const char* field, const Names& names, Value& value)
{
    if (!object.contains(field)) {
        return true;
    }
    const auto text = object.at(field).get<std::string>();
    for (const auto& [name, item] : names) {
        if (name == text) {
            value = item;
            return true;
        }
    }
    return false;
}

template <class Names, class Value>
std::string name_of(const Names& names, Value value)
{
    for (const auto& [name, item] : names) {
        if (item == value) {
            return std::string{name};
        }
    }
    return {};
}

} // namespace

std::string_view to_name(stand_in_event event)
{
    switch (event) {
    case stand_in_event::malformed_mode:
        return "malformed_mode";
    }
    return "unknown";
}

kernel::result<upstream_mode> change_mode(upstream_mode mode, std::string_view text)
{
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return kernel::fail(stand_in_event::malformed_mode);
    }
    try {
        if (!read_name(object, "mode", fault_names, mode.kind) ||
            !read_name(object, "wrong", wrong_kind_names, mode.wrong_kind)) {
            return kernel::fail(stand_in_event::malformed_mode, std::string{text});
        }
        mode.factor = object.value("factor", mode.factor);
        mode.share = object.value("share", mode.share);
        mode.crash_text = object.value("crash_text", mode.crash_text);
        mode.down_time = std::chrono::milliseconds{object.value("down_ms", mode.down_time.count())};
    }
    catch (const nlohmann::json::exception& error) {
        return kernel::fail(stand_in_event::malformed_mode, error.what());
    }
    return mode;
}

nlohmann::json to_json(const upstream_mode& mode)
{
    return {{"mode", name_of(fault_names, mode.kind)},
            {"factor", mode.factor},
            {"share", mode.share},
            {"wrong", name_of(wrong_kind_names, mode.wrong_kind)},
            {"crash_text", mode.crash_text},
            {"down_ms", mode.down_time.count()}};
}

} // namespace wisterialane::stand_ins
