#include <sagechute/Process.h>

#include "core/Utf8.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>

namespace sagechute::process {
namespace {

    struct LevelName {
        std::string_view name;
        LogLevel level;
        log4cplus::LogLevel native;
    };

    constexpr std::array<LevelName, 4> levels { {
        { "debug", LogLevel::Debug, log4cplus::DEBUG_LOG_LEVEL },
        { "info", LogLevel::Info, log4cplus::INFO_LOG_LEVEL },
        { "warning", LogLevel::Warning, log4cplus::WARN_LOG_LEVEL },
        { "error", LogLevel::Error, log4cplus::ERROR_LOG_LEVEL },
    } };

    std::atomic<bool> started { false };

    std::string quoted(std::string_view value)
    {
        static constexpr char digits[] = "0123456789abcdef";
        const bool isText = isUtf8(value);
        std::string text = "\"";
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\') {
                text += '\\';
                text += c;
            } else if (c == '\n') {
                text += "\\n";
            } else if (byte < 0x20 || byte == 0x7F || (byte >= 0x80 && !isText)) {
                text += "\\x";
                text += digits[byte >> 4];
                text += digits[byte & 0xF];
            } else {
                text += c;
            }
        }
        return text + '"';
    }

    bool needsQuotes(std::string_view value)
    {
        // What could go wrong: a value with a line break forges a second event, and one with a blank or an equals sign
        // forges a further field. A reader of the log would see events that never were; so such values are quoted and
        // escaped.
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte <= 0x20 || byte == 0x7F || c == '"' || c == '=' || c == '\\')
                return true;
        }
        return value.empty() || !isUtf8(value);
    }

    std::string fieldText(std::string_view name, std::string_view value)
    {
        return " " + std::string(name) + "=" + (needsQuotes(value) ? quoted(value) : std::string(value));
    }

    /// One line of an event: time, level, the process's identity, then the event with its fields.
    class EventLayout final : public log4cplus::Layout {
    public:
        explicit EventLayout(std::string identity)
            : m_identity(std::move(identity))
        {
        }

        void formatAndAppend(log4cplus::tostream& out, const log4cplus::spi::InternalLoggingEvent& event) override
        {
            static constexpr const char* timeFormat = "%Y-%m-%dT%H:%M:%S.%qZ";
            out << log4cplus::helpers::getFormattedTime(timeFormat, event.getTimestamp(), true) << ' '
                << levelName(event.getLogLevel()) << m_identity << ' ' << event.getMessage() << '\n';
        }

    private:
        static std::string_view levelName(log4cplus::LogLevel native)
        {
            for (const LevelName& it : levels) {
                if (it.native == native)
                    return it.name;
            }
            return "info";
        }

        std::string m_identity;
    };

    std::atomic<std::uint64_t> droppedLines { 0 };

    /// Lines that may still be written in a second. Asked before a line is put together, as that costs most of it.
    class LineBudget {
    public:
        void setMost(unsigned linesPerSecond) { m_most = linesPerSecond; }

        bool take()
        {
            const TimePoint::rep second
                = std::chrono::floor<std::chrono::seconds>(steadyNow().time_since_epoch()).count();
            if (m_second.exchange(second) != second)
                m_lines = 0;
            return ++m_lines <= m_most;
        }

    private:
        std::atomic<unsigned> m_most { 0 };
        std::atomic<TimePoint::rep> m_second { 0 };
        std::atomic<unsigned> m_lines { 0 };
    };

    LineBudget lineBudget;

    /// Writes whole lines to stdout and never waits.
    ///
    /// What could go wrong: the reader of a pipe stands still, the pipe fills up, and with a plain write every thread
    /// that logs stands still with it: requests would hang though nothing is wrong with the router. A pipe that polls
    /// as writable takes PIPE_BUF bytes at once, so that a line up to that size is written whole or dropped.
    class StdoutAppender final : public log4cplus::Appender {
    public:
        ~StdoutAppender() override { destructorImpl(); }

        void close() override { closed = true; }

    private:
        static constexpr std::size_t longestLine = 4096; // PIPE_BUF

        void append(const log4cplus::spi::InternalLoggingEvent& event) override
        {
            std::string& line = formatEvent(event);
            if (line.size() > longestLine) {
                line.resize(longestLine - 1);
                line += '\n';
            }
            if (!write(line)) {
                ++droppedLines;
                return;
            }
            if (const std::uint64_t dropped = droppedLines; dropped != m_toldDropped) {
                m_toldDropped = dropped;
                write("log-lines-dropped total=" + std::to_string(dropped) + "\n");
            }
        }

        static bool write(const std::string& line)
        {
            pollfd descriptor { STDOUT_FILENO, POLLOUT, 0 };
            if (::poll(&descriptor, 1, 0) != 1 || !(descriptor.revents & POLLOUT))
                return false;
            return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        }

        std::uint64_t m_toldDropped = 0;
    };

} // namespace

std::uint64_t droppedLogLines() { return droppedLines; }

absl::Status startLogging(std::string_view program, std::string_view level, const VmId& vm, Incarnation incarnation,
    const StreamLimits& limits)
{
    const LevelName* chosen = nullptr;
    for (const LevelName& it : levels) {
        if (it.name == level)
            chosen = &it;
    }
    if (!chosen)
        return makeError(ErrorKind::BadRequest, "\"" + std::string(level) + "\" is not a log level",
            "choose debug, info, warning or error");

    // Never destroyed: threads that still log while the process ends would otherwise use a log that is gone.
    static auto* const initializer = new log4cplus::Initializer;
    static_cast<void>(initializer);

    std::string identity = fieldText("program", program);
    if (!vm.empty())
        identity += fieldText("vm", vm.value) + fieldText("incarnation", std::to_string(incarnation));
    log4cplus::SharedAppenderPtr appender(new StdoutAppender);
    appender->setLayout(std::make_unique<EventLayout>(std::move(identity)));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(chosen->native);
    lineBudget.setMost(limits.linesPerSecond);
    started = true;
    return absl::OkStatus();
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!started)
        return;
    const log4cplus::LogLevel native = levels.at(static_cast<std::size_t>(level)).native;
    static const log4cplus::Logger logger = log4cplus::Logger::getRoot();
    if (!logger.isEnabledFor(native))
        return;
    if (!lineBudget.take()) {
        ++droppedLines;
        return;
    }
    std::string line(event);
    for (const LogField& field : fields)
        line += fieldText(field.name, field.value);
    logger.log(native, line);
}

} // namespace sagechute::process
