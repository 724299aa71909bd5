#include <sagechute/Delivery.h>

#include <charconv>
#include <cstring>

namespace sagechute::delivery {

StreamChecker::StreamChecker(std::string identity, std::uint64_t from)
    : m_identity(std::move(identity))
    , m_nextPosition(from)
{
}

void StreamChecker::feed(std::string_view bytes)
{
    if (m_fault != StreamFault::None)
        return;
    // Moving the rest to the front only when at least as much was read keeps the copying in proportion to the bytes
    // fed.
    if (m_consumed >= m_buffer.size() - m_consumed) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    m_buffer.append(bytes);
}

std::optional<StreamEvent> StreamChecker::next()
{
    while (m_fault == StreamFault::None) {
        const std::string_view bytes = unread();
        const std::size_t newline = bytes.find('\n', m_searched);
        const bool whole = newline != std::string_view::npos;
        if ((whole ? newline + 1 : bytes.size()) > kMostEventBytes)
            return fail(StreamFault::Malformed);
        m_searched = whole ? newline + 1 : bytes.size();
        if (!whole)
            return std::nullopt;

        const std::size_t begin = m_lineBegin;
        const std::size_t end = newline > begin && bytes[newline - 1] == '\r' ? newline - 1 : newline;
        m_lineBegin = newline + 1;
        if (end == begin && !m_partial.empty())
            return finishEvent();
        if (end > begin) {
            if (const StreamFault fault = readLine(begin, end); fault != StreamFault::None)
                return fail(fault);
        }
        // Symptom prevented: a long answer with only heartbeats for hours would add up to an event that is too long.
        if (m_partial.empty()) {
            m_consumed += m_lineBegin;
            m_lineBegin = m_searched = 0;
        }
    }
    return std::nullopt;
}

std::optional<StreamEvent> StreamChecker::fail(StreamFault fault)
{
    m_fault = fault;
    m_buffer.clear();
    m_consumed = 0;
    return std::nullopt;
}

StreamFault StreamChecker::readLine(std::size_t begin, std::size_t end)
{
    const std::string_view line = unread().substr(begin, end - begin);
    if (line.front() == ':')
        return StreamFault::None;
    // A target that goes on after the end mixes up answers; its connection must not serve another request.
    if (m_done)
        return StreamFault::Malformed;
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::size_t valueBegin = colon == std::string_view::npos ? line.size() : colon + 1;
    if (valueBegin < line.size() && line[valueBegin] == ' ')
        ++valueBegin;
    const std::string_view value = line.substr(valueBegin);
    if (field == "id")
        return readId(value);
    if (field == "event")
        return readName(value);
    if (field == "data")
        readData(begin + valueBegin, end);
    return StreamFault::None;
}

StreamFault StreamChecker::readId(std::string_view value)
{
    const std::size_t colon = value.rfind(':');
    if (colon == std::string_view::npos || m_partial.position)
        return StreamFault::Malformed;
    std::uint64_t position = 0;
    const char* const last = value.data() + value.size();
    const auto [end, ec] = std::from_chars(value.data() + colon + 1, last, position);
    if (ec != std::errc {} || end != last)
        return StreamFault::Malformed;
    if (value.substr(0, colon) != m_identity)
        return StreamFault::Crossed;
    m_partial.position = position;
    return StreamFault::None;
}

StreamFault StreamChecker::readName(std::string_view value)
{
    if (m_partial.isDone || value != "done")
        return StreamFault::Malformed;
    m_partial.isDone = true;
    return StreamFault::None;
}

void StreamChecker::readData(std::size_t begin, std::size_t end)
{
    if (!m_partial.hasData) {
        m_partial.hasData = true;
        m_partial.dataBegin = begin;
        m_partial.dataSize = end - begin;
        return;
    }
    // Several data lines of one event are one text with line feeds between. There is room to join them in place, since
    // what stood between the two is longer than a line feed and has been read.
    char* const event = m_buffer.data() + m_consumed;
    const std::size_t join = m_partial.dataBegin + m_partial.dataSize;
    event[join] = '\n';
    std::memmove(event + join + 1, event + begin, end - begin);
    m_partial.dataSize += 1 + end - begin;
}

std::optional<StreamEvent> StreamChecker::finishEvent()
{
    const PartialEvent event = m_partial;
    const std::string_view data = unread().substr(event.dataBegin, event.dataSize);
    m_partial = {};
    m_consumed += m_lineBegin;
    m_lineBegin = m_searched = 0;
    if (!event.position || !event.hasData)
        return fail(StreamFault::Malformed);
    if (event.isDone)
        return finishAnswer(event, data);
    if (*event.position > m_nextPosition)
        return fail(StreamFault::Gap);
    if (*event.position < m_nextPosition)
        return StreamEvent { StreamEventKind::Repeated, *event.position, data };
    ++m_nextPosition;
    return StreamEvent { StreamEventKind::Token, *event.position, data };
}

std::optional<StreamEvent> StreamChecker::finishAnswer(const PartialEvent& event, std::string_view data)
{
    // An end before what was relayed already belongs to a shorter answer than the caller has got the start of.
    if (*event.position != m_nextPosition)
        return fail(StreamFault::Gap);
    m_done = true;
    return StreamEvent { StreamEventKind::Done, *event.position, data };
}

} // namespace sagechute::delivery
