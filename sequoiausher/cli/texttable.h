#pragma once

// Rows of words in columns of equal width, for a terminal.
//
//     TextTable table({"ROUTER", "STATE"});
//     table.add({"r1", "ready"});
//     out << table.toText();

#include <string>
#include <vector>

namespace Sequoiausher {

/** A table with a head. */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> head);

    /** @param row as many cells as the head has; an empty cell is shown as '-'. */
    void add(std::vector<std::string> row);
    /** Lines that end with a newline; cells that start with a digit are aligned to the right. */
    std::string toText() const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace Sequoiausher
