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
    if (const std::optional<news::StoreReturn> it = m_state.takeStoreReturn()) {
        m_metrics.storeReturns().Increment();
        process::log(process::LogLevel::Warning, "store-returned",
            { { "era", std::to_string(it->current.era) }, { "former-era", std::to_string(it->former.era) },
                { "targets-offset", std::to_string(it->current.offset) },
                { "former-targets-offset", std::to_string(it->former.offset) },
                { "targets-listed", std::to_string(it->listed) }, { "targets-kept", std::to_string(it->kept) },
                { "reason", "the store came back from a copy that may lack what it had acknowledged" } });
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
