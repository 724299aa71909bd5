#include <sagechute/Edge.h>

#include <charconv>

namespace sagechute::edge {

namespace {

    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    constexpr std::string_view dataField = "data";
    constexpr std::string_view idField = "id:";
    constexpr char commentMark = ':';

    /// Keeps a target that never ends an event from exhausting the router's memory, and one that sends comments without
    /// end from keeping its caller.
    constexpr std::size_t maxEventBytes = 1 << 20;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::string_view withoutByteOrderMark(std::string_view line)
    {
        if (line.starts_with(byteOrderMark))
            line.remove_prefix(byteOrderMark.size());
        return line;
    }

    bool isField(std::string_view line) { return !line.empty() && line.front() != commentMark; }

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    std::string completeEvents;
    if (bytes.empty() || m_hasInvalidEvent)
        return completeEvents;
    if (completesLineEnd(bytes)) {
        // The line that ended with the CR has been returned already, or is kept with the rest of its event.
        (m_pending.empty() ? completeEvents : m_pending) += '\n';
        m_lineBegin = m_searched = m_pending.size();
        bytes.remove_prefix(1);
    }
    const std::uint64_t eventsBefore = m_events;
    m_pending += bytes;
    m_endsWithCr = bytes.ends_with('\r');
    std::size_t completeEnd = 0;
    for (;;) {
        const std::size_t end = m_pending.find_first_of("\r\n", m_searched);
        if (end == std::string::npos)
            break;
        const bool isCrLf = m_pending.compare(end, 2, "\r\n") == 0;
        const bool isEventEnd = parseLine(end);
        if (m_hasInvalidEvent)
            break;
        m_lineBegin = m_searched = end + (isCrLf ? 2 : 1);
        if (isEventEnd)
            completeEnd = m_lineBegin;
    }
    completeEvents.append(m_pending, 0, completeEnd);
    m_pending.erase(0, completeEnd);
    m_lineBegin -= completeEnd;
    m_searched = m_pending.size();
    m_bytesSinceEvent = m_events > eventsBefore ? m_pending.size() : m_bytesSinceEvent + bytes.size();
    m_isEventTooLarge = m_bytesSinceEvent > maxEventBytes;
    m_hasInvalidEvent |= m_isEventTooLarge;
    return completeEvents;
}

bool EventSplitter::isInsideEvent() const
{
    std::string_view line = std::string_view(m_pending).substr(m_lineBegin);
    if (m_isFirstLine)
        line = withoutByteOrderMark(line);
    return m_partial.hasField || isField(line);
}

bool EventSplitter::parseLine(std::size_t end)
{
    std::string_view line = std::string_view(m_pending).substr(m_lineBegin, end - m_lineBegin);
    if (std::exchange(m_isFirstLine, false))
        line = withoutByteOrderMark(line);
    if (line.empty()) {
        finishEvent();
        return true;
    }
    if (isField(line))
        parseField(line);
    return false;
}

void EventSplitter::parseField(std::string_view line)
{
    m_partial.hasField = true;
    m_partial.hasData |= line.substr(0, line.find(':')) == dataField;
    if (!line.starts_with(idField))
        return;
    line.remove_prefix(idField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    m_partial.id = line;
}

void EventSplitter::finishEvent()
{
    const PartialEvent event = std::exchange(m_partial, {});
    if (event.id) {
        const auto before = parseNumber(m_lastId);
        const auto now = parseNumber(*event.id);
        if (before && now && *now <= *before) {
            m_hasInvalidEvent = true;
            // Events between the two IDs may be missing, so the stream cannot be resumed from here.
            m_canResumeAfterLastId &= m_events == 0 || *now == *before;
            return;
        }
        m_lastId = *event.id;
    }
    if (event.hasData || event.id)
        m_canResumeAfterLastId = event.id.has_value();
    m_events += event.hasField ? 1 : 0;
}

} // namespace sagechute::edge
