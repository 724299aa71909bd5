#pragma once

/// @file
/// Gossip implementation for one member.

#include "membership/GossipMessage.h"
#include "membership/MemberTable.h"
#include "membership/ProbeTracker.h"

#include <sagechute/Membership.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::membership {

class GossipMember final : public Gossip {
public:
    GossipMember(
        MemberSummary self, const std::vector<std::string>& seeds, const GossipSettings&, std::unique_ptr<Random>);

    std::vector<Datagram> tick(TimePoint now) override;
    std::vector<Datagram> receive(TimePoint now, const std::string& fromAddress, std::string_view bytes) override;
    void updateSelf(bool draining, LogOffset configOffset, bool logReachable, std::uint32_t load) override;
    std::vector<Datagram> leave(TimePoint now) override;
    void probeSoon(const VmId&) override;
    void addSeed(const std::string& gossipAddress) override;
    const MembershipView& view() const override { return m_table.view(); }
    const MemberSummary& self() const override { return m_table.self(); }
    bool hearsMajority(TimePoint now) const override;
    bool isSuperseded() const override { return m_table.isSuperseded(); }
    std::uint64_t undecodableCount() const override { return m_undecodable; }

private:
    /// An indirect probe made on behalf of another member.
    struct Relay {
        std::uint16_t sequence = 0; ///< Sequence number of the local ping.
        std::uint16_t requesterSequence = 0;
        std::string requesterAddress;
        LifeTag target = 0;
        TimePoint expires {};
    };

    /// Follow-up work found while merging one datagram.
    struct MergeFindings {
        std::vector<LifeTag> unknown;
        std::vector<std::size_t> corrections; ///< Indices of members about which the sender's information is outdated.
        bool tablesDiffer = false;
    };

    // Sending.
    GossipMessage message(MessageKind) const;
    void send(GossipMessage, const std::string& address, std::optional<std::size_t> receiver, TimePoint now);
    void sendPing(std::size_t target, std::uint16_t sequence, TimePoint now);
    std::size_t freeBytes(const GossipMessage&) const;
    std::vector<Datagram> takeOutgoing();

    // Probing.
    void advance(TimePoint now);
    void runProbes(TimePoint now);
    void repeatProbe(Probe&, TimePoint now);
    void startProbes(TimePoint now);
    std::optional<std::size_t> nextTarget(bool& isSample);
    std::optional<std::size_t> takePriorityProbe();
    void probe(std::size_t index, bool isSample, TimePoint now);
    std::vector<std::size_t> randomPeers(std::size_t maxCount, std::optional<std::size_t> except);
    void updateProbeOrder();

    // Joining, anti-entropy, publishing the local status.
    void publishSelf(TimePoint now);
    void discoverPeers(TimePoint now);
    void join(const std::string& address, TimePoint now);
    std::vector<std::string> joinCandidates() const;
    void startAntiEntropy(TimePoint now);
    std::uint32_t bucketCount() const;

    // Receiving.
    bool acceptSender(const GossipMessage&, const std::string& from, TimePoint now);
    MergeFindings mergeUpdates(const GossipMessage&, TimePoint now);
    void recordMergeResult(MergeResult, std::optional<std::size_t> index, MergeFindings&);
    void addCorrections(GossipMessage& reply, MergeFindings&) const;
    void handleMessage(const GossipMessage&, const std::string& from, MergeFindings&, TimePoint now);
    void handleAck(const GossipMessage&, TimePoint now);
    void handleRelayedAck(const GossipMessage&);
    void handleProbeRequest(const GossipMessage&, const std::string& from, TimePoint now);
    void handleJoin(const std::string& from, std::optional<std::size_t> sender, TimePoint now);
    void handleDigest(const GossipMessage&, const std::string& from, std::optional<std::size_t> sender, TimePoint now);
    void handleBucketListing(const GossipMessage&, GossipMessage& reply, TimePoint now);
    void handleRecordRequest(
        const GossipMessage&, const std::string& from, std::optional<std::size_t> sender, TimePoint now);
    void sendFollowUp(
        const std::string& from, GossipMessage reply, std::optional<std::size_t> sender, MergeFindings&, TimePoint now);
    void recordAck(Probe&);

    GossipSettings m_settings;
    std::unique_ptr<Random> m_random;
    MemberTable m_table;
    ProbeTracker m_probes;
    ProbeOrder m_order;
    std::deque<VmId> m_priorityProbes;
    std::deque<Relay> m_relays;
    std::vector<std::string> m_seeds;
    std::vector<Datagram> m_outgoing;

    MemberStatus m_pendingStatus;
    TimePoint m_publishedAt {};
    TimePoint m_loadPublishedAt {};

    std::optional<TimePoint> m_lastCall;
    TimePoint m_nextProbe {};
    TimePoint m_nextJoin {};
    Duration m_joinInterval;
    TimePoint m_nextSearch {};
    TimePoint m_nextAntiEntropy {};
    TimePoint m_nextRecordRequest {};
    std::uint64_t m_probeOrderVersion = 0;
    std::uint64_t m_undecodable = 0;
    std::uint16_t m_sequence = 0;
    bool m_isPriorityTurn = false;
    bool m_hasHeardFromPeer = false;
};

} // namespace sagechute::membership
