#pragma once

/// @file
/// Implementation of RouterCore, split over three source files: Core.cpp (event dispatch, membership, configuration and
/// status), CoreRequests.cpp (request lifecycle) and CorePeers.cpp (messages from other routers).

#include "routing/ConfigRelay.h"
#include "routing/Freshness.h"
#include "routing/PoolRouter.h"
#include "routing/SessionTable.h"
#include "routing/StopSequence.h"

namespace sagechute::routing {

class Core final : public RouterCore, public PoolHost {
public:
    Core(const RouterSettings&, std::unique_ptr<Random>);

    Actions handle(TimePoint now, Event) override;
    LogOffset nextLogOffset() const override { return m_replica->offset() + 1; }
    RouterStatus status() const override;
    std::vector<config::Target> ownedTargets() const override;

private:
    // One handler for each type of event.
    void on(TimePoint now, RequestArrived&);
    void on(TimePoint now, CallerDisconnected&);
    void on(TimePoint now, AttemptEnded&);
    void on(TimePoint now, AttemptProgressed&);
    void on(TimePoint now, PeerMessageReceived&);
    void on(TimePoint now, PeerUp&);
    void on(TimePoint now, PeerDown&);
    void on(TimePoint now, DatagramReceived&);
    void on(TimePoint now, LogRead&);
    void on(TimePoint now, LogSnapshotRead&);
    void on(TimePoint now, LogReadFailed&);
    void on(TimePoint now, PrefixChanged&);
    void on(TimePoint now, PrefixesUnknown&);
    void on(TimePoint now, StopRequested&);
    void on(TimePoint now, Tick&);

    // One handler for each type of message from another router.
    void receive(TimePoint now, const RouterLife&, wire::OfferMessage&);
    void receive(TimePoint now, const RouterLife&, wire::WithdrawMessage&);
    void receive(TimePoint now, const RouterLife&, wire::GrantMessage&);
    void receive(TimePoint now, const RouterLife&, wire::DeclineMessage&);
    void receive(TimePoint now, const RouterLife&, wire::NotOwnerMessage&);
    void receive(TimePoint now, const RouterLife&, wire::SettleMessage&);
    void receive(TimePoint now, const RouterLife&, wire::ProgressMessage&);
    void receive(TimePoint now, const RouterLife&, wire::ResyncMessage&);
    void receive(TimePoint now, const RouterLife&, wire::SummaryMessage&);
    void receive(TimePoint now, const RouterLife&, wire::LedgerPullMessage&);
    void receive(TimePoint now, const RouterLife&, wire::ConfigPullMessage&);
    void receive(TimePoint now, const RouterLife&, wire::ConfigRecordsMessage&);
    void receive(TimePoint now, const RouterLife&, wire::ConfigSnapshotMessage&);
    void receive(TimePoint now, const RouterLife&, wire::OutcomePartMessage&);
    void receive(TimePoint now, const RouterLife&, wire::OutcomesTakenMessage&);
    void receive(TimePoint now, const RouterLife&, wire::InheritedMessage&);
    void receive(TimePoint now, const RouterLife&, wire::ResyncRequestMessage&);

    void onGranted(TimePoint, Request&) override;
    bool onMayStart(TimePoint) const override;
    bool onReachable(const VmId&) const override;

    // Request lifecycle.
    absl::Status checkArrival(TimePoint now, const RequestArrived&) const;
    bool routeBySession(TimePoint now, Request&);
    bool lookUpOutcome(TimePoint now, Request&);
    void forward(Request&, const SessionRoute&);
    void backoffEnded(TimePoint now, Request&);
    void admit(TimePoint now, Request&);
    void beginAttempt(Request&, std::optional<std::uint64_t> resumeFrom);
    void attemptCompleted(TimePoint now, Request&, AttemptEnded&);
    void forwardEnded(TimePoint now, Request&, AttemptEnded&);
    void attemptFailed(TimePoint now, Request&, const AttemptEnded&);
    bool canResume(const Request&, AttemptEnd) const;
    void resume(Request&);
    /// @return after which time the request is sent again, if its retry budget allows; takes the retry from it.
    std::optional<Duration> retryDelay(TimePoint, const Request&, AttemptEnd);
    void retry(TimePoint, Request&, Duration delay);
    void failRequest(TimePoint now, Request&, ErrorKind, std::string_view message, std::string_view remedy);
    void refuse(TimePoint now, Request&, Outcome, const absl::Status&, std::optional<std::chrono::seconds> retryAfter);
    void answer(TimePoint now, Request&, delivery::KeptAnswer, std::string usage);
    void discard(const RequestId&);
    void refuseAllWaiting(TimePoint now);
    bool recordsOutcome(const Request&) const;

    // Membership, configuration and publishing.
    void detectPause(TimePoint now);
    void applyChanges(TimePoint now);
    void rebuildPools(TimePoint now);
    void applyMembershipChanges(TimePoint now);
    void probeLinks(TimePoint now);
    void publishIfChanged(TimePoint now);
    bool isDeclaredDraining(const VmId&) const;
    std::string_view notReadyReason(TimePoint now) const;
    scheduling::CellMap buildCellMap() const;
    std::uint32_t cellCount(const PoolId&) const;
    PoolRouter* pool(const PoolId&);
    PoolRouter* poolOwning(wire::CellKey);
    PoolRouter* poolOfSerial(std::uint64_t serial);
    void announceInherited(const RouterLife&);
    void sendDatagrams(std::vector<membership::Datagram>);

    struct PeerLink {
        bool down = false;
        TimePoint since {};
        TimePoint nextProbe {};
    };
    struct Handover {
        std::uint32_t received = 0;
    };

    RouterSettings m_settings;
    std::unique_ptr<Random> m_random;
    std::unique_ptr<membership::Gossip> m_gossip;
    std::unique_ptr<config::ConfigReplica> m_replica;
    std::shared_ptr<const config::ConfigView> m_config;
    std::unique_ptr<delivery::OutcomeMemory> m_memory;
    std::unique_ptr<delivery::RetryBudget> m_retries;
    Outbox m_outbox;
    RequestTable m_requests;
    Freshness m_freshness;
    ConfigRelay m_relay;
    SessionTable m_sessions;
    StopSequence m_stop;
    std::map<PoolId, std::unique_ptr<PoolRouter>> m_pools;
    std::map<VmId, PeerLink> m_links;
    std::map<VmId, membership::MemberState> m_memberStates;
    std::map<VmId, RouterLife> m_memberLives;
    std::map<RouterLife, Handover> m_handovers;
    std::map<RequestId, std::vector<RequestId>> m_coalesced; ///< Keyed by the request whose end they wait for.
    std::vector<PoolOwners> m_poolOwners;
    std::shared_ptr<const RoutingSnapshot> m_published;
    std::uint64_t m_viewVersion = 0;
    std::uint64_t m_publishedView = 0;
    std::uint64_t m_undecodable = 0;
    TimePoint m_lastHandled = TimePoint::min();
    TimePoint m_now {};
    TimePoint m_nextExpiry {};
    bool m_exited = false;
};

} // namespace sagechute::routing
