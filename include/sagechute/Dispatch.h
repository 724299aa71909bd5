#pragma once

/// @file
/// Request placement for one router: target selection, admission control and retry decisions, made without coordinating
/// with other routers at decision time. The logic uses no sockets, threads or clock; adapters decode requests, send
/// them and report how each attempt ended.

#include <sagechute/Quarantine.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sagechute::dispatch {

/// Retry semantics of a request, and whether its answer is streamed.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    Once, ///< Must not run a second time.
    Stream, ///< Answered as an event stream; runs once, but may be resumed after an event if the route allows it.
};

/// @return "idempotent", "once" or "stream".
std::string_view toString(RequestKind);

/// One of the services that a route's requests are split among.
struct ServiceShare {
    ServiceId service;
    double weight = 1; ///< Relative to the other shares of the route.
};

/// Matches requests by host and path prefix, and says how they are served.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::Once;
    Duration timeout {}; ///< Upper bound on the time from arrival to the end of the answer.
    Duration goal {}; ///< Latency objective for the answer or, for a stream, its first event.
    unsigned attempts = 1; ///< Maximum number of targets that one request may run on.
    int priority = 0; ///< 0 is the highest.
    bool isPublic = false; ///< Callers need no key.
    bool isResumable = false; ///< A broken stream may be resumed on another target after its last event.
    std::vector<ServiceShare> services;
};

/// Capacity of a model engine; identical for all targets of a service.
struct EngineProfile {
    unsigned slots = 0; ///< Maximum number of requests in one batch.
    std::uint64_t cacheTokens = 0; ///< KV cache size in tokens, shared by running requests and cached prompts.
    unsigned tokensPerEvent = 1; ///< Tokens in one event of a stream.
};

struct Service {
    ServiceId id;
    unsigned maxConnections = 0; ///< Per target, over all routers; 0: unlimited.
    std::optional<EngineProfile> engine; ///< Absent for a plain application.
    Duration coldTime {}; ///< Time that a target is cold after its start or the end of its zone's evacuation.
    double coldRate = 0; ///< Requests per second that a cold target tolerates; 0: targets are never limited.
};

/// A customer and the API keys of its callers.
struct Customer {
    CustomerId id;
    std::vector<std::string> keys;
};

/// Limits on caller connections and request bodies.
struct CallerLimits {
    std::size_t bodyBytes = 4 << 20;
    Duration idle = std::chrono::seconds(60); ///< A connection without a request is closed after this time.
};

/// One version of the operator-defined configuration.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers; ///< Empty: no request needs a key.
    CallerLimits limits;
    double tokensPerSecond = 0; ///< Configured total throughput of all engines; 0: unknown.
};

/// Identifies one incarnation of a target. A target that restarts under the same name has lost its prefix cache and
/// running requests, so caches, failures and draining state are tracked per incarnation, not per name.
struct TargetIncarnation {
    TargetId id;
    std::int64_t startedAtMs = 0; ///< Start time by the target's own clock, in Unix milliseconds; 0: unknown.

    auto operator<=>(const TargetIncarnation&) const = default;
};

/// @return "NAME", or "NAME@STARTED_AT_MS" if the start time is known.
std::string toString(const TargetIncarnation&);

/// Upper bound on the remaining cold time that a target reports; a longer one is not plausible.
inline constexpr Duration maxColdLeft = std::chrono::minutes(10);

/// A process that answers requests of one service.
struct Target {
    TargetId id; ///< Name; unchanged across restarts.
    ServiceId service;
    std::string address; ///< "ADDRESS:PORT"; may be reused by another target after this one has gone.
    ZoneId zone;
    unsigned slots = 0;
    bool draining = false;
    std::int64_t startedAtMs = 0; ///< See TargetIncarnation.
    Duration coldLeft {}; ///< Remaining cold time when the entry was decoded; never less than the true one.

    TargetIncarnation incarnation() const { return { id, startedAtMs }; }

    bool operator==(const Target&) const = default;
};

/// A configuration with lookup indexes. Immutable.
class RoutingTable {
public:
    static std::shared_ptr<const RoutingTable> make(FleetConfig);

    const FleetConfig& config() const { return m_config; }

    /// @param target request target: path and query as sent.
    /// @return the route of the host with the longest matching path prefix, or null.
    const Route* findRoute(std::string_view host, std::string_view target) const;

    /// @return the customer that owns the key, or null.
    const Customer* findCustomer(std::string_view key) const;
    const Service* findService(const ServiceId&) const;

    /// Selects a service by weight.
    /// @param point in [0, 1); its position within the sum of the weights selects the service.
    /// @return null if the route has no services.
    static const ServiceId* chooseService(const Route&, double point);

private:
    explicit RoutingTable(FleetConfig);

    FleetConfig m_config;
    std::unordered_map<std::string, std::vector<const Route*>> m_byHost; ///< Longest path prefix first.
    std::unordered_map<std::string_view, const Customer*> m_byKey;
    std::unordered_map<std::string_view, const Service*> m_services;
};

/// A part of a prompt. Requests can have leading parts in common.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Token counts and parts of a request's prompt; all zero for a request to a plain application.
struct PromptSize {
    std::uint32_t inputTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts;
};

/// Key of a prompt prefix, i.e. a leading run of parts. Engines cache by prefix: a cached part can be used only after
/// the same preceding parts.
struct PrefixKey {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0; ///< Of the last part of the prefix alone.
};

/// @return keys of all prefixes of the prompt, shortest first; the last one is the whole prompt. It is included because
/// it too occupies the engine's cache and so evicts prefixes that other requests share.
std::vector<PrefixKey> prefixesOf(const std::vector<PromptPart>&);

/// @return the parts that other requests may have in common with this one: all but the last, each once.
std::vector<quarantine::PartKey> sharedPartsOf(const PromptSize&);

/// Sliding window over which customers' shares are compared where a deployment sets no other.
inline constexpr Duration defaultShareWindow = std::chrono::seconds(4);

/// Tuning parameters of placement and admission. Each is a process setting or a constant of the engines in use.
struct DispatchSettings {
    /// Initial estimate of an engine's prefill rate, in tokens per millisecond. The engines' data sheet gives 51.1
    /// without concurrent streams and about 44 with their decoding steps.
    double prefillTokensPerMs = 44;
    /// Time to the first event with an empty queue and a fully cached prompt, from the engines' data sheet.
    Duration firstEventOverhead = std::chrono::milliseconds(55);
    /// Cost of a token to prefill relative to a token of queueing delay. Greater than 1 because prefill also delays
    /// later requests.
    double prefillWeight = 3;
    /// Bonus for a prompt's first home target (its top target by rendezvous hashing), as a multiple of the prefill time
    /// of the prompt's shared parts. With 2, nearly all prompts are cached where a router without state looks for them:
    /// in the four seconds after all routers were lost, 0.87 instead of 0.77 of all requests meet their goal, and 0.85
    /// instead of 0.64 where reports come over relays (replay, 18 engines near their limit, 4 seeds).
    double homeWeight = 2;
    /// For this time after a start amid running engines, a prompt prefix that no router has reported is assumed to be
    /// partly cached by its home targets. Zero if the engines have just started too and have empty caches.
    Duration warmStartDuration = Duration::zero();
    /// Cost of a target in another availability zone: the round trip, plus a part for each KB that crosses zones.
    Duration zonePenalty = std::chrono::milliseconds(4);
    /// With 8 ms, a fifth fewer bytes cross zones than with no penalty, and as many answers meet their goal (a heavy
    /// day of 64 routers).
    Duration zonePenaltyPerKilobyte = std::chrono::milliseconds(6);
    /// Older peer load reports are ignored; a few times the longest report interval.
    Duration peerReportTtl = std::chrono::milliseconds(1500);
    /// An unreachable target is avoided for this time; then a single request probes it.
    Duration avoidAfterFailure = std::chrono::milliseconds(800);
    /// Fraction of a stream's goal within which its first event must be predicted to arrive for it to be admitted.
    double admissionGoalFraction = 1.0;
    /// Sliding window over which customers' shares are compared. A constant of the deployment.
    Duration shareWindow = defaultShareWindow;
    /// Lower bound on the number of routers that the retry budget is divided among, because a router that is
    /// partitioned or has just started does not know of all routers that spend from it.
    unsigned leastRouters = 8;
    double retryRatio = 0.2; ///< Retries per request that all routers together may send to a service.
    double retrySlack = 50; ///< Additional retries in the window, over all routers.
    Duration retryWindow = std::chrono::seconds(10);
    VmId self; ///< Name of this router's VM. The routers divide the rates of cold targets by their names.
    /// In any one second a cold target may get Service::coldRate times this, plus coldSlack, from all routers together.
    double coldOverage = 1.5;
    double coldSlack = 5; ///< Requests.
};

/// How far a request has come, and so what its caller gets without a further attempt.
enum class Progress {
    NotRun, ///< Certainly not run on any target: a refusal.
    MayHaveRun, ///< A failure.
    Begun, ///< Part of an answer, as bytes of a stream have been sent to the caller.
};

/// A request, or the next attempt of one, that needs a placement decision.
struct PlacementRequest {
    CustomerId customer;
    ServiceId service;
    const Route* route = nullptr; ///< Only valid during the call.
    PromptSize prompt;
    std::size_t bytes = 0; ///< Size of the request as sent to the target.
    TimePoint arrived;
    TimePoint due; ///< Deadline; an answer after it is useless.
    std::set<TargetIncarnation> tried; ///< Chosen again only if there is no other target, and never for a hedge.
    quarantine::RequestKey key = 0; ///< See requestKeyOf().
    Progress progress = Progress::NotRun;
};

/// Load of a target as of when it sent an answer.
struct InstanceLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< Not 0.
    /// How long work takes on the target's VM, in per cent of the usual time; not 0. Absent: not reported.
    std::optional<std::uint32_t> pacePercent;

    /// @return whether a request has to wait for another one to end.
    bool isFull() const { return running >= slots; }

    bool operator==(const InstanceLoad&) const = default;
};

/// Target state that an answer carries in addition to its result, whichever request it answers.
struct TargetSignals {
    bool isDraining = false; ///< The target is about to leave: it finishes running requests and takes no new ones.
    std::optional<Duration> backoff; ///< The target wants no request from this router for this time.
    std::optional<Duration> coldLeft; ///< Remaining time for which the target is cold.
    std::optional<InstanceLoad> load;
    bool isRejectedAsFull = false; ///< The request was not run because all slots are in use.

    bool isCold() const { return coldLeft && *coldLeft > Duration::zero(); }
    bool any() const { return isDraining || backoff || isCold() || load; }
};

/// @return "+draining", "+backoff:MILLISECONDS", "+cold:MILLISECONDS" and "+full:RUNNING/WAITING/SLOTS", each if it is
///         set.
std::string toString(const TargetSignals&);

/// Identifies a placed attempt until it ends.
using AttemptId = std::uint64_t;

/// Limit on what a customer may be granted beside another one that gets far less.
struct GrantLimit {
    CustomerId beside; ///< The customer that gets less and whose requests are shed; empty: the limited one floods.
    double fleetTokens = 0; ///< Tokens that all routers together may grant in the share window.
    double allowance = 0; ///< Tokens that this router may grant now; negative after a request larger than that.
    bool isSpent = false; ///< The customer's requests are refused.
};

/// Inputs of an admission decision, for the log.
struct Admission {
    Duration wait {}; ///< Predicted queueing delay at the best target, behind other requests.
    Duration allowed {}; ///< Maximum queueing delay for which the request is admitted.
    double share = 0; ///< The customer's usage relative to its fair share; 0: there is enough capacity for all.
    std::optional<GrantLimit> grantLimit; ///< Absent if none holds for the customer.
    bool isSizeBoosted = false; ///< Allowed to wait longer than its share permits, as its size class is starved.
    /// Age of the oldest peer report in the aggregated usage; absent without recent reports.
    std::optional<Duration> oldestReportAge;
};

/// Decision to send the request to a target.
struct Placement {
    AttemptId attempt = 0;
    Target target;
    std::uint32_t prefillTokens = 0; ///< Prompt tokens that are not cached at the target, as far as known.
    Duration predictedFirstEventDelay {};
    Admission admission;
    std::uint32_t sharedPrefillTokens = 0; ///< Of prefillTokens, those of parts that other requests may share.
    unsigned homes = 0; ///< Number of the prompt's home targets; 0: it has no shared part.
    bool isAtHome = false; ///< The target is one of them.
};

/// Why a request is refused without having run.
enum class RefusalReason {
    NoTarget,
    Overloaded,
    OverShare,
    OverLimit, ///< See GrantLimit.
    RetryBudget,
    Backoff, ///< All targets that could take it are in a backoff pause.
    Quarantined, ///< Targets crash when they run it; see quarantine::CrashGuard.
    PartSuspected, ///< Targets may crash because of a part of its prompt; it is not sent again after a break.
    PartQuarantined, ///< Targets crash because of a part of its prompt; see quarantine::PartGuard.
    Evacuated, ///< All targets that could take it are in evacuated availability zones.
    ColdTargets, ///< All targets that could take it are cold, and this router may send them nothing now.
};

std::string_view toString(RefusalReason);

struct Refusal {
    RefusalReason reason = RefusalReason::NoTarget;
    Duration retryAfter {}; ///< After this time the same request is expected to be served.
    Admission admission;
};

using Decision = std::variant<Placement, Refusal>;

/// Whether a placement is for the first attempt of a request, a retry, or a hedge.
enum class AttemptKind {
    First,
    Hedge, ///< Beside an attempt whose target is silent and may go on; counted against the retry budget.
    RetryAfterSend, ///< A target has received the request before; counted against the retry budget.
    RetryUnsent, ///< No target has received a byte of the request yet.
};

/// How an attempt ended.
enum class AttemptEnd {
    Answered, ///< Complete answer that reports success.
    Failed, ///< The target ran the request and reports a failure.
    NotRun, ///< The target reports that it did not and will not run the request.
    WrongTarget, ///< Another target has the address; it did not run the request.
    Unreachable, ///< No byte of the request was sent.
    Withdrawn, ///< Not sent because the target has meanwhile started to drain or back off, or has gone.
    Broken, ///< The request may have run; the answer was lost or does not belong to this request.
    Silent, ///< Like Broken, after a time-out or because a hedge progressed first.
    CallerGone,
    Superseded, ///< A hedge that was cancelled because the earlier attempt went on.
};

std::string_view toString(AttemptEnd);

/// A customer's tokens in the share window, as counted by one router.
struct CustomerUsage {
    double requested = 0;
    double granted = 0;
    double shed = 0; ///< Shed before a placement decision because the router lacked CPU time; not part of requested.
};

/// Fair shares as one router sees them, from the aggregate used for its last decision.
struct FairShareSnapshot {
    double capacity = 0; ///< Tokens in the window that customers may share.
    double level = 0; ///< Max-min fair level in tokens; infinity if all demand can be served.
    std::map<CustomerId, CustomerUsage> customers; ///< Over all routers.
    std::optional<Duration> oldestReportAge; ///< See Admission.
};

/// Load that one router has placed on one target.
struct TargetLoad {
    std::uint32_t prefillTokens = 0; ///< Of requests that are still waiting for their first event.
    std::uint32_t active = 0; ///< Requests that have not ended.
    std::uint32_t reservedTokens = 0; ///< Engine memory that the active requests will occupy.
};

/// Compact identifier of a target incarnation in load reports: a 32-bit hash of its name and start time. One in 20,000
/// fleets of 660 targets has a collision; each of the two targets then counts as being as busy as both together.
using quarantine::TargetKey;
TargetKey keyOf(const TargetIncarnation&);

/// Load that a target reported to one router.
struct ReportedReading {
    InstanceLoad load;
    Duration age {}; ///< When the load report was sent.
};

/// Prompts that were recently placed on a target.
struct PlacedPrompts {
    std::map<std::uint64_t, std::uint32_t> shared; ///< Prefixes that others may share, with PrefixKey::tokens.
    std::uint64_t unsharedTokens = 0; ///< Tokens of parts unique to one request; they evict shared prefixes.

    bool operator==(const PlacedPrompts&) const = default;
};

/// Load report that a router sends to the others frequently as a datagram. It describes the current state, so that a
/// lost report is made up for by the next one.
struct LoadReport {
    std::uint64_t serial = 0;
    Duration age {}; ///< For an aggregate: age of its oldest report when the aggregate was sent.
    std::map<TargetKey, TargetLoad> targets;
    std::map<CustomerId, CustomerUsage> customers;
    std::map<TargetKey, PlacedPrompts> placed; ///< Since the report before the last; each placement is sent twice.
    std::set<quarantine::CrashRecord> crashes; ///< Of requests; see quarantine::CrashGuard::recordsToSend().
    std::set<quarantine::CrashRecord> partCrashes; ///< See quarantine::PartGuard::recordsToSend().
    std::map<TargetKey, ReportedReading> readings; ///< Newest of each application.
};

/// Adds the report of another router, or an aggregate of several.
/// @param delay time since the report was received, by which its readings are older.
void add(LoadReport& sum, const LoadReport&, Duration delay = Duration::zero());

/// Removes one router's contribution from an aggregate made by add(), except for prompts, which are reported once, and
/// readings, which are the same for all routers.
void subtract(LoadReport& sum, const LoadReport&);

/// @return the report as a compact binary record.
std::string encode(const LoadReport&);

/// @return the report, or BadRequest if the bytes are not a valid report.
absl::StatusOr<LoadReport> decodeLoadReport(std::string_view);

/// A cold target as one router sees it.
struct ColdTarget {
    TargetIncarnation target;
    Duration left {}; ///< Time until it counts as warm.
    unsigned slots = 0; ///< Slots of this router; see ColdAllowance.
    std::uint64_t sent = 0; ///< Requests that this router has placed on it while it was cold.
};

/// What to do after an attempt of a request has ended.
enum class NextStep {
    Relay, ///< Forward the target's answer to the caller.
    TryElsewhere,
    Refuse, ///< The request certainly did not run: answer 503 with a retry time.
    Fail, ///< The request may have run: answer 502.
};

/// Input of nextStep().
struct AttemptFacts {
    RequestKind kind = RequestKind::Once;
    bool isResumable = false;
    bool hasStarted = false; ///< Bytes of a stream's answer have been sent to the caller.
    unsigned runsSoFar = 0; ///< Targets on which the request ran or may have run.
    unsigned maxAttempts = 1;
    unsigned triesSoFar = 0; ///< Targets chosen, whether or not the request ran there.
    AttemptEnd end = AttemptEnd::Answered;
    bool mayHaveRunBefore = false; ///< On an earlier target.
};

/// Maximum number of targets that a request is offered to, whatever the results. Keeps an outage from causing an
/// endless retry loop.
inline constexpr unsigned maxTries = 4;

/// @return the next step; never one by which a request of kind Once could run twice.
NextStep nextStep(const AttemptFacts&);

/// Newest load reading of a target.
struct TargetReading {
    TargetIncarnation target;
    InstanceLoad load;
    Duration age {};
};

/// Places the requests of one router. Not thread-safe.
class Dispatcher {
public:
    static std::unique_ptr<Dispatcher> make(const DispatchSettings&, ZoneId ownZone, std::uint64_t seed);
    virtual ~Dispatcher() = default;

    virtual void setConfig(std::shared_ptr<const RoutingTable>) = 0;

    /// Replaces the list of targets.
    virtual void setTargets(TimePoint now, const std::vector<Target>&) = 0;

    /// Places or refuses a request or its next attempt.
    virtual Decision place(TimePoint now, const PlacementRequest&, AttemptKind) = 0;

    /// A request was shed before place() because the router lacked CPU time.
    virtual void shed(TimePoint now, const CustomerId&, const PromptSize&) = 0;

    /// The first event of a stream or the head of an answer has arrived.
    virtual void firstAnswer(TimePoint now, AttemptId) = 0;
    virtual void ended(TimePoint now, AttemptId, AttemptEnd) = 0;

    /// A target asked this router to back off. It gets no request until the pause ends.
    /// @return whether the target was not already in a pause.
    virtual bool backOff(TimePoint now, const TargetIncarnation&, Duration) = 0;

    /// A response of the target said that it is cold for this time.
    /// @return whether it counts as cold now and did not before.
    virtual bool setCold(TimePoint now, const TargetIncarnation&, Duration left) = 0;

    /// @return the known targets that are cold and whose service limits cold targets.
    virtual std::vector<ColdTarget> coldTargets(TimePoint now) const = 0;

    /// @return number of requests placed on cold targets since the start.
    virtual std::uint64_t coldPlacements() const = 0;

    /// A target reported its load. Has no effect on services whose targets don't report theirs.
    virtual void observeLoad(TimePoint now, const TargetIncarnation&, const InstanceLoad&) = 0;

    /// @return the newest reading of each target that has one.
    virtual std::vector<TargetReading> loadReadings(TimePoint now) const = 0;

    /// Replaces the set of evacuated availability zones. Their targets get no new request; requests that run there end
    /// normally.
    virtual void setEvacuatedZones(TimePoint now, const std::set<ZoneId>&) = 0;

    /// Sets the routers among which the rates of cold targets are divided. Until the first call, cold targets get no
    /// request from this router. To be repeated about once a second, as the time of the call counts.
    /// @param heard the other routers that are heard of now.
    /// @param left routers that have announced that they leave.
    virtual void setRouters(TimePoint now, const std::vector<VmId>& heard, const std::vector<VmId>& left) = 0;

    /// @return whether a request that was placed on the target may still be sent: the target accepts requests.
    virtual bool maySend(TimePoint now, const TargetIncarnation&) const = 0;

    /// @return the refusal for a request that has been offered to the maximum number of targets.
    virtual Refusal giveUp(TimePoint now, const ServiceId&) = 0;

    /// @return this router's load, for its peers. Prefixes are included in two consecutive reports, as one may be lost.
    virtual LoadReport report(TimePoint now) = 0;
    virtual void peerReported(TimePoint now, const VmId& peer, const LoadReport&) = 0;

    /// @param n number of known routers, including this one.
    virtual void setRouterCount(unsigned n) = 0;

    /// @return whether any known target accepts requests.
    virtual bool hasTargets() const = 0;

    /// @return current usage and fair shares of all customers.
    virtual FairShareSnapshot shares(TimePoint now) const = 0;

    /// @return the tracker of requests that crash targets.
    virtual quarantine::CrashGuard& crashes() = 0;
};

} // namespace sagechute::dispatch
