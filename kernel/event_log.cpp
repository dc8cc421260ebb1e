#include "kernel/event_log.h"

#include <algorithm>
#include <sstream>

#include <glog/logging.h>

namespace wisterialane::kernel {
namespace {

bool needs_quotes(const std::string& value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
               return character <= ' ' || character == '"' || character == '\\' || character >= 127;
           });
}

// Control characters are escaped, so that a value from outside the process cannot start a new log line.
void append_quoted(std::ostringstream& line, const std::string& value)
{
    static constexpr char digits[] = "0123456789abcdef";
    line << '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line << '\\' << character;
        }
        else if (byte < ' ' || byte >= 127) {
            line << "\\x" << digits[byte >> 4U] << digits[byte & 15U];
        }
        else {
            line << character;
        }
    }
    line << '"';
}

void append_field(std::ostringstream& line, const log_field& field)
{
    line << ' ' << field.key << '=';
    if (needs_quotes(field.value)) {
        append_quoted(line, field.value);
    }
    else {
        line << field.value;
    }
}

void write_line(severity level, const std::string& line)
{
    switch (level) {
    case severity::information:
        LOG(INFO) << line;
        return;
    case severity::warning:
        LOG(WARNING) << line;
        return;
    case severity::error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

namespace detail {

std::string format_event(int number, std::string_view name, std::initializer_list<log_field> fields)
{
    std::ostringstream line;
    line << "event=" << number << " name=" << name;
    for (const auto& field : fields) {
        append_field(line, field);
    }
    return line.str();
}

void write_event(severity level, int number, std::string_view name, std::initializer_list<log_field> fields)
{
    write_line(level, format_event(number, name, fields));
}

} // namespace detail

void log_failure(severity level, const failure& reason, std::initializer_list<log_field> fields)
{
    std::ostringstream line;
    line << "event=" << reason.number() << " name=" << reason.name();
    append_field(line, {"subject", reason.subject()});
    for (const auto& field : fields) {
        append_field(line, field);
    }
    write_line(level, line.str());
}

void initialize_event_log(const char* program_name)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program_name);
}

} // namespace wisterialane::kernel
