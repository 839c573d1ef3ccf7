#include "Table.h"

#include <algorithm>

namespace Ctl {

namespace {

    std::string printable(std::string text)
    {
        if (text.empty())
            return "-";
        std::ranges::replace_if(
            text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
        return text;
    }

    std::string quoted(std::string const& text)
    {
        if (text.find_first_of(",\"\r\n") == std::string::npos)
            return text;
        std::string result = "\"";
        for (auto const c : text)
            result.append(c == '"' ? 2 : 1, c);
        return result + '"';
    }

} // namespace

Table::Table(std::vector<std::string> header)
    : rows_ { std::move(header) }
{
}

void Table::add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

void Table::print(std::ostream& stream) const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (auto const& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], printable(row[column]).size());
    }
    for (auto const& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            auto const cell = printable(row[column]);
            line += cell;
            if (column + 1 < row.size())
                line.append(widths[column] - cell.size() + 2, ' ');
        }
        stream << line << "\n";
    }
}

void Table::printCsv(std::ostream& stream) const
{
    for (auto const& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column)
            stream << (column > 0 ? "," : "") << quoted(row[column]);
        stream << "\r\n";
    }
}

} // namespace Ctl
