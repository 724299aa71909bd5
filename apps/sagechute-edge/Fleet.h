#pragma once

/// @file
/// The other routers: gossip carries membership, heartbeats carry load.

#include "EdgeState.h"
#include "Options.h"
#include "PeerInbox.h"

#include <sagechute/Peer.h>

namespace sagechute::edge {

/// @return a unique number for this run of the process: the time of day, followed by random bits because the clock may
///         have been set back.
Incarnation generateIncarnation();

/// Exchanges gossip and heartbeats with the other routers over one UDP socket. Used by the socket's receiving thread
/// and the housekeeping thread.
class Fleet {
public:
    /// Routers whose heartbeats show newer knowledge of the store are added to the inbox.
    /// @param incarnation see generateIncarnation().
    static absl::StatusOr<std::unique_ptr<Fleet>> make(EdgeState&, PeerInbox&, const Options&, Incarnation incarnation);

    /// Sends gossip and heartbeats that are due. Call it about every 25 ms.
    void tick(TimePoint now);

    void addSeed(const std::string& gossipAddress);
    std::string gossipAddress() const { return m_gossipAddress; }

    /// @return the other routers whose heartbeats arrive here.
    std::vector<Peer> peers(TimePoint now) const;

    /// @return routers whose state can be fetched: those whose heartbeats arrive here, or in a large fleet all that
    ///         gossip reports alive.
    std::vector<RouterContact> contacts(TimePoint now) const;

    /// @return whether gossip has any other live router.
    bool knowsOtherRouters() const;

    /// @return whether this router should announce itself in the store; in a large fleet only relays do.
    bool shouldAnnounce() const;

    /// @return whether this router reads the store for others.
    news::ReadStanding readStanding(const news::NewsTimes&) const;

    /// @return router addresses for a caller; this router is a candidate if it can serve. See chooseEntryPoints().
    std::vector<std::string> entryPoints(TimePoint now, const ZoneId& callerZone, std::string_view callerKey) const;

    /// @return CPU utilization of the routers in per cent, as the mean over the availability zones.
    std::uint32_t meanUsePercent(TimePoint now) const;

    /// Announces the departure by gossip at the end of a graceful stop.
    void leave();

private:
    Fleet(EdgeState&, PeerInbox&, const Options&);

    void startGossip(Incarnation);
    void receive(const std::string& from, std::string_view bytes);
    void receiveHeartbeat(std::string_view bytes);
    Duration transitDelay(const Heartbeat&);
    Duration reportInterval() const;
    Heartbeat makeHeartbeat(HeartbeatScope) const;

    /// @return an encoded heartbeat with a load report, to be sent to any number of receivers.
    std::string encodeReport(HeartbeatScope, FleetUtilization, const dispatch::LoadReport&) const;
    void sendHeartbeat(const RouterAddress&, std::uint64_t includedSerial, std::string_view shared);
    void sendOwnReport(TimePoint now);
    void sendAggregateReports(TimePoint now, const dispatch::LoadReport& own);
    FleetUtilization localZoneUse(TimePoint now) const;

    /// @return CPU utilization of the routers, as far as it is known here.
    FleetUtilization fleetUse(TimePoint now) const;
    void updatePlan();
    void sendGossip(const std::vector<membership::Datagram>&);
    void sendHeartbeats(TimePoint now);
    void logMembershipChanges();

    /// Tells the dispatcher about the routers that are alive, on each change and about once a second.
    void updateRouters(TimePoint now);
    void logLateReports(TimePoint now);

    EdgeState& m_state;
    PeerInbox& m_inbox;
    const Options m_options;
    const std::string m_gossipAddress;
    mutable std::mutex m_mutex;
    Incarnation m_incarnation = 0;
    Incarnation m_incarnationStep;
    std::unique_ptr<membership::Gossip> m_gossip;
    PeerTable m_peerHeartbeats;

    /// Transit times of the heartbeats of one incarnation of a router.
    struct Transit {
        Incarnation incarnation = 0;
        news::TransitMeter meter;
    };
    std::map<VmId, Transit> m_transitByRouter;
    ReportPlan m_plan;
    LoadReportAggregator m_relayReports;
    std::set<std::string> m_lateReports; ///< As last logged; see LoadReportAggregator::late().
    SentReports m_ownReports;
    std::uint64_t m_loggedViewVersion = 0;
    std::uint64_t m_toldViewVersion = 0; ///< See updateRouters().
    TimePoint m_nextRouterUpdate {};
    bool m_hasHeardRouters = false;
    std::map<VmId, membership::MemberState> m_loggedMemberStates;
    TimePoint m_nextHeartbeat {};
    TimePoint m_lastHeartbeat {};
    bool m_hadActiveRequests = false;
    std::unique_ptr<peer::DatagramSocket> m_socket; ///< Declared last, as its thread uses the other members.
};

} // namespace sagechute::edge
