#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::operators {

/// Widest line of the narrow form: a phone in an upright terminal.
inline constexpr std::size_t narrowColumns = 60;

/// Rows of text under headers.
class Table {
public:
    explicit Table(std::vector<std::string> headers)
        : m_headers(std::move(headers))
    {
    }

    /// @param cells as many as there are headers.
    void add(std::vector<std::string> cells);

    /// @param mostColumns widest line allowed, 0 for any. When the columns do not fit, each row becomes a block of
    /// lines.
    std::string render(std::size_t mostColumns) const;

private:
    std::vector<std::size_t> widths() const;
    std::string renderColumns(const std::vector<std::size_t>& widths) const;
    std::string renderBlocks(std::size_t mostColumns) const;

    std::vector<std::string> m_headers;
    std::vector<std::vector<std::string>> m_rows;
};

/// Breaks a text into lines between words where that is possible.
/// @param indent put before each line but the first, and counted.
std::string wrap(std::string_view text, std::size_t columns, std::size_t indent);

/// @return @p text with bytes that could steer a terminal replaced, so that a resource's text cannot do so.
std::string printable(std::string_view text);

} // namespace sagechute::operators
