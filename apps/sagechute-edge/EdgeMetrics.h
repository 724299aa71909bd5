#pragma once

#include <sagechute/Process.h>
#include <sagechute/Relay.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace sagechute::edge {

/// Counters and latencies of an edge router.
class EdgeMetrics {
public:
    explicit EdgeMetrics(process::Metrics&);

    void request(std::string_view route, int status, Duration lasted);
    void firstEvent(Duration sinceArrival, Duration predictionError);
    void attempt(dispatch::AttemptEnd);

    /// Counts those whose framing did not say where they end, and those cut inside an event.
    void answerEnded(const relay::AnswerEnd&);
    void targetSaid(const dispatch::TargetSignals&);
    void refusal(dispatch::RefusalReason);
    void targetEnded(quarantine::EndEvidence);
    prometheus::Gauge& quarantined() { return m_quarantined; }

    prometheus::Counter& storeCalls() { return m_storeCalls; }
    prometheus::Counter& unreadableRecords() { return m_unreadableRecords; }

    /// Shares of the engines as this router sees them.
    void shares(const dispatch::FairShareSnapshot&);

    /// @param age since when something in the store may be unknown. @param bound at which that is too long.
    void knowledgeAge(Duration age, Duration bound);

private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_answerEnds;
    prometheus::Family<prometheus::Counter>& m_signals;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_targetEnds;
    prometheus::Gauge& m_quarantined;
    prometheus::Histogram& m_duration;
    prometheus::Histogram& m_firstEvent;
    prometheus::Histogram& m_predictionError;
    prometheus::Counter& m_storeCalls;
    prometheus::Counter& m_unreadableRecords;
    prometheus::Gauge& m_knowledgeAge;
    prometheus::Histogram& m_knowledgeAgeParts;
    prometheus::Gauge& m_shareLevel;
    prometheus::Gauge& m_grantedTokens;
    prometheus::Histogram& m_sumsAge;
};

} // namespace sagechute::edge
