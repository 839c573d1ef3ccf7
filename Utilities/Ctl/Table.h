#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Ctl {

/// Rows of text under a header.
class Table {
public:
    explicit Table(std::vector<std::string> header);

    /// Must have as many cells as the header.
    void add(std::vector<std::string> row);

    /// Columns aligned by spaces. Control characters are shown as `?`, since names come from other hosts.
    void print(std::ostream&) const;
    /// RFC 4180.
    void printCsv(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace Ctl
