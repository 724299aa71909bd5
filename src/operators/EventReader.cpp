#include "operators/EventReader.h"

#include <utility>

namespace sagechute::operators {
namespace {

    constexpr std::size_t longestLine = 4 << 20;

} // namespace

bool EventReader::take(std::string_view bytes)
{
    while (true) {
        const std::size_t end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (end == std::string_view::npos)
            return m_line.size() <= longestLine;
        bytes.remove_prefix(end + 1);
        if (!takeLine(std::exchange(m_line, {})))
            return false;
    }
}

bool EventReader::takeLine(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        const ServerEvent event = std::exchange(m_event, {});
        return event.data.empty() || m_sink(event);
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "id")
        m_event.id = value;
    else if (field == "event")
        m_event.name = value;
    else if (field == "data")
        m_event.data += (m_event.data.empty() ? "" : "\n") + std::string(value);
    return true;
}

} // namespace sagechute::operators
