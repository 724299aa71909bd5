#pragma once

/// @file
/// Deciding, in one router and without a word to another, where a request goes, whether it is turned away, and what
/// follows a failed attempt. Decision logic without sockets, threads or clock: the adapters around it decode requests,
/// send them and say how they ended.

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

/// What may be repeated, and how the answer comes.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    Once, ///< Must not run a second time.
    Stream, ///< Answered event by event; runs once, but may be resumed after an event where its route says so.
};

/// @return "idempotent", "once" or "stream".
std::string_view toString(RequestKind);

/// One of the services among which a route's requests are split.
struct ServiceShare {
    ServiceId service;
    double weight = 1; ///< Relative to the other shares of the route.
};

/// Which requests belong together, and how they are to be served.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::Once;
    Duration timeout {}; ///< Longest time that a caller is kept waiting for the end of its answer.
    Duration goal {}; ///< Within it the answer, or a stream's first event, is on time.
    unsigned attempts = 1; ///< Most targets that one request may run on.
    int priority = 0; ///< 0 is the highest.
    bool isPublic = false; ///< Callers need no key.
    bool isResumable = false; ///< A broken stream may go on at another target after its last event.
    std::vector<ServiceShare> services;
};

/// A model engine's measures; all targets of a service have the same.
struct EngineProfile {
    unsigned slots = 0; ///< Requests in one batch.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and kept prompts, in tokens.
    unsigned eventTokens = 1; ///< Tokens in an event of a stream.
};

struct Service {
    ServiceId id;
    unsigned maxConnections = 0; ///< That one target accepts of all routers together; 0: no bound.
    std::optional<EngineProfile> engine; ///< Absent: a plain application.
};

/// A customer and the keys by which its callers are known.
struct Customer {
    CustomerId id;
    std::vector<std::string> keys;
};

/// What callers may send.
struct CallerLimits {
    std::size_t bodyBytes = 4 << 20;
    Duration idle = std::chrono::seconds(60); ///< A connection without a request stays open for so long.
};

/// One version of everything that the operators decide.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers; ///< Empty: no request needs a key.
    CallerLimits limits;
    double tokensPerSecond = 0; ///< What all engines together produce; 0: not told.
};

/// One life of a target. A target may start again under the name that it had; it then holds and knows nothing of
/// before: what was kept in it, its failures and its leaving belong to the life, not to the name.
struct TargetLife {
    TargetId id;
    std::int64_t born = 0; ///< Its start by its own clock, in Unix milliseconds; 0: not told.

    auto operator<=>(const TargetLife&) const = default;
};

/// @return "NAME", or "NAME@BORN" where it told its start.
std::string toString(const TargetLife&);

/// A process that answers requests of one service.
struct Target {
    TargetId id; ///< Its name, the same in all its lives.
    ServiceId service;
    std::string address; ///< "ADDRESS:PORT"; may be taken again by another target after this one has gone.
    ZoneId zone;
    unsigned slots = 0;
    bool draining = false;
    std::int64_t born = 0; ///< See TargetLife.

    TargetLife life() const { return { id, born }; }

    bool operator==(const Target&) const = default;
};

/// A configuration with its lookups. Immutable.
class RoutingTable {
public:
    static std::shared_ptr<const RoutingTable> make(FleetConfig);

    const FleetConfig& config() const { return m_config; }

    /// @param target path and query as sent.
    /// @return the route of that host with the longest prefix of the path, or null.
    const Route* findRoute(std::string_view host, std::string_view target) const;

    /// @return the holder of the key, or null.
    const Customer* findCustomer(std::string_view key) const;
    const Service* findService(const ServiceId&) const;

    /// @param point in [0, 1): the place in the sum of the weights.
    /// @return the service that this request goes to, or null where the route has none.
    static const ServiceId* chooseService(const Route&, double point);

private:
    explicit RoutingTable(FleetConfig);

    FleetConfig m_config;
    std::unordered_map<std::string, std::vector<const Route*>> m_byHost; ///< The longest prefix first.
    std::unordered_map<std::string_view, const Customer*> m_byKey;
    std::unordered_map<std::string_view, const Service*> m_services;
};

/// A part of a prompt. Requests share the leading parts.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a request needs of an engine; all zero for one to a plain application.
struct PromptSize {
    std::uint32_t tokensIn = 0;
    std::uint32_t tokensOut = 0; ///< At most.
    std::vector<PromptPart> parts;
};

/// A leading run of parts, as an engine keeps it: a part is kept only for the same parts before it.
struct PrefixKey {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0; ///< Of the last part of the run alone.
};

/// @return the leading runs of a prompt, the whole one last. That one too takes an engine's memory, and so pushes out
/// what others share.
std::vector<PrefixKey> prefixesOf(const std::vector<PromptPart>&);

/// Measures of the decisions. Each is a setting of the process or a constant of the engines in use.
struct DispatchSettings {
    /// Prompt tokens that an engine reads in a millisecond before anything was learned of it: the engines' sheet says
    /// 51.1 without, and about 44 with, the steps of the streams that run beside.
    double readTokensPerMs = 44;
    /// Time to a first event with nothing ahead and all of the prompt kept: the engines' sheet.
    Duration firstEventBase = std::chrono::milliseconds(55);
    /// How much worse it is to read a token than to wait for one, as it also delays those that come after.
    double readWeight = 3;
    /// What speaks for a prompt's first home, as a multiple of the time that the prompt's shared parts take to read.
    /// With 2 nearly all prompts are where routers that know nothing yet look for them: 0.87 in place of 0.77 of all
    /// requests, and 0.85 in place of 0.64 where reports come over relays, are on time in the four seconds after all
    /// routers were lost (replay, 18 engines near their limit, 4 seeds).
    double homeWeight = 2;
    /// For so long after a start amid running engines a prompt that was not heard of yet is taken to be kept, in part,
    /// by its homes. Zero: engines have just started, too, and keep nothing.
    Duration homesTrusted = Duration::zero();
    /// Charged to a target in another availability zone: the way there and back, and a part for each KB that crosses.
    Duration zonePenalty = std::chrono::milliseconds(4);
    /// With 8 ms a fifth fewer bytes cross than with none, with as many answers on time (a heavy day of 64 routers).
    Duration zonePenaltyPerKilobyte = std::chrono::milliseconds(6);
    /// A peer's report that is older says nothing any more; a few of the longest intervals between reports.
    Duration reportKept = std::chrono::milliseconds(1500);
    /// A target that could not be reached is left alone for so long before a single request tries it again.
    Duration avoidAfterFailure = std::chrono::milliseconds(800);
    /// Part of a stream's goal within which its first event must be predicted to come, or it is refused.
    double admitShare = 1.0;
    /// Window over which customers' shares are compared; the deployments' own.
    Duration shareWindow = std::chrono::seconds(4);
    /// Routers among which the retry budget is divided at least: a router that is cut off or has just started does not
    /// see all that spend from it.
    unsigned leastRouters = 8;
    double retryRatio = 0.2; ///< Retries per request that all routers together may send to a service.
    double retrySlack = 50; ///< Retries that come on top, all routers together.
    Duration retryWindow = std::chrono::seconds(10);
};

/// A request that waits for a decision.
struct Demand {
    CustomerId customer;
    ServiceId service;
    const Route* route = nullptr; ///< Valid during the call.
    PromptSize prompt;
    std::size_t bytes = 0; ///< Of the request; they cross to the target.
    TimePoint arrived;
    TimePoint due; ///< No answer counts later.
    std::set<TargetLife> tried; ///< They are chosen only when there is no other.
    quarantine::RequestKey key = 0; ///< See requestKeyOf().
};

/// What a target says of itself with an answer, whichever request it answers.
struct TargetSignals {
    bool isDraining = false; ///< It is about to leave: no new requests, those at work go on.
    std::optional<Duration> backoff; ///< It wants no request of this router for so long.

    bool any() const { return isDraining || backoff; }
};

/// @return "+draining" and "+backoff:MILLISECONDS", each where it was said.
std::string toString(const TargetSignals&);

/// Names a placed attempt until it ended.
using AttemptId = std::uint64_t;

/// By what a request was let in or turned away.
struct Admission {
    Duration wait {}; ///< What the best target was predicted to let it wait for others.
    Duration allowed {}; ///< What it was allowed to wait.
    double share = 0; ///< Its customer's use, as a multiple of what all can have; 0: there is enough for all.
    bool isFarAbove = false; ///< Its customer was granted far more than one that is turned away.
    bool isSizeHelped = false; ///< It was allowed more than its customer's share allows, as its size is starved.
    std::optional<Duration> sumsAge; ///< Age of the oldest report in the sums over all routers; absent: there is none.
};

/// Go to this target.
struct Placement {
    AttemptId attempt = 0;
    Target target;
    std::uint32_t tokensToRead = 0; ///< Of the prompt, not kept there as far as known.
    Duration predictedFirst {}; ///< Until the first event.
    Admission admission;
};

/// Why a request is turned away without having run.
enum class RefusalReason {
    NoTarget,
    Overloaded,
    OverShare,
    RetryBudget,
    Backoff, ///< All targets that could take it asked for a pause.
    Quarantined, ///< Targets end when they run it; see quarantine::CrashGuard.
};

std::string_view toString(RefusalReason);

struct Refusal {
    RefusalReason reason = RefusalReason::NoTarget;
    Duration comeBack {}; ///< By then the same request is expected to be served.
    Admission admission;
};

using Decision = std::variant<Placement, Refusal>;

/// Why a request is placed.
enum class Round {
    First,
    AfterArrival, ///< A target has had it already; the retry budget counts that.
    AfterNothing, ///< No target has had a byte of it yet.
};

/// How an attempt ended.
enum class AttemptEnd {
    Answered, ///< With a whole answer that the target calls its result.
    Failed, ///< The target ran it and says that it failed.
    NotRun, ///< The target says that it did not and will not run it.
    WrongTarget, ///< Another target has the address; it did not run it.
    Unreachable, ///< No byte of the request left.
    Withdrawn, ///< Not sent: the target said meanwhile that it wants no more, or has gone.
    Broken, ///< It may have run; the answer is lost or no answer to this request.
    Silent, ///< As Broken, after a time limit.
    CallerGone,
};

std::string_view toString(AttemptEnd);

/// A customer's tokens over the share window, as one router counts them.
struct CustomerUse {
    double asked = 0;
    double granted = 0;
    double turnedAway = 0; ///< Before a decision, for want of the router's cores; not in asked.
};

/// Shares of the engines as one router sees them, by the sums of its last decision.
struct SharesView {
    double capacity = 0; ///< Tokens in the window that customers may share.
    double level = 0; ///< Tokens up to which all can be served alike; infinity: there is enough for all.
    std::map<CustomerId, CustomerUse> customers; ///< Of all routers.
    std::optional<Duration> sumsAge; ///< See Admission.
};

/// What one router has sent to one target.
struct TargetUse {
    std::uint32_t tokensToRead = 0; ///< Of requests whose first event has not come yet.
    std::uint32_t active = 0; ///< Requests without an end yet.
    std::uint32_t memoryTokens = 0; ///< That they will take.
};

/// A target's life in few bytes, as routers tell each other of it: a hash of its name and start. Where two of a fleet's
/// lives have the same, which of 660 happens in one fleet of 20,000, each counts as busy as both.
using quarantine::TargetKey;
TargetKey keyOf(const TargetLife&);

/// What was sent to a target of prompts lately.
struct PlacedPrompts {
    std::map<std::uint64_t, std::uint32_t> shared; ///< Leading runs that others may share, with PrefixKey::tokens.
    std::uint64_t ownTokens = 0; ///< Of the parts that belong to one request: they push out what is shared.

    bool operator==(const PlacedPrompts&) const = default;
};

/// What a router tells the others of its own part, often and by datagrams. It describes a state, so that a lost one is
/// mended by the next.
struct LoadReport {
    std::uint64_t serial = 0;
    Duration age {}; ///< Of the oldest report in a sum, when the sum was sent.
    std::map<TargetKey, TargetUse> targets;
    std::map<CustomerId, CustomerUse> customers;
    std::map<TargetKey, PlacedPrompts> placed; ///< Since the report before the last: each is told twice.
    std::set<quarantine::CrashRecord> crashes; ///< See quarantine::CrashRecordSet::tell().
};

/// Adds what another router, or a sum of several, has in flight.
void add(LoadReport& sum, const LoadReport&);

/// Takes off what add() had added of one router; prompts excepted, which are told once.
void subtract(LoadReport& sum, const LoadReport&);

/// @return the report as a compact binary record.
std::string encode(const LoadReport&);

/// @return the report, or BadRequest for bytes of another form.
absl::StatusOr<LoadReport> decodeLoadReport(std::string_view);

/// What to do after an attempt of a request.
enum class NextStep {
    Relay, ///< Pass on the target's answer.
    TryElsewhere,
    Refuse, ///< It certainly has not run: 503 and when to come back.
    Fail, ///< It may have run: 502.
};

/// The facts on which the next step depends.
struct AttemptFacts {
    RequestKind kind = RequestKind::Once;
    bool isResumable = false;
    bool hasStarted = false; ///< Bytes of a stream's answer have gone to the caller.
    unsigned runsSoFar = 0; ///< Targets on which it has, or may have, run.
    unsigned attemptsMost = 1;
    unsigned triesSoFar = 0; ///< Targets chosen, whether it ran there or not.
    AttemptEnd end = AttemptEnd::Answered;
    bool mayHaveRunBefore = false; ///< On an earlier target.
};

/// Most targets that a request is offered, whatever came of it: an outage must not become a loop.
inline constexpr unsigned mostTries = 4;

/// @return what follows; never anything by which a request of kind Once could run twice.
NextStep nextStep(const AttemptFacts&);

/// Places the requests of one router. Not thread-safe.
class Dispatcher {
public:
    static std::unique_ptr<Dispatcher> make(const DispatchSettings&, ZoneId ownZone, std::uint64_t seed);
    virtual ~Dispatcher() = default;

    virtual void setConfig(std::shared_ptr<const RoutingTable>) = 0;

    /// Replaces the list of targets.
    virtual void setTargets(TimePoint now, const std::vector<Target>&) = 0;

    /// Decides on a request, or on the next attempt of one.
    virtual Decision place(TimePoint now, const Demand&, Round) = 0;

    /// A request was turned away before it came to a decision here, for want of this router's cores.
    virtual void turnedAway(TimePoint now, const CustomerId&, const PromptSize&) = 0;

    /// The first event or the answer's head has come.
    virtual void firstAnswer(TimePoint now, AttemptId) = 0;
    virtual void ended(TimePoint now, AttemptId, AttemptEnd) = 0;

    /// A target asked this router for a pause. It gets no request before its end.
    /// @return whether it was not known to pause.
    virtual bool backOff(TimePoint now, const TargetLife&, Duration) = 0;

    /// @return whether a request that was placed there may leave now: the target takes requests still.
    virtual bool maySend(TimePoint now, const TargetLife&) const = 0;

    /// @return how a request is turned away that was offered to as many targets as it may be.
    virtual Refusal giveUp(TimePoint now, const ServiceId&) = 0;

    /// @return this router's own part, for the others. Prefixes are told in two reports, as one may be lost.
    virtual LoadReport report(TimePoint now) = 0;
    virtual void peerReported(TimePoint now, const VmId& peer, const LoadReport&) = 0;

    /// @param n routers that are known, this one included.
    virtual void setRouterCount(unsigned n) = 0;

    /// @return whether any target is known that takes requests.
    virtual bool hasTargets() const = 0;

    /// @return who has how much of the engines.
    virtual SharesView shares(TimePoint now) const = 0;

    /// @return what is known of requests that crash targets.
    virtual quarantine::CrashGuard& crashes() = 0;
};

} // namespace sagechute::dispatch
