#include <sagechute/Edge.h>

#include <charconv>

namespace sagechute::edge {

namespace {

    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view idField = "id:";

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    m_pending += bytes;
    std::size_t begin = 0;
    while (!m_isDisordered) {
        const std::size_t end = m_pending.find(eventEnd, std::max(begin, m_searched));
        if (end == std::string::npos)
            break;
        const std::size_t next = end + eventEnd.size();
        takeEvent(std::string_view(m_pending).substr(begin, next - begin));
        if (!m_isDisordered)
            begin = next;
        m_searched = next;
    }
    std::string whole = m_pending.substr(0, begin);
    m_pending.erase(0, begin);
    // The mark itself may be cut in two.
    m_searched = m_pending.empty() ? 0 : m_pending.size() - 1;
    return whole;
}

void EventSplitter::takeEvent(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        if (line.starts_with(idField)) {
            line.remove_prefix(idField.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            takeId(line);
        }
        begin = end + 1;
    }
    if (!m_isDisordered)
        ++m_events;
}

void EventSplitter::takeId(std::string_view id)
{
    const auto before = parseNumber(m_lastId);
    const auto now = parseNumber(id);
    if (before && now && *now <= *before) {
        m_isDisordered = true;
        return;
    }
    m_lastId = id;
}

} // namespace sagechute::edge
