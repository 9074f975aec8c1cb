#include "sequoiausher/cli/texttable.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

bool isNumber(const std::string &cell)
{
    const std::size_t sign = !cell.empty() && cell.front() == '-' ? 1 : 0;
    return cell.size() > sign && cell[sign] >= '0' && cell[sign] <= '9';
}

void appendCell(std::string &line, const std::string &cell, std::size_t width)
{
    const std::string padding(width - std::min(width, cell.size()), ' ');
    line += isNumber(cell) ? padding + cell : cell + padding;
    line += "  ";
}

} // namespace

TextTable::TextTable(std::vector<std::string> head)
{
    this->rows.push_back(std::move(head));
}

void TextTable::add(std::vector<std::string> row)
{
    std::replace(row.begin(), row.end(), std::string(), std::string("-"));
    this->rows.push_back(std::move(row));
}

std::string TextTable::toText() const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const std::vector<std::string> &row : this->rows) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row.at(i).size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &row : this->rows) {
        std::string line;
        for (std::size_t i = 0; i < widths.size(); ++i) {
            appendCell(line, row[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace Sequoiausher
