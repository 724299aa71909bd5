#pragma once

/// @file
/// The other routers: gossip says who is there, heartbeats what they have in flight.

#include "EdgeState.h"
#include "Options.h"
#include "PeerInbox.h"

#include <sagechute/Peer.h>

namespace sagechute::edge {

/// @return a number for this life of the process that no other has: the time of day, which may have been set back, and
///         bits that are drawn.
Incarnation drawIncarnation();

/// One UDP socket for gossip and heartbeats. Its receiving thread and the housekeeping thread use it.
class Fleet {
public:
    /// @param incarnation see drawIncarnation(). The box is told of routers that know more of the store.
    static absl::StatusOr<std::unique_ptr<Fleet>> make(EdgeState&, PeerInbox&, const Options&, Incarnation incarnation);

    /// Sends what has come due. Call it about every 25 ms.
    void tick(TimePoint now);

    void addSeed(const std::string& gossipAddress);
    std::string gossipAddress() const { return m_gossipAddress; }

    /// @return routers that are heard of, without this one.
    std::vector<Peer> peers(TimePoint now) const;

    /// @return routers that can be asked for what they know: those heard of, in a large fleet all that gossip knows to
    ///         be there.
    std::vector<RouterContact> contacts(TimePoint now) const;

    /// @return whether any other router is known to gossip.
    bool knowsOthers() const;

    /// @return whether the store is to tell others of this router: in a large fleet only of relays.
    bool isLandmark() const;

    /// @return whether this router reads the store for others.
    news::ReadStanding readStanding(const news::NewsTimes&) const;

    /// @return addresses for a caller, this router's among them when it can serve; see chooseEntryPoints().
    std::vector<std::string> entryPoints(TimePoint now, const ZoneId& callerZone, std::string_view callerKey) const;

    /// @return mean use of the routers' cores over the availability zones, in per cent.
    std::uint32_t meanUsePercent(TimePoint now) const;

    /// Says goodbye at the end of a planned stop.
    void leave();

private:
    Fleet(EdgeState&, PeerInbox&, const Options&);

    void startGossip(Incarnation);
    void receive(const std::string& from, std::string_view bytes);
    void receiveHeartbeat(std::string_view bytes);
    Duration transitDelay(const Heartbeat&);
    Duration reportInterval() const;
    Heartbeat heartbeat(HeartbeatScope) const;

    /// @return a heartbeat with a load, for any number of receivers.
    std::string report(HeartbeatScope, FleetUtilization, const dispatch::LoadReport&) const;
    void send(const RouterAddress&, std::uint64_t includedSerial, std::string_view shared);
    void sendOwn(TimePoint now);
    void sendSums(TimePoint now, const dispatch::LoadReport& own);
    FleetUtilization ownZoneUse(TimePoint now) const;

    /// @return how much of their cores routers need, as far as it is known here.
    FleetUtilization fleetUse(TimePoint now) const;
    void updatePlan();
    void sendGossip(const std::vector<membership::Datagram>&);
    void sendHeartbeats(TimePoint now);
    void logChanges();
    void logLateReports(TimePoint now);

    EdgeState& m_state;
    PeerInbox& m_inbox;
    const Options m_options;
    const std::string m_gossipAddress;
    mutable std::mutex m_mutex;
    Incarnation m_incarnation = 0;
    Incarnation m_step;
    std::unique_ptr<membership::Gossip> m_gossip;
    PeerTable m_board;

    /// How long heartbeats of one life of a router take.
    struct Transit {
        Incarnation incarnation = 0;
        news::TransitMeter meter;
    };
    std::map<VmId, Transit> m_transit;
    ReportPlan m_plan;
    LoadReportAggregator m_desk;
    std::set<std::string> m_lateReports; ///< See LoadReportAggregator::staleSources(); as logged.
    SentReports m_ownReports;
    std::uint64_t m_loggedView = 0;
    std::map<VmId, membership::MemberState> m_loggedStates;
    TimePoint m_nextHeartbeat {};
    TimePoint m_lastHeartbeat {};
    bool m_hadLoad = false;
    std::unique_ptr<peer::DatagramSocket> m_socket; ///< Last: its thread uses the rest.
};

} // namespace sagechute::edge
