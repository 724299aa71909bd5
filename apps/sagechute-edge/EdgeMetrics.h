#pragma once

#include <sagechute/Process.h>
#include <sagechute/Relay.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace sagechute::edge {

/// Metrics of an edge router.
class EdgeMetrics {
public:
    explicit EdgeMetrics(process::Metrics&);

    void recordRequest(std::string_view route, int status, Duration duration);
    void recordFirstEvent(Duration sinceArrival, Duration predictionError);
    void recordAttempt(dispatch::AttemptEnd);

    /// Counts responses that were delimited only by the connection's close, and streams cut inside an event.
    void recordAnswerEnd(const relay::ResponseEnd&);

    /// Counts answers of which the rest was not read. @param reason why.
    void recordRejectedAnswer(std::string_view reason);
    void recordTargetSignals(const dispatch::TargetSignals&);

    /// A target rejected a request because all its slots were in use.
    void recordRejectedAsFull(const ServiceId&);
    void recordRefusal(dispatch::RefusalReason);

    /// Counts the shared parts of a prompt that the engine has to prefill, as far as known.
    void recordSharedPrefill(const dispatch::Placement&);

    /// Counts a request that was sent to a target and whose caller got neither its whole answer nor a promise that it
    /// has not run.
    /// @param record of a flow that is done.
    void recordLostAnswer(const relay::FlowRecord&);
    void recordClosedConnection(const net::ClosedConnection&);
    void recordTargetEnd(quarantine::ExitEvidence);
    prometheus::Gauge& quarantinedRequests() { return m_quarantinedRequests; }
    prometheus::Gauge& quarantinedParts() { return m_quarantinedParts; }

    prometheus::Gauge& evacuatedZones() { return m_evacuatedZones; }
    prometheus::Gauge& coldTargets() { return m_coldTargets; }
    prometheus::Counter& coldPlacements() { return m_coldPlacements; }

    prometheus::Counter& heldSends() { return m_heldSends; }
    prometheus::Counter& storeCalls() { return m_storeCalls; }
    prometheus::Gauge& storeEra() { return m_storeEra; }
    prometheus::Counter& historyLosses() { return m_historyLosses; }
    prometheus::Counter& storeReturns() { return m_storeReturns; }
    prometheus::Counter& unreadableRecords() { return m_unreadableRecords; }

    /// Records customers' shares of the engines as this router sees them.
    void recordShares(const dispatch::FairShareSnapshot&);

    /// Records that a target takes no more requests. @param noticeAge upper bound of the age of the store's or target's
    /// notice when it came into force. @param lastSent upper bound of the time from then to the last request sent.
    void recordDeparture(std::optional<Duration> noticeAge, std::optional<Duration> lastSent);

    /// Records that this process did not run for that long.
    void recordStall(Duration length);

    /// @param age time since when changes in the store may be unknown here. @param bound the largest permitted age.
    void recordKnowledgeAge(Duration age, Duration bound);

private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_unframedAnswers;
    prometheus::Family<prometheus::Counter>& m_rejectedAnswers;
    prometheus::Family<prometheus::Counter>& m_signals;
    prometheus::Family<prometheus::Counter>& m_rejectedAsFull;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Counter& m_homePrefill;
    prometheus::Counter& m_otherPrefill;
    prometheus::Family<prometheus::Counter>& m_lostAnswers;
    prometheus::Family<prometheus::Counter>& m_closedConnections;
    prometheus::Family<prometheus::Counter>& m_targetEnds;
    prometheus::Gauge& m_quarantinedRequests;
    prometheus::Gauge& m_quarantinedParts;
    prometheus::Gauge& m_evacuatedZones;
    prometheus::Gauge& m_coldTargets;
    prometheus::Counter& m_coldPlacements;
    prometheus::Histogram& m_duration;
    prometheus::Histogram& m_firstEvent;
    prometheus::Histogram& m_predictionError;
    prometheus::Counter& m_storeCalls;
    prometheus::Gauge& m_storeEra;
    prometheus::Counter& m_historyLosses;
    prometheus::Counter& m_storeReturns;
    prometheus::Counter& m_unreadableRecords;
    prometheus::Gauge& m_knowledgeAge;
    prometheus::Histogram& m_knowledgeAgeRatio;
    prometheus::Histogram& m_departureAge;
    prometheus::Histogram& m_lastSendAfterDeparture;
    prometheus::Histogram& m_stalls;
    prometheus::Counter& m_heldSends;
    prometheus::Gauge& m_shareLevel;
    prometheus::Gauge& m_grantedTokens;
    prometheus::Histogram& m_sumsAge;
};

} // namespace sagechute::edge
