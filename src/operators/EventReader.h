#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace sagechute::operators {

/// One server-sent event.
struct ServerEvent {
    std::string id;
    std::string name;
    std::string data;
};

/// Takes a stream of server-sent events apart, however the bytes are cut.
class EventReader {
public:
    /// @param sink returns false to be given no more.
    explicit EventReader(std::function<bool(const ServerEvent&)> sink)
        : m_sink(std::move(sink))
    {
    }

    /// @return false once the sink wants no more, or when a line grows beyond all reason.
    bool take(std::string_view bytes);

private:
    bool takeLine(std::string_view line);

    const std::function<bool(const ServerEvent&)> m_sink;
    std::string m_line;
    ServerEvent m_event;
};

} // namespace sagechute::operators
