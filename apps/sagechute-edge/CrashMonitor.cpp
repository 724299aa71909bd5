#include "CrashMonitor.h"

#include <sagechute/Process.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    using quarantine::CheckResult;

    /// A refused connection is reported at once; a VM that does not answer is probed again.
    constexpr std::chrono::milliseconds probeTimeout { 300 };

    /// Limit on the keys in one list of a log line.
    constexpr std::size_t maxListedKeys = 8;

    /// Connects and closes the connection without sending a request.
    class ConnectProbeSink final : public net::TransferSink {
    public:
        ConnectProbeSink(EdgeState& state, quarantine::TargetCheck check)
            : m_state(state)
            , m_check(std::move(check))
        {
        }

    private:
        bool onBeforeRequest(net::ConnectionUse) override
        {
            m_isConnected = true;
            return false;
        }
        void onHeaders(int, const std::vector<net::Field>&) override { }
        bool onBody(std::string_view) override { return true; }
        void onEnd(const net::TransferResult& result) override
        {
            const CheckResult failure = result.isRefused ? CheckResult::Refused : CheckResult::NoAnswer;
            m_state.withDispatcher([&](dispatch::Dispatcher& it) {
                it.crashes().checked(steadyNow(), m_check, m_isConnected ? CheckResult::Accepted : failure);
            });
        }

        EdgeState& m_state;
        const quarantine::TargetCheck m_check;
        bool m_isConnected = false;
    };

    quarantine::SubjectKey subjectOf(quarantine::RequestKey request) { return request; }
    quarantine::SubjectKey subjectOf(const std::pair<const quarantine::PartKey, TimePoint>& part) { return part.first; }

    template <typename Subjects> std::string joinKeys(const Subjects& subjects)
    {
        std::string text;
        std::size_t n = 0;
        for (const auto& it : subjects) {
            if (n++ < maxListedKeys)
                text += (text.empty() ? "" : ",") + quarantine::toHex(subjectOf(it));
        }
        if (n > maxListedKeys)
            text += " +" + std::to_string(n - maxListedKeys);
        return text;
    }

} // namespace

void CrashMonitor::tick(TimePoint now)
{
    std::vector<quarantine::TargetCheck> checks;
    quarantine::QuarantineUpdate events;
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        checks = it.crashes().checksDue(now);
        it.crashes().parts().tick(now);
        events = it.crashes().takeUpdate();
    });
    for (const quarantine::TargetCheck& it : checks)
        probe(it);
    report(events);
    if (!events.ownRecords.empty() || !events.parts.ownRecords.empty())
        m_journal.write(events.ownRecords, events.parts.ownRecords);
    m_journal.tick(now);
}

void CrashMonitor::probe(const quarantine::TargetCheck& check)
{
    net::ClientRequest request;
    request.url = "http://" + check.address;
    request.connectTimeout = probeTimeout;
    request.freshConnection = true;
    m_client.start(std::move(request), std::make_unique<ConnectProbeSink>(m_state, check));
}

std::string CrashMonitor::targetName(quarantine::TargetKey key) const
{
    for (const dispatch::Target& it : m_state.withTargets([](const news::TargetRoster& it) { return it.targets(); })) {
        if (dispatch::keyOf(it.incarnation()) == key)
            return toString(it.incarnation());
    }
    return std::to_string(key);
}

std::string CrashMonitor::targetNames(const quarantine::CrashCase& crashes) const
{
    std::string names;
    for (const quarantine::TargetKey it : crashes.targets)
        names += (names.empty() ? "" : ",") + targetName(it);
    return names;
}

void CrashMonitor::report(const quarantine::QuarantineUpdate& events)
{
    for (const quarantine::TargetExit& it : events.targetExits) {
        m_metrics.recordTargetEnd(it.evidence);
        process::log(process::LogLevel::Warning, "target-ended",
            { { "target", targetName(it.target) }, { "evidence", std::string(toString(it.evidence)) },
                { "at-work", std::to_string(it.requests.size()) }, { "keys", joinKeys(it.requests) },
                { "parts", joinKeys(it.parts) } });
    }
    for (const quarantine::CrashCase& it : events.quarantined)
        process::log(process::LogLevel::Warning, "request-quarantined",
            { { "key", quarantine::toHex(it.subject) }, { "targets", targetNames(it) },
                { "remedy",
                    "find the customer by key= in the request log; release it under /v1/quarantine once targets can "
                    "process it" } });
    for (const quarantine::CrashCase& it : events.parts.quarantined)
        process::log(process::LogLevel::Warning, "part-quarantined",
            { { "part", quarantine::toHex(it.subject) }, { "targets", targetNames(it) },
                { "remedy",
                    "find the customers by parts= in the request log; release it under /v1/quarantine/parts once "
                    "targets can process it" } });
    for (const quarantine::RequestKey it : events.released)
        process::log(process::LogLevel::Info, "request-released", { { "key", quarantine::toHex(it) } });
    for (const quarantine::PartKey it : events.parts.released)
        process::log(process::LogLevel::Info, "part-released", { { "part", quarantine::toHex(it) } });
    const bool hasChanged = !events.quarantined.empty() || !events.released.empty() || !events.parts.quarantined.empty()
        || !events.parts.released.empty();
    if (hasChanged)
        updateGauges();
}

void CrashMonitor::updateGauges()
{
    std::vector<quarantine::CrashCase> requests;
    std::vector<quarantine::CrashCase> parts;
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        requests = it.crashes().cases();
        parts = it.crashes().parts().cases();
    });
    m_metrics.quarantinedRequests().Set(static_cast<double>(
        std::count_if(requests.begin(), requests.end(), [](const auto& it) { return it.isQuarantined(); })));
    m_metrics.quarantinedParts().Set(static_cast<double>(
        std::count_if(parts.begin(), parts.end(), [](const auto& it) { return it.isPartQuarantined(); })));
}

} // namespace sagechute::edge
