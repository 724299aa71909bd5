#pragma once

#include "net/FreeText.h"

#include <string_view>

namespace sagechute::net {

/// Bytes that have been read and not yet taken: part of a line, or requests behind the one that is served. Each byte is
/// moved a bounded number of times, in however small pieces bytes come and are taken.
class ReadAhead {
public:
    bool isEmpty() const { return m_start == m_bytes.size(); }
    std::string_view bytes() const { return std::string_view(m_bytes).substr(m_start); }

    /// @return what it allocates.
    std::size_t memory() const { return m_bytes.empty() ? 0 : m_bytes.capacity(); }

    void append(std::string_view bytes)
    {
        if (m_start > m_bytes.size() / 2) {
            m_bytes.erase(0, m_start);
            m_start = 0;
        }
        m_bytes += bytes;
    }

    /// Removes the first @p n bytes.
    void remove(std::size_t n)
    {
        m_start += n;
        if (isEmpty())
            clear();
    }

    void clear()
    {
        freeText(m_bytes);
        m_start = 0;
    }

private:
    std::string m_bytes;
    std::size_t m_start = 0; ///< Bytes before it have been taken.
};

} // namespace sagechute::net
