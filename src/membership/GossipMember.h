#pragma once

/// @file
/// The state machine of one member.

#include "membership/GossipMessage.h"
#include "membership/MemberTable.h"
#include "membership/ProbeBook.h"

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
    /// A probe made for another member.
    struct Relay {
        std::uint16_t sequence = 0; ///< Of the ping sent from here.
        std::uint16_t requesterSequence = 0;
        std::string requesterAddress;
        LifeTag target = 0;
        TimePoint expires {};
    };

    /// What the claims of one datagram leave to do.
    struct Findings {
        std::vector<LifeTag> unknown;
        std::vector<std::size_t> corrections; ///< Members that the sender is behind about.
        bool tablesDiffer = false;
    };

    // Sending.
    GossipMessage message(MessageKind) const;
    void send(GossipMessage, const std::string& address, std::optional<std::size_t> receiver, TimePoint now);
    void sendPing(std::size_t target, std::uint16_t sequence, TimePoint now);
    std::size_t freeBytes(const GossipMessage&) const;
    std::vector<Datagram> takeOut();

    // Probing.
    void advance(TimePoint now);
    void runProbes(TimePoint now);
    void repeatProbe(Probe&, TimePoint now);
    void startProbes(TimePoint now);
    std::optional<std::size_t> nextTarget(bool& isSample);
    std::optional<std::size_t> takeSoon();
    void probe(std::size_t index, bool isSample, TimePoint now);
    std::vector<std::size_t> randomPartners(std::size_t most, std::optional<std::size_t> except);
    void trackPartners();

    // Joining, comparing tables, telling the own status.
    void publishSelf(TimePoint now);
    void findOthers(TimePoint now);
    void join(const std::string& address, TimePoint now);
    std::vector<std::string> strangers() const;
    void compareTables(TimePoint now);
    std::uint32_t bucketCount() const;

    // Receiving.
    bool acceptSender(const GossipMessage&, const std::string& from, TimePoint now);
    Findings mergeUpdates(const GossipMessage&, TimePoint now);
    void note(MergeResult, std::optional<std::size_t> index, Findings&);
    void correct(GossipMessage& reply, Findings&) const;
    void answer(const GossipMessage&, const std::string& from, Findings&, TimePoint now);
    void handleAck(const GossipMessage&, TimePoint now);
    void handleRelayedAck(const GossipMessage&);
    void handleProbeRequest(const GossipMessage&, const std::string& from, TimePoint now);
    void handleJoin(const std::string& from, std::optional<std::size_t> sender, TimePoint now);
    void handleDigest(const GossipMessage&, const std::string& from, std::optional<std::size_t> sender, TimePoint now);
    void handleListing(const GossipMessage&, GossipMessage& reply, TimePoint now);
    void handleWant(const GossipMessage&, const std::string& from, std::optional<std::size_t> sender, TimePoint now);
    void wantRecords(
        const std::string& from, GossipMessage reply, std::optional<std::size_t> sender, Findings&, TimePoint now);
    void heard(Probe&);

    GossipSettings m_settings;
    std::unique_ptr<Random> m_random;
    MemberTable m_table;
    ProbeBook m_probes;
    ProbeOrder m_order;
    std::deque<VmId> m_soon;
    std::deque<Relay> m_relays;
    std::vector<std::string> m_seeds;
    std::vector<Datagram> m_out;

    MemberStatus m_wantedStatus;
    TimePoint m_publishedAt {};
    TimePoint m_loadPublishedAt {};

    std::optional<TimePoint> m_lastCall;
    TimePoint m_nextProbe {};
    TimePoint m_nextJoin {};
    Duration m_joinInterval;
    TimePoint m_nextSearch {};
    TimePoint m_nextComparison {};
    TimePoint m_nextWant {};
    std::uint64_t m_trackedVersion = 0;
    std::uint64_t m_undecodable = 0;
    std::uint16_t m_sequence = 0;
    bool m_soonTurn = false;
    bool m_metAnyone = false;
};

} // namespace sagechute::membership
