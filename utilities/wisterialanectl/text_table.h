#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace wisterialane::control {

/// Text in columns, as wide as their widest cell.
class text_table {
public:
    explicit text_table(std::vector<std::string> headings) { rows_.push_back(std::move(headings)); }

    void add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }

    void print(std::ostream& stream) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace wisterialane::control
