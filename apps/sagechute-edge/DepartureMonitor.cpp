#include "DepartureMonitor.h"

#include "AgeText.h"

namespace sagechute::edge {

namespace {

    std::string formatMsOr(std::optional<Duration> duration, const char* absent)
    {
        return duration ? formatMs(*duration) : absent;
    }

} // namespace

void DepartureMonitor::update()
{
    m_state.noteRunning();
    for (const EndedStall& it : m_state.takeStalls()) {
        m_metrics.recordStall(it.length);
        process::log(process::LogLevel::Warning, "stalled",
            { { "ms", formatMs(it.length) }, { "targets-age-ms", formatMsOr(it.knowledgeAge, "unknown") },
                { "reason", "this process did not run: it was stopped, suspended or got no processor time" } });
    }
    for (const HeededDeparture& it : m_state.takeDepartures()) {
        m_metrics.recordDeparture(it.noticeAge, it.lastSent);
        process::log(process::LogLevel::Info, "target-left",
            { { "target", toString(it.target) }, { "by", it.isGone ? "removal" : "draining" },
                { "notice-age-at-most-ms", formatMsOr(it.noticeAge, "unknown") },
                { "last-sent-after-at-most-ms", formatMsOr(it.lastSent, "none") } });
    }
}

} // namespace sagechute::edge
