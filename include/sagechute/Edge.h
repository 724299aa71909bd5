#pragma once

/// @file
/// What an edge router is made of besides its dispatcher: the ports to callers, targets and the users' platform, and
/// who else is in the fleet. The ports are implemented by platform/; nothing else knows its names.

#include <sagechute/Membership.h>
#include <sagechute/Net.h>
#include <sagechute/News.h>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <deque>
#include <mutex>

namespace sagechute::edge {

// ---- Ports

/// What a caller's request says, before a route is chosen.
struct CallerFacts {
    std::string id; ///< The caller's own identity of this attempt; empty when it sent none.
    std::string host;
    std::string key;
    std::optional<Duration> deadline; ///< How long the caller will wait.
    dispatch::PromptSize prompt;
};

/// How callers speak to a router.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual absl::StatusOr<CallerFacts> decode(const net::ServerRequest&) const = 0;

    /// @return an answer of the router's own. @param comeBack when to send the request again; absent: no such promise.
    virtual net::ServerResponse refusal(
        int status, std::string_view reason, std::optional<Duration> comeBack) const = 0;
};

/// What the head of a target's answer says.
struct TargetAnswerHead {
    int status = 0;
    std::optional<std::string> requestId; ///< Of the request that it answers, as the target echoes it.
    bool hasNotRun = false; ///< The target did not and will not run the request.
    bool isOtherTarget = false; ///< Another target has the address.
    bool isSigned = false; ///< It bears the target's signature: a result, not an error on the way.
    std::vector<net::Field> relayed; ///< What concerns the caller.
    dispatch::TargetSignals signals; ///< Of the target that the request was meant for; none where it is another.
    bool isEventStream = true; ///< Unless it says that its body is of another type.
};

/// A request as it goes to a target.
struct TargetSend {
    const net::ServerRequest* request = nullptr;
    const dispatch::Target* target = nullptr;
    CustomerId customer; ///< Empty on a public route.
    Duration left {}; ///< Until nobody waits for the answer any more.
    std::string resumeAfter; ///< Identity of the last event that the caller has; empty: from the beginning.
};

/// How a router speaks to targets.
class TargetProtocol {
public:
    virtual ~TargetProtocol() = default;
    virtual net::ClientRequest encode(const TargetSend&) const = 0;
    virtual TargetAnswerHead decodeHead(int status, const std::vector<net::Field>&) const = 0;
};

/// How callers and the platform ask a router about the fleet.
class EntryProtocol {
public:
    virtual ~EntryProtocol() = default;

    /// @return whether the request asks which addresses to use, and the caller's availability zone.
    virtual std::optional<ZoneId> decodeLocate(const net::ServerRequest&) const = 0;
    virtual net::ServerResponse locateAnswer(
        const std::vector<std::string>& addresses, std::chrono::seconds kept) const = 0;
    virtual bool isReadinessCheck(const net::ServerRequest&) const = 0;
};

// ---- Streams

/// Splits the bytes of an event stream into whole events. Lines may end with CR LF, LF or CR, as the HTML standard's
/// section on server-sent events has it.
///
/// A target may break off in the middle of an event. What is passed on always ends at the end of one, so that an answer
/// that goes on at another target never has half an event in it.
class EventSplitter {
public:
    /// @param after identity of the last event that the caller has; empty: none.
    explicit EventSplitter(std::string after)
        : m_lastId(std::move(after))
    {
    }

    /// @return all whole events that are now complete and were not returned before.
    std::string feed(std::string_view bytes);

    /// @return what has come behind the last whole event: part of one, or comments.
    const std::string& rest() const { return m_pending; }

    /// @return whether the rest is a part of an event.
    bool isInsideEvent() const;

    /// @return identity of the last whole event, or what the constructor was given.
    const std::string& lastId() const { return m_lastId; }

    /// @return whether that names the last event with data, and all events before it have come; a stream that is taken
    ///         up behind another one would repeat or leave out some.
    bool knowsLastEvent() const { return m_knowsLastEvent; }

    /// @return whether an event came again or before an earlier one, or is larger than any may be; it and all after it
    ///         are held back.
    bool isDisordered() const { return m_isDisordered; }

    std::uint64_t events() const { return m_events; }

private:
    /// What is known of the event that the rest is part of.
    struct Partial {
        bool hasField = false;
        bool hasData = false;
        std::optional<std::string> id;
    };

    /// @return whether bytes begin with the second half of a line end whose first one came before.
    bool completesLineEnd(std::string_view bytes) const { return m_hasCrLast && bytes.starts_with('\n'); }

    /// Takes the line that ends before @p end. @return whether an event is whole with it.
    bool takeLine(std::size_t end);
    void takeField(std::string_view line);
    void takeEvent();

    std::string m_pending;
    std::size_t m_lineBegin = 0; ///< Of the line without an end yet, in m_pending.
    std::size_t m_searched = 0; ///< No line end is in m_pending from m_lineBegin up to here.
    bool m_hasCrLast = false; ///< The last byte that came is a CR; an LF belongs to it.
    bool m_isFirstLine = true;
    Partial m_partial;
    std::string m_lastId;
    bool m_knowsLastEvent = true;
    std::uint64_t m_events = 0;
    bool m_isDisordered = false;
};

// ---- Who else is in the fleet

/// Whose load a heartbeat tells.
enum class HeartbeatScope : std::uint8_t {
    Router, ///< The sender's own.
    Zone, ///< The sum over the sender's availability zone.
    All, ///< The sum over all routers, the receiver's part told by Heartbeat::includedSerial.
};

/// What a router says about itself.
struct RouterFacts {
    VmId vm;
    Incarnation incarnation = 0;
    std::string callerAddress;
    std::string controlAddress;
    ZoneId zone;
    bool isReady = false;
    news::ToldKnowledge knowledge; ///< Of what the store says, and how new that is.
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
    std::uint32_t usePercent = 0; ///< See RouterUse.
    HeartbeatScope scope = HeartbeatScope::Router;
};

/// How much of its cores a router would need for the requests that come to it.
struct RouterUse {
    VmId vm;
    ZoneId zone;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
    std::uint32_t percent = 0; ///< Above 100: more comes than it can take.
};

/// How much of their cores routers need, as far as those that tell callers where to go must know it.
struct FleetUse {
    std::map<ZoneId, std::uint32_t> zones; ///< Mean over an availability zone's cores, in per cent.
    std::map<VmId, std::uint32_t> crowded; ///< Only routers above crowdedPercent.

    bool operator==(const FleetUse&) const = default;
};

/// From this use of its cores on a router sends callers away: above it the scheduler's pauses add up.
inline constexpr std::uint32_t crowdedPercent = 40;

/// @return the use of these routers, by availability zone.
FleetUse sumUse(const std::vector<RouterUse>&);

/// Adds the zones that another relay tells of.
void add(FleetUse& sum, const FleetUse&);

/// Sent with each load report.
struct Heartbeat : RouterFacts {
    TimePoint sentAt; ///< By the sender's clock, see unsuspendedNow(); tells a heartbeat that waited on its way.
    FleetUse use; ///< From a relay only: of its zone, or of all to the routers of its zone.
    std::string load; ///< An encoded dispatch::LoadReport.

    /// Where the load is a sum: the serial of the receiver's report that is in it, so that it can take that off; 0:
    /// none is.
    std::uint64_t includedSerial = 0;
};

/// @return what a router knows, as a list for a CBOR document. Ages are told in milliseconds.
nlohmann::json encodeKnowledge(const news::ToldKnowledge&);

/// @return what encodeKnowledge() made a list of. Throws nlohmann::json::exception for anything else.
news::ToldKnowledge decodeKnowledge(const nlohmann::json&);

/// @return the heartbeat but for includedSerial, which differs from receiver to receiver, as a compact binary record. A
///         relay makes it once for all routers of its zone.
std::string encodeShared(const Heartbeat&);

/// @return the datagram for one receiver.
std::string addressed(std::uint64_t includedSerial, std::string_view shared);

/// @return the heartbeat as a datagram.
std::string encode(const Heartbeat&);
absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view);

/// Where a router can be asked for what it knows.
struct RouterContact {
    VmId vm;
    std::string controlAddress;
};

/// A router that was heard of lately.
struct Peer : RouterFacts {
    FleetUse use; ///< See Heartbeat.
    TimePoint heardAt;
};

/// The other routers by their heartbeats, which come more often than gossip's probes.
class PeerBoard {
public:
    void heard(TimePoint now, const Heartbeat&);

    /// @return the peers heard of within @p kept.
    std::vector<Peer> alive(TimePoint now, Duration kept) const;

    /// @return the peer, if it was heard of within heartbeatKept.
    std::optional<Peer> find(TimePoint now, const VmId&) const;

private:
    std::map<VmId, Peer> m_peers;
};

/// A router that gossip knows to be alive.
struct RouterAddress {
    VmId vm;
    ZoneId zone;
    std::string gossipAddress;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
};

/// Who sends load reports to whom.
///
/// In a small fleet each router sends its own to all others: nothing stands between them. The messages of a router
/// would grow with the fleet, though; 80 routers that tell each other sixteen times a second need more processor time
/// for that than for their requests. In a large fleet the routers of an availability zone therefore send theirs to one
/// of them, the zone's relay: one with the most cores, as it reads and writes a report for each router. Relays exchange
/// sums of their zones and pass on to each router the sum of all others'. A router then sends and receives one report
/// an interval, whatever the size; a relay one per router of its zone and one per zone.
struct ReportPlan {
    bool isDirect = true;
    bool isRelay = false;
    std::optional<RouterAddress> relay; ///< Of the own zone; absent in a small fleet and for a relay.
    std::vector<RouterAddress> others; ///< All in a small fleet; for a relay the others of its zone; else empty.
    std::vector<RouterAddress> relays; ///< Of the other zones; for a relay only.
};

/// The largest fleet in which each router reports to all others.
inline constexpr std::size_t mostDirectRouters = 12;

/// @param alive all routers, the local one among them. Two routers with the same view make plans that fit together;
/// while
///        views differ some reports are lost, and are too old soon after.
ReportPlan planReports(const std::vector<RouterAddress>& alive, const VmId& self);

/// What a zone's relay has been told, and the sums that it passes on.
///
/// One sum is made for all routers of the zone, and encoded once; each takes its own part off. A sum for each would be
/// work that grows with the square of the zone: at 50 routers a relay spent 9 s of processor time in a minute on it.
class RelayDesk {
public:
    void memberReported(TimePoint now, const VmId&, dispatch::LoadReport);
    void zoneReported(TimePoint now, const ZoneId&, dispatch::LoadReport);

    /// @return the sum of this zone's routers, for the other relays.
    dispatch::LoadReport zoneSum(TimePoint now) const;

    /// @param own what zoneSum() returned.
    /// @return the sum of all routers.
    dispatch::LoadReport sum(TimePoint now, dispatch::LoadReport own) const;

    /// @return serial of the member's report that the sums contain; 0: none.
    std::uint64_t includedSerial(TimePoint now, const VmId& member) const;

    /// Prefixes are told once; this forgets those that have been passed on.
    void passedOn();

    /// @return names of the routers and availability zones whose last report is too old to be in the sums.
    std::set<std::string> late(TimePoint now) const;

private:
    struct Part {
        dispatch::LoadReport report;
        TimePoint at;
    };

    static void addPart(TimePoint now, dispatch::LoadReport& sum, const Part&);

    std::map<VmId, Part> m_members;
    std::map<ZoneId, Part> m_zones;
};

/// What this router has reported lately, to be taken off a sum that contains one of these reports.
class OwnReports {
public:
    void sent(const dispatch::LoadReport&);

    /// @return whether the sum is now that of the others; false: it has a report that is no longer remembered.
    bool takeOff(dispatch::LoadReport& sum, std::uint64_t includedSerial) const;

private:
    std::deque<dispatch::LoadReport> m_reports; ///< The oldest first.
};

/// A router whose heartbeats stay away for so long is left out of answers to callers. Heartbeats come at most every
/// quarter of it, so that one lost datagram says nothing.
inline constexpr Duration heartbeatKept = std::chrono::milliseconds(900);

/// One address that a caller may use.
struct EntryPoint {
    std::string callerAddress;
    ZoneId zone;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
    std::uint32_t usePercent = 0; ///< See RouterUse; of its zone's mean where its own is not told.
};

/// Which addresses a caller is told.
///
/// Callers choose one of the addresses at random for each connection, whatever the routers' cores: a router of 0.12
/// cores would get as many as one of 0.5 and lag behind while that one is idle. A router is therefore told to a part of
/// the callers only, in proportion to its cores; the same to a caller each time, as it closes its connections to
/// addresses that it isn't told any more.
///
/// Ready routers of the caller's availability zone are told if there are two or more, as bytes between zones are dear,
/// else those of all. While that zone has more to do than its cores carry, as when a customer that floods sends all
/// from there, routers of the other zones are told to as large a part of its callers as brings its use down. A router
/// with far more to do than the others is left out: a caller that uses few connections would drown it.
/// @param callerKey what tells callers apart, such as the address that one asks from.
std::vector<std::string> chooseEntryPoints(
    const std::vector<EntryPoint>& ready, const ZoneId& callerZone, std::string_view callerKey);

// ---- A router with too much to do

/// What a router has done since its start.
struct RouterWork {
    Duration busy {}; ///< In which nothing more could have been done; see net::EventLoop::busyTime().
    std::uint64_t taken = 0; ///< Requests that were placed or refused by what targets can do.
    std::uint64_t refused = 0; ///< Requests that were refused for want of its own cores.
    std::uint64_t pieces = 0; ///< Of streams that were passed on.
};

/// How a router learns what it can carry.
struct CrowdSettings {
    /// Of the time that the loop is at work. What is left is for heartbeats, look-ups and what comes in bursts.
    double targetShare = 0.75;

    /// What was seen counts for about so long. Long against bursts, short against a machine that slows down.
    Duration memory = std::chrono::milliseconds(300);

    /// False: the first guess is kept for good; for tests that show what learning prevents.
    bool learns = true;
};

/// Decides how many requests this router takes, by what its own work has cost it lately.
///
/// Load pattern: a customer's callers keep using the connections that they have, and all of its requests come to one
/// router of a fraction of a core. What that router takes beyond its cores makes all that it holds late, and ends at
/// the callers' deadlines; what it refuses though it could have carried it is lost while its neighbours' targets idle.
/// What a request costs depends on the machine, on whether its core is shared evenly or by quota, on the streams'
/// lengths, and changes when the machine slows down; so it is measured, as time at work over work done.
class CrowdMeter {
public:
    /// @param cores that the process may use: for the first guess only.
    /// @param mostConnections of callers at once.
    CrowdMeter(double cores, unsigned mostConnections, const CrowdSettings& = {});

    /// Any thread. Half of what may come at once is kept for customers with few requests here: otherwise one that
    /// floods this router takes all, and the others' requests are refused with its own.
    /// @return whether one more request can be carried; false: it is to be refused at once.
    bool takes(TimePoint now, const CustomerId&);

    /// Looks what was done and what it cost. Call it some times a second.
    void measure(TimePoint now, const RouterWork&, std::size_t connections);

    /// @return what the requests that came in the last time measured need of what it can do, in per cent; above 100
    ///         more comes than it can take.
    std::uint32_t usePercent() const { return m_usePercent; }

    /// @return whether callers are to be told to close their connections: a caller that is told so chooses among all
    ///         addresses for the next.
    bool isCrowded() const { return m_isCrowded; }

    /// @return requests a second that it takes.
    double rate() const;

private:
    bool isHeavy(TimePoint now, const CustomerId&);
    void learn(Duration passed, const RouterWork& done);
    void setRate(bool isRefusing, bool isSaturated);

    /// @return what a request with its whole stream costs, in seconds at work.
    double secondsPerRequest() const;

    const CrowdSettings m_settings;
    const double m_mostConnections;
    mutable std::mutex m_mutex;

    // Taking.
    double m_rate; ///< Requests a second.
    double m_tokens = 0;
    TimePoint m_filledAt {};
    std::map<CustomerId, unsigned> m_counts; ///< Requests since m_countedSince.
    unsigned m_total = 0;
    TimePoint m_countedSince {};

    std::optional<TimePoint> m_measuredAt;
    RouterWork m_seen;

    // What work costs: sums that fade as work is done.
    double m_busySeconds;
    double m_units;

    // How long streams are: sums that fade with time, the first guess left in.
    double m_requests;
    double m_pieces;

    // What there was to do lately: means that follow what is seen.
    double m_share = 0; ///< Of the time that it was at work.
    double m_baseShare = 0; ///< As above, with next to no requests.
    double m_takenRate = 0; ///< Requests a second, for this and the next.
    double m_refusedRate = 0;
    double m_unitRate = 0;

    std::atomic<std::uint32_t> m_usePercent { 0 };
    std::atomic<bool> m_isCrowded { false };
};

/// How a router tells the platform whether it is ready for more.
struct ReadinessSettings {
    /// Use in per cent from which a router has far more to do than it can carry, and for how long it must last: a burst
    /// is over before callers could have moved.
    std::uint32_t overloadPercent = 150;
    Duration overloadTime = std::chrono::milliseconds(900);

    /// Mean use of the fleet's cores up to which others have room for what this router gives up.
    std::uint32_t roomPercent = 60;

    /// How long it stays away. When it comes back, callers that had moved may come back with it.
    Duration away = std::chrono::seconds(20);
};

/// Decides whether a router is ready, beyond being able to serve.
///
/// Load pattern: some customers' callers all keep to one router, which they choose among those that the platform finds
/// ready, whatever addresses they are told. A router of an eighth of a core then turns away most of such a customer's
/// requests while its neighbours idle; and to stay fair the whole fleet turns the others' away. When it says that it
/// isn't ready they move, until they have found one that carries them. It goes on serving whoever still comes.
///
/// With it a heavy day of 65 unlike routers is worth 0.56 instead of 0.46 (mean of its credit, one run each).
class ReadinessGate {
public:
    explicit ReadinessGate(const ReadinessSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// To be called some times a second. @param fleetPercent mean use of all routers' cores.
    void measure(TimePoint now, std::uint32_t usePercent, std::uint32_t fleetPercent);

    /// Any thread.
    bool isOpen() const { return m_isOpen; }

private:
    const ReadinessSettings m_settings;
    std::optional<TimePoint> m_overloadedSince;
    TimePoint m_awayUntil {};
    std::atomic<bool> m_isOpen { true };
};

// ---- What a configuration does not allow

/// What a caller is told of a request that the configuration does not allow.
struct Denial {
    int status = 0;
    std::optional<Duration> comeBack; ///< When to send the request again; absent: not to.
};

/// Only a router that would know of a newer configuration may say that a route or a key does not exist.
/// @param status for what does not exist.
/// @param isKnowledgeLate a newer configuration may be in force that this router should know of, but does not.
Denial denialOf(int status, bool isKnowledgeLate);

// ---- The planned stop

/// When a stopping router does what.
struct StopTimes {
    Duration stopTaking {}; ///< New requests are refused from then on.
    Duration end {}; ///< Whatever still runs is cut off.
};

/// Callers keep an answer to "which address" for seconds, and connect by it after the router has said that it leaves:
/// it goes on taking requests for a while. What it takes must also end before the process does, or its caller sees a
/// broken answer and doesn't know whether it ran; so the larger part of the grace period is for requests in flight.
/// @param grace from SIGTERM until the platform kills the process.
StopTimes stopTimes(Duration grace);

} // namespace sagechute::edge
