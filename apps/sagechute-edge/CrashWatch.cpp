#include "CrashWatch.h"

#include <sagechute/Process.h>

#include <algorithm>

namespace sagechute::edge {

namespace {

    using quarantine::CheckResult;

    /// A refusal comes at once; a VM that says nothing is asked again.
    constexpr std::chrono::milliseconds checkTimeout { 300 };

    /// In one line.
    constexpr std::size_t mostNamed = 8;

    /// Connects, and closes without a request.
    class ConnectSink final : public net::TransferSink {
    public:
        ConnectSink(EdgeState& state, quarantine::TargetCheck check)
            : m_state(state)
            , m_check(std::move(check))
        {
        }

    private:
        bool onBeforeRequest() override
        {
            m_isAccepted = true;
            return false;
        }
        void onHeaders(int, const std::vector<net::Field>&) override { }
        bool onBody(std::string_view) override { return true; }
        void onEnd(const net::TransferResult& result) override
        {
            const CheckResult unaccepted = result.isRefused ? CheckResult::Refused : CheckResult::NoAnswer;
            m_state.withDispatcher([&](dispatch::Dispatcher& it) {
                it.crashes().checked(steadyNow(), m_check, m_isAccepted ? CheckResult::Accepted : unaccepted);
            });
        }

        EdgeState& m_state;
        const quarantine::TargetCheck m_check;
        bool m_isAccepted = false;
    };

    std::string join(const std::set<quarantine::RequestKey>& requests)
    {
        std::string text;
        std::size_t n = 0;
        for (const quarantine::RequestKey it : requests) {
            if (n++ < mostNamed)
                text += (text.empty() ? "" : ",") + quarantine::toHex(it);
        }
        if (n > mostNamed)
            text += " +" + std::to_string(n - mostNamed);
        return text;
    }

} // namespace

void CrashWatch::tick(TimePoint now)
{
    std::vector<quarantine::TargetCheck> checks;
    quarantine::CrashNews news;
    m_state.withDispatcher([&](dispatch::Dispatcher& it) {
        checks = it.crashes().checksDue(now);
        news = it.crashes().takeNews();
    });
    for (const quarantine::TargetCheck& it : checks)
        check(it);
    tell(news);
    if (!news.own.empty())
        m_journal.write(news.own);
}

void CrashWatch::check(const quarantine::TargetCheck& check)
{
    net::ClientRequest request;
    request.url = "http://" + check.address;
    request.connectTimeout = checkTimeout;
    request.freshConnection = true;
    m_client.start(std::move(request), std::make_unique<ConnectSink>(m_state, check));
}

std::string CrashWatch::nameOf(quarantine::TargetKey key) const
{
    for (const dispatch::Target& it : m_state.withTargets([](const news::TargetRoster& it) { return it.targets(); })) {
        if (dispatch::keyOf(it.incarnation()) == key)
            return toString(it.incarnation());
    }
    return std::to_string(key);
}

void CrashWatch::tell(const quarantine::CrashNews& news)
{
    for (const quarantine::TargetEnd& it : news.ends) {
        m_metrics.targetEnded(it.evidence);
        process::log(process::LogLevel::Warning, "target-ended",
            { { "target", nameOf(it.target) }, { "evidence", std::string(toString(it.evidence)) },
                { "at-work", std::to_string(it.requests.size()) }, { "keys", join(it.requests) } });
    }
    for (const quarantine::CrashCase& it : news.quarantined) {
        std::string targets;
        for (const quarantine::TargetKey target : it.targets)
            targets += (targets.empty() ? "" : ",") + nameOf(target);
        process::log(process::LogLevel::Warning, "request-quarantined",
            { { "key", quarantine::toHex(it.request) }, { "targets", targets },
                { "remedy",
                    "find its customer by key=, and release it under /v1/quarantine once the targets bear it" } });
    }
    for (const quarantine::RequestKey it : news.released)
        process::log(process::LogLevel::Info, "request-released", { { "key", quarantine::toHex(it) } });
    if (news.quarantined.empty() && news.released.empty())
        return;
    const auto cases = m_state.withDispatcher([](dispatch::Dispatcher& it) { return it.crashes().cases(); });
    m_metrics.quarantined().Set(static_cast<double>(
        std::count_if(cases.begin(), cases.end(), [](const auto& it) { return it.isQuarantined(); })));
}

} // namespace sagechute::edge
