#include "EdgeMetrics.h"

#include <cmath>

namespace sagechute::edge {

namespace {

    using prometheus::Histogram;

    /// In seconds; from a plain application's response time to the longest stream.
    const Histogram::BucketBoundaries latencyBuckets { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5, 10,
        20 };

    /// As a ratio of the bound. Above 0.5 a router reads the store itself; above 0.55 it also asks any other router.
    const Histogram::BucketBoundaries ageRatioBuckets { 0.25, 0.4, 0.5, 0.55, 0.7, 0.85, 1, 1.25, 1.5, 2, 4 };

    /// In seconds; sums are sent several times a second and are discarded after 2 s.
    const Histogram::BucketBoundaries sumsAgeBuckets { 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5 };

    /// In seconds; from a read that is answered at once to twice the longest bound of a deployment.
    const Histogram::BucketBoundaries departureBuckets { 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 8 };

    Histogram& histogram(prometheus::Registry& registry, const char* name, const char* help,
        const Histogram::BucketBoundaries& bounds = latencyBuckets)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
    }

    prometheus::Family<prometheus::Counter>& sharedPrefillCounter(prometheus::Registry& registry)
    {
        return prometheus::BuildCounter()
            .Name("sagechute_edge_shared_prefill_tokens_total")
            .Help("Tokens of shared prompt parts that engines had to prefill, at homes of the prompt and elsewhere")
            .Register(registry);
    }

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

EdgeMetrics::EdgeMetrics(process::Metrics& metrics)
    : m_requests(prometheus::BuildCounter()
                     .Name("sagechute_edge_requests_total")
                     .Help("Requests that ended, by route and status")
                     .Register(metrics.registry()))
    , m_attempts(prometheus::BuildCounter()
                     .Name("sagechute_edge_attempts_total")
                     .Help("Attempts on targets, by how they ended")
                     .Register(metrics.registry()))
    , m_unframedAnswers(
          prometheus::BuildCounter()
              .Name("sagechute_edge_unframed_answers_total")
              .Help("Answers of targets that ended with their connection, and streams cut inside an event")
              .Register(metrics.registry()))
    , m_rejectedAnswers(prometheus::BuildCounter()
                            .Name("sagechute_edge_rejected_answers_total")
                            .Help("Answers of targets of which the rest was not read, by what was wrong with them")
                            .Register(metrics.registry()))
    , m_signals(prometheus::BuildCounter()
                    .Name("sagechute_edge_target_signals_total")
                    .Help("Answers of targets that say that they leave, are cold or ask for a pause, by which they say")
                    .Register(metrics.registry()))
    , m_rejectedAsFull(prometheus::BuildCounter()
                           .Name("sagechute_edge_rejected_as_full_total")
                           .Help("Requests that targets rejected because all their slots were in use, by service")
                           .Register(metrics.registry()))
    , m_refusals(prometheus::BuildCounter()
                     .Name("sagechute_edge_refusals_total")
                     .Help("Requests turned away without having run, by reason")
                     .Register(metrics.registry()))
    , m_homePrefill(sharedPrefillCounter(metrics.registry()).Add({ { "engine", "home" } }))
    , m_otherPrefill(sharedPrefillCounter(metrics.registry()).Add({ { "engine", "other" } }))
    , m_lostAnswers(
          prometheus::BuildCounter()
              .Name("sagechute_edge_lost_answers_total")
              .Help("Requests sent to a target without a whole answer for their caller, by how the last attempt "
                    "ended and why no other was made")
              .Register(metrics.registry()))
    , m_closedConnections(prometheus::BuildCounter()
                              .Name("sagechute_edge_closed_connections_total")
                              .Help("Closed connections of callers, by reason, whether a request that was read had no "
                                    "whole answer, and whether bytes were left unread")
                              .Register(metrics.registry()))
    , m_targetEnds(prometheus::BuildCounter()
                       .Name("sagechute_edge_target_ends_total")
                       .Help("Targets that ended with requests of this router at work, by what showed it")
                       .Register(metrics.registry()))
    , m_quarantinedRequests(prometheus::BuildGauge()
                                .Name("sagechute_edge_quarantined_requests")
                                .Help("Requests that are run no more, as targets end when they run them")
                                .Register(metrics.registry())
                                .Add({}))
    , m_quarantinedParts(prometheus::BuildGauge()
                             .Name("sagechute_edge_quarantined_parts")
                             .Help("Parts of prompts that are run no more, as targets end when they run them")
                             .Register(metrics.registry())
                             .Add({}))
    , m_evacuatedZones(prometheus::BuildGauge()
                           .Name("sagechute_evacuated_zones")
                           .Help("Availability zones that the operator has evacuated, as far as known here")
                           .Register(metrics.registry())
                           .Add({}))
    , m_coldTargets(prometheus::BuildGauge()
                        .Name("sagechute_edge_cold_targets")
                        .Help("Targets that are cold, of services that limit the requests to these")
                        .Register(metrics.registry())
                        .Add({}))
    , m_coldPlacements(prometheus::BuildCounter()
                           .Name("sagechute_edge_cold_placements_total")
                           .Help("Requests that this router placed on cold targets")
                           .Register(metrics.registry())
                           .Add({}))
    , m_duration(histogram(metrics.registry(), "sagechute_edge_request_seconds", "From arrival to the answer's end"))
    , m_firstEvent(
          histogram(metrics.registry(), "sagechute_edge_first_event_seconds", "From arrival to a stream's first event"))
    , m_predictionError(histogram(metrics.registry(), "sagechute_edge_prediction_error_seconds",
          "Absolute difference of the predicted and the seen time to a first event"))
    , m_storeCalls(prometheus::BuildCounter()
                       .Name("sagechute_edge_store_calls_total")
                       .Help("Calls to the platform's store, refused ones included")
                       .Register(metrics.registry())
                       .Add({}))
    , m_storeEra(
          prometheus::BuildGauge()
              .Name("sagechute_edge_store_era")
              .Help("Newest era that an answer of the platform's store reported; it rises when the store returns "
                    "from a copy; 0: none was reported")
              .Register(metrics.registry())
              .Add({}))
    , m_historyLosses(prometheus::BuildCounter()
                          .Name("sagechute_edge_store_history_losses_total")
                          .Help("Reads that found the requested records missing from the platform's store")
                          .Register(metrics.registry())
                          .Add({}))
    , m_storeReturns(prometheus::BuildCounter()
                         .Name("sagechute_edge_store_returns_total")
                         .Help("Returns of the platform's store from a copy that this router met")
                         .Register(metrics.registry())
                         .Add({}))
    , m_unreadableRecords(prometheus::BuildCounter()
                              .Name("sagechute_edge_unreadable_records_total")
                              .Help("Entries of targets and configurations in the store that can't be used")
                              .Register(metrics.registry())
                              .Add({}))
    , m_knowledgeAge(prometheus::BuildGauge()
                         .Name("sagechute_edge_knowledge_age_seconds")
                         .Help("Since when a change of the configuration or of targets in the store may be unknown")
                         .Register(metrics.registry())
                         .Add({}))
    , m_knowledgeAgeRatio(histogram(metrics.registry(), "sagechute_edge_knowledge_age_of_bound",
          "The same as a part of the bound, looked at some times a second: how near it came between two scrapes",
          ageRatioBuckets))
    , m_departureAge(histogram(metrics.registry(), "sagechute_edge_departure_age_seconds",
          "Longest possible age of the notice that a target leaves or has gone, when it came into force",
          departureBuckets))
    , m_lastSendAfterDeparture(histogram(metrics.registry(), "sagechute_edge_last_send_after_departure_seconds",
          "Longest possible time from that notice to the last request sent to the target; 0: none after it",
          departureBuckets))
    , m_stalls(histogram(metrics.registry(), "sagechute_edge_stall_seconds",
          "Times in which this process did not run: it was stopped, suspended or got no processor time"))
    , m_heldSends(prometheus::BuildCounter()
                      .Name("sagechute_edge_held_sends_total")
                      .Help("Requests that waited after a stall until the list of targets was new enough")
                      .Register(metrics.registry())
                      .Add({}))
    , m_shareLevel(prometheus::BuildGauge()
                       .Name("sagechute_edge_share_level_tokens")
                       .Help("Tokens in the window up to which all customers can be served alike; +Inf: enough for all")
                       .Register(metrics.registry())
                       .Add({}))
    , m_grantedTokens(prometheus::BuildGauge()
                          .Name("sagechute_edge_granted_tokens")
                          .Help("Tokens granted to all customers in the window, by the sums over all routers")
                          .Register(metrics.registry())
                          .Add({}))
    , m_sumsAge(histogram(metrics.registry(), "sagechute_edge_share_sums_age_seconds",
          "Age of the oldest report in the sums over all routers, looked at once a second", sumsAgeBuckets))
{
}

void EdgeMetrics::recordKnowledgeAge(Duration age, Duration bound)
{
    m_knowledgeAge.Set(seconds(age));
    m_knowledgeAgeRatio.Observe(seconds(age) / seconds(bound));
}

void EdgeMetrics::recordDeparture(std::optional<Duration> noticeAge, std::optional<Duration> lastSent)
{
    if (!noticeAge)
        return;
    m_departureAge.Observe(seconds(*noticeAge));
    m_lastSendAfterDeparture.Observe(seconds(lastSent.value_or(Duration::zero())));
}

void EdgeMetrics::recordStall(Duration length) { m_stalls.Observe(seconds(length)); }

void EdgeMetrics::recordShares(const dispatch::FairShareSnapshot& view)
{
    double granted = 0;
    for (const auto& [id, use] : view.customers)
        granted += use.granted;
    m_shareLevel.Set(view.level);
    m_grantedTokens.Set(granted);
    if (view.oldestReportAge)
        m_sumsAge.Observe(seconds(*view.oldestReportAge));
}

void EdgeMetrics::recordTargetEnd(quarantine::ExitEvidence evidence)
{
    m_targetEnds.Add({ { "evidence", std::string(toString(evidence)) } }).Increment();
}

void EdgeMetrics::recordRequest(std::string_view route, int status, Duration duration)
{
    m_requests.Add({ { "route", std::string(route) }, { "status", std::to_string(status) } }).Increment();
    m_duration.Observe(seconds(duration));
}

void EdgeMetrics::recordFirstEvent(Duration sinceArrival, Duration predictionError)
{
    m_firstEvent.Observe(seconds(sinceArrival));
    m_predictionError.Observe(std::abs(seconds(predictionError)));
}

void EdgeMetrics::recordAttempt(dispatch::AttemptEnd end)
{
    m_attempts.Add({ { "end", std::string(toString(end)) } }).Increment();
}

void EdgeMetrics::recordAnswerEnd(const relay::ResponseEnd& end)
{
    const bool isClosed = end.transfer == net::TransferEnd::Closed;
    if (isClosed || end.truncatedBytes)
        m_unframedAnswers
            .Add({ { "framing", isClosed ? "connection" : "announced" }, { "cut", end.truncatedBytes ? "yes" : "no" } })
            .Increment();
    if (!end.rejectReason.empty())
        recordRejectedAnswer(end.rejectReason);
}

void EdgeMetrics::recordRejectedAnswer(std::string_view reason)
{
    m_rejectedAnswers.Add({ { "reason", std::string(reason) } }).Increment();
}

void EdgeMetrics::recordTargetSignals(const dispatch::TargetSignals& signals)
{
    if (signals.isDraining)
        m_signals.Add({ { "signal", "draining" } }).Increment();
    if (signals.backoff)
        m_signals.Add({ { "signal", "backoff" } }).Increment();
    if (signals.isCold())
        m_signals.Add({ { "signal", "cold" } }).Increment();
}

void EdgeMetrics::recordSharedPrefill(const dispatch::Placement& placement)
{
    (placement.isAtHome ? m_homePrefill : m_otherPrefill).Increment(placement.sharedPrefillTokens);
}

void EdgeMetrics::recordRejectedAsFull(const ServiceId& service)
{
    m_rejectedAsFull.Add({ { "service", service.value } }).Increment();
}

void EdgeMetrics::recordLostAnswer(const relay::FlowRecord& record)
{
    m_lostAnswers
        .Add({ { "end", std::string(toString(record.lastEnd)) },
            { "refused", record.isRefused ? std::string(toString(record.refusal.reason)) : "no" },
            { "begun", record.isCut ? "yes" : "no" } })
        .Increment();
}

void EdgeMetrics::recordClosedConnection(const net::ClosedConnection& closed)
{
    m_closedConnections
        .Add({ { "reason", std::string(toString(closed.reason)) }, { "unanswered", closed.unanswered ? "yes" : "no" },
            { "unread", closed.hasUnreadBytes ? "yes" : "no" } })
        .Increment();
}

void EdgeMetrics::recordRefusal(dispatch::RefusalReason reason)
{
    m_refusals.Add({ { "reason", std::string(toString(reason)) } }).Increment();
}

} // namespace sagechute::edge
