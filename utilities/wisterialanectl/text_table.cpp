#include "utilities/wisterialanectl/text_table.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace wisterialane::control {

void text_table::print(std::ostream& stream) const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column) {
            stream << std::left << std::setw(static_cast<int>(widths[column] + 2)) << row[column];
        }
        stream << row.back() << '\n';
    }
}

} // namespace wisterialane::control
