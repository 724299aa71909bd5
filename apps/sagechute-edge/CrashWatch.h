#pragma once

#include "CrashJournal.h"
#include "EdgeMetrics.h"

namespace sagechute::edge {

/// Carries out what quarantine::CrashGuard asks for: tries whether targets still listen, and tells operators which
/// have ended and which requests are quarantined.
class CrashWatch {
public:
    CrashWatch(EdgeState& state, net::HttpClient& client, CrashJournal& journal, EdgeMetrics& metrics)
        : m_state(state)
        , m_client(client)
        , m_journal(journal)
        , m_metrics(metrics)
    {
    }

    /// To be called every some ten ms.
    void tick(TimePoint now);

private:
    void check(const quarantine::TargetCheck&);
    void tell(const quarantine::QuarantineUpdate&);

    /// @return its name, or the key where the list of targets has it no longer.
    std::string nameOf(quarantine::TargetKey) const;

    EdgeState& m_state;
    net::HttpClient& m_client;
    CrashJournal& m_journal;
    EdgeMetrics& m_metrics;
};

} // namespace sagechute::edge
