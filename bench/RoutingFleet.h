#pragma once

/// @file
/// Many router cores under one virtual clock with a fake network, fake targets and fake callers, for measuring the cost
/// of each event and message by fleet size. Nothing fails here unless a benchmark requests it; failures are tested with
/// tests/FleetFake.h.

#include "peer/Traffic.h"

#include <sagechute/Peer.h>
#include <sagechute/Routing.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sagechute::bench {

/// The composition of a fleet and its load.
struct FleetSize {
    std::size_t routers = 8;
    std::size_t zones = 6;
    std::size_t pools = 11;
    std::size_t targets = 14;
    std::size_t customers = 24;
    std::size_t poolsPerCustomer = 1;
    double requestsPerSecond = 63; ///< As many as the targets' slots can serve.
    double tokensPerRequest = 483; ///< Mean; each token takes tokenTime.
    Duration tokenTime = std::chrono::milliseconds(50);
    Duration summaryInterval = std::chrono::seconds(2);
    /// Fraction of the requests that do not arrive at an owner of their pool, such as those of sessions.
    double nonOwnerFraction = 0.1;

    /// @return the size designed for, scaled to a number of routers.
    static FleetSize scaled(std::size_t routers);
};

/// Processor time, count and payload of one kind of event or message, summed over all routers.
struct KindCost {
    std::uint64_t count = 0;
    std::uint64_t bytes = 0; ///< Payload; messages only.
    Duration time {};
};

/// Figures counted since the last reset().
struct FleetCosts {
    Duration span {};
    std::map<std::string, KindCost, std::less<>> kinds;
    std::vector<double> controlBytes; ///< Peer streams and gossip in both directions, including headers; by router.
    std::vector<double> gossipBytes; ///< The share of gossip in controlBytes.
    std::vector<Duration> processorTime; ///< Of all events, by router.
    std::uint64_t connectionsOpened = 0;
    std::uint64_t segments = 0; ///< Writes to the message streams.
    std::uint64_t requestsEnded = 0;
    double tokens = 0;
    std::uint64_t refused = 0;
};

class RoutingFleet {
public:
    /// @param connectionBytes cost of opening and closing one connection between routers, for each end.
    RoutingFleet(const FleetSize&, double connectionBytes);

    /// Lets the cores discover each other, then gives them the configuration.
    /// @return the virtual time until every router knew every other one.
    Duration boot();

    /// A tenth of the customers always have more requests in the fleet than their share of the slots; the others send
    /// occasionally.
    void startLoad();

    void run(Duration);
    void reset();
    FleetCosts costs() const;

    /// Changes the weight of one customer through the log, which all routers read.
    void changeConfiguration();

    /// The VMs of these routers fail without notice.
    void kill(const std::vector<std::size_t>& routers);

    /// Blocks all traffic between the zones below @p zone and the others.
    void cutBetweenZones(std::size_t zone);
    void healZones();

    std::vector<std::size_t> routersOfZone(std::size_t zone) const;
    bool everyoneSees(std::size_t alive) const;
    std::size_t aliveSeenBy(std::size_t router) const { return m_nodes[router].core->status().members.size(); }
    bool runs(std::size_t router) const { return m_nodes[router].core != nullptr; }
    Duration statusTime() const; ///< Processor time of one call to status().
    std::size_t maxCellsOwned() const;
    std::size_t runningPerRouter() const;
    std::size_t linksUp() const;

private:
    struct Node {
        routing::RouterSettings settings;
        std::unique_ptr<routing::RouterCore> core;
        std::size_t zone = 0;
        std::uint64_t serial = 0;
        peer::Traffic traffic;
        double connectionBytes = 0;
        double gossipBytes = 0;
        Duration processorTime {};
    };
    struct Message {
        std::string_view kind;
        std::string bytes;
    };
    /// Messages queued in one direction of a link, and when they are flushed.
    struct Direction {
        std::vector<Message> waiting;
        std::optional<TimePoint> flushAt;
        TimePoint lastReceived {}; ///< At the end that sends in this direction.
        std::optional<peer::TrafficEstimate> estimate;
    };
    struct Link {
        bool isUp = false;
        TimePoint lastMessage {};
        Direction directions[2]; ///< From the lower-numbered node, from the higher-numbered node.
    };
    struct Pending {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator>(const Pending& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    struct Running {
        std::size_t node = 0;
        std::uint32_t attempt = 0;
        double tokens = 0;
        TimePoint since {};
    };
    struct Caller {
        std::size_t customer = 0;
        std::size_t pool = 0;
        bool closed = false; ///< Closed loop: sends the next request when the previous one has ended.
    };

    void declare();
    void append(config::Kind, const std::string& name, const nlohmann::json& spec);
    void at(TimePoint, std::function<void()>);
    void deliver(std::size_t node, routing::Event, std::string_view kind);
    void tick(std::size_t node);
    void readLog(std::size_t node);
    std::size_t poolOf(std::size_t customer);
    std::size_t entryFor(std::size_t pool);
    void sendRequest(const Caller&, std::size_t node);
    void arrivals(std::size_t customer, double perSecond);
    void progress(const RequestId&);
    void finish(const RequestId&);
    void ended(const RequestId&);
    bool connected(std::size_t one, std::size_t other) const;
    Link& link(std::size_t one, std::size_t other);
    void flush(std::size_t from, std::size_t to);
    void open(std::size_t from, std::size_t to, Link&);
    void breakLinks(const std::function<bool(std::size_t, std::size_t)>& predicate);
    double draw(double least, double most);

    void act(std::size_t, routing::SendMessage&);
    void act(std::size_t, routing::SendDatagram&);
    void act(std::size_t, routing::ForgetPeer&);
    void act(std::size_t, routing::StartAttempt&);
    void act(std::size_t, routing::StartForward&) { }
    void act(std::size_t, routing::CancelAttempt&) { }
    void act(std::size_t, routing::Answer& it) { ended(it.id); }
    void act(std::size_t, routing::Refuse&);
    void act(std::size_t, routing::EndStream& it) { ended(it.id); }
    void act(std::size_t, routing::Publish& it) { m_snapshot = it.snapshot; }
    void act(std::size_t, routing::StopListening&) { }
    void act(std::size_t, routing::Exit&) { }

    FleetSize m_size;
    double m_connectionBytes;
    SeededRandom m_random { 1 };
    TimePoint m_now { std::chrono::hours(1) };
    std::uint64_t m_order = 0;
    std::priority_queue<Pending, std::vector<Pending>, std::greater<>> m_queue;
    std::deque<Node> m_nodes;
    std::unordered_map<std::string, std::size_t> m_byGossip;
    std::unordered_map<std::string, std::size_t> m_byVm;
    std::unordered_map<std::uint64_t, Link> m_links;
    std::vector<config::LogRecord> m_log;
    std::map<std::string, LogOffset> m_versions;
    /// The latest snapshot of any router, used to choose the entry router.
    std::shared_ptr<const routing::RoutingSnapshot> m_snapshot;
    std::unordered_map<RequestId, Caller> m_callers;
    std::unordered_map<RequestId, Running> m_running;
    std::optional<std::size_t> m_cutZone;
    TimePoint m_resetAt {};
    FleetCosts m_costs;
    Duration m_clockCost {};
};

} // namespace sagechute::bench
