#include "operators/Table.h"

#include <algorithm>
#include <cassert>

namespace sagechute::operators {
namespace {

    constexpr std::string_view gap = "  ";

    /// Code points, which are as many columns for all that the fleet prints.
    std::size_t columnsOf(std::string_view text)
    {
        return static_cast<std::size_t>(std::count_if(
            text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
    }

    void trimEnd(std::string& line) { line.erase(line.find_last_not_of(' ') + 1); }

    std::string lineOf(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
    {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += cells[i];
            line.append(widths[i] - columnsOf(cells[i]), ' ');
            line += gap;
        }
        trimEnd(line);
        return line + "\n";
    }

    /// @return how many bytes of @p text fit @p columns, at a space where there is one.
    std::size_t fitting(std::string_view text, std::size_t columns)
    {
        std::size_t n = 0;
        std::size_t used = 0;
        while (n < text.size()) {
            const bool startsPoint = (static_cast<unsigned char>(text[n]) & 0xC0) != 0x80;
            if (startsPoint && used == columns)
                break;
            used += startsPoint ? 1 : 0;
            ++n;
        }
        if (n == text.size())
            return n;
        const std::size_t space = text.rfind(' ', n);
        return space == std::string_view::npos || space == 0 ? n : space;
    }

} // namespace

void Table::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_headers.size());
    for (std::string& cell : cells)
        cell = printable(cell);
    m_rows.push_back(std::move(cells));
}

std::vector<std::size_t> Table::widths() const
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < m_headers.size(); ++i) {
        std::size_t width = columnsOf(m_headers[i]);
        for (const auto& row : m_rows)
            width = std::max(width, columnsOf(row[i]));
        widths.push_back(width);
    }
    return widths;
}

std::string Table::render(std::size_t mostColumns) const
{
    const std::vector<std::size_t> columns = widths();
    std::size_t total = gap.size() * (columns.size() - 1);
    for (const std::size_t width : columns)
        total += width;
    return mostColumns == 0 || total <= mostColumns ? renderColumns(columns) : renderBlocks(mostColumns);
}

std::string Table::renderColumns(const std::vector<std::size_t>& widths) const
{
    std::string text = lineOf(m_headers, widths);
    for (const auto& row : m_rows)
        text += lineOf(row, widths);
    return text;
}

std::string Table::renderBlocks(std::size_t mostColumns) const
{
    std::string text;
    for (const auto& row : m_rows) {
        text += wrap(row.front(), mostColumns, gap.size()) + "\n";
        for (std::size_t i = 1; i < row.size(); ++i) {
            if (!row[i].empty())
                text += wrap(std::string(gap) + m_headers[i] + " " + row[i], mostColumns, 2 * gap.size()) + "\n";
        }
    }
    return text;
}

std::string wrap(std::string_view text, std::size_t columns, std::size_t indent)
{
    std::string lines;
    std::size_t room = columns;
    // Spaces at the very start are the caller's own indent.
    const std::size_t start = std::min(text.find_first_not_of(' '), text.size());
    lines.append(start, ' ');
    room -= std::min(start, room - 1);
    text.remove_prefix(start);
    while (true) {
        const std::size_t n = std::max<std::size_t>(fitting(text, room), 1);
        lines += text.substr(0, n);
        text.remove_prefix(std::min(n, text.size()));
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        if (text.empty())
            return lines;
        lines += "\n" + std::string(indent, ' ');
        room = columns - indent;
    }
}

std::string printable(std::string_view text)
{
    std::string clean(text);
    std::replace_if(
        clean.begin(), clean.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return clean;
}

} // namespace sagechute::operators
