#pragma once

#include "CrashJournal.h"
#include "EdgeMetrics.h"

namespace sagechute::edge {

/// Runs the probes that quarantine::CrashGuard asks for, to see whether targets still listen, and reports ended targets
/// and quarantined requests and parts of prompts in the log and in metrics.
class CrashMonitor {
public:
    CrashMonitor(EdgeState& state, net::HttpClient& client, CrashJournal& journal, EdgeMetrics& metrics)
        : m_state(state)
        , m_client(client)
        , m_journal(journal)
        , m_metrics(metrics)
    {
    }

    /// Call it every few tens of milliseconds.
    void tick(TimePoint now);

private:
    void probe(const quarantine::TargetCheck&);
    void report(const quarantine::QuarantineUpdate&);
    void updateGauges();

    /// @return the target's name, or its key when it is no longer in the list of targets.
    std::string targetName(quarantine::TargetKey) const;

    /// @return the names of the targets that exited, separated by commas.
    std::string targetNames(const quarantine::CrashCase&) const;

    EdgeState& m_state;
    net::HttpClient& m_client;
    CrashJournal& m_journal;
    EdgeMetrics& m_metrics;
};

} // namespace sagechute::edge
