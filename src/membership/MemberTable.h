#pragma once

/// @file
/// The local member table and the rules for merging claims and records into it.

#include "membership/GossipMessage.h"

#include <sagechute/Membership.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace sagechute::membership {

/// Protocol state kept per member, in addition to the public Member.
struct GossipState {
    LifeTag tag = 0;
    std::uint64_t stateVersion = 0; ///< Summary version that the current state refers to.
    TimePoint suspicionEnds {};
    TimePoint probeAt = TimePoint::max(); ///< When to probe a suspect that was reported by another member.
    bool isLocallySuspected = false; ///< The suspect failed to answer the local member's own probe.
    std::optional<TimePoint> ackedProbeSentAt; ///< Send time of the latest probe that it acked.
    std::optional<std::uint64_t>
        reportedDeadVersion; ///< Version at which others reported it Dead; sent to the member so that it can refute.
    unsigned sendsLeft = 0;
    bool isUrgent = false;
    bool isRecord = false; ///< Receivers may not know this life: send the full record.
};

/// Result of merging a claim or record.
enum class MergeResult {
    Nothing,
    Changed,
    Unknown, ///< Refers to a life that is not in the table.
    Disputed, ///< Reports Dead a member that is Alive locally; it should be probed.
    Outdated, ///< Reports Suspect or Dead a member that has refuted it since.
    Superseded, ///< Refers to an older life of its VM.
};

/// How an update was received. Disseminated updates are recent, while table differences found by anti-entropy may be
/// old, as after a partition.
enum class ClaimSource { Dissemination, AntiEntropy };

class MemberTable {
public:
    MemberTable(MemberSummary self, const GossipSettings&);

    const MembershipView& view() const { return m_view; }
    std::size_t size() const { return m_view.members.size(); }
    std::size_t selfIndex() const { return m_self; }
    const Member& at(std::size_t index) const { return m_view.members[index]; }
    GossipState& gossipState(std::size_t index) { return m_gossipStates[index]; }
    const GossipState& gossipState(std::size_t index) const { return m_gossipStates[index]; }
    const MemberSummary& self() const { return at(m_self).summary; }

    std::optional<std::size_t> find(const VmId&) const;
    std::optional<std::size_t> find(LifeTag) const;

    /// @return whether it is a member other than the local one that is Alive or Suspect.
    bool isActivePeer(std::size_t index) const;
    std::size_t activePeerCount() const;

    MergeResult merge(const Claim&, ClaimSource, TimePoint now);
    MergeResult merge(const MemberRecord&, ClaimSource, TimePoint now);

    /// Merges the header of a datagram received from the member itself.
    MergeResult merge(const SenderHeader&, TimePoint now);

    /// Marks a member as Suspect after its direct, repeated and indirect probes went unanswered.
    void suspect(std::size_t index, TimePoint now);

    /// Marks suspects as Dead once their suspicion timeout has passed.
    void expireSuspicions(TimePoint now);

    /// @return suspects reported by others that have not been refuted in time. Only the local copy of the refutation
    /// may have been lost, so they are probed before they are marked Dead. Each is returned once.
    std::vector<VmId> takeSuspectsToProbe(TimePoint now);

    /// Extends all suspicion timeouts by the length of a pause of the local process, during which it could not receive
    /// refutations.
    void extendSuspicions(Duration pause);

    /// Removes Dead and Left members after GossipSettings::forgetDead. Dead ones are removed only while a majority is
    /// reachable: a minority partition that dropped all others would consider itself the whole fleet.
    void removeExpired(TimePoint now, bool hearsMajority);

    /// Replaces the local status and increments its version.
    void setSelfStatus(MemberStatus, bool isUrgent);
    void leave(TimePoint now);
    bool isLeaving() const { return m_isLeaving; }

    /// @return whether a newer incarnation of the local VM is known.
    bool isSuperseded() const { return m_isSuperseded; }
    void markSuperseded() { m_isSuperseded = true; }

    Claim claimAbout(std::size_t index) const;
    MemberRecord recordAbout(std::size_t index, TimePoint now) const;

    /// Queues a member's claim or record to be piggybacked a bounded number of times.
    void disseminate(std::size_t index, bool isUrgent);

    /// Adds queued updates to @p message, urgent and least often sent ones first.
    /// @param receiver the receiving member, if it is known.
    /// @param space bytes left in the datagram.
    void takePiggybackedUpdates(
        GossipMessage& message, std::optional<std::size_t> receiver, std::size_t space, TimePoint now);

    static std::uint32_t bucketOf(const VmId&, std::uint32_t bucketCount);
    std::vector<std::uint32_t> bucketHashes(std::uint32_t bucketCount) const;

private:
    MergeResult mergeStatus(std::size_t index, const MemberStatus&);
    MergeResult mergeState(std::size_t index, MemberState, std::uint64_t version, ClaimSource, TimePoint now);
    MergeResult mergeDeath(std::size_t index, std::uint64_t version, ClaimSource, TimePoint now);
    MergeResult refute(MemberState, std::uint64_t version);
    MergeResult replaceLife(std::size_t index, const MemberRecord&, TimePoint now);
    void insert(const MemberRecord&, TimePoint now);
    void install(std::size_t index, const MemberRecord&, TimePoint now);
    void erase(std::size_t index);
    void reindex();
    void setState(std::size_t index, MemberState, TimePoint now);
    void startReportedSuspicion(GossipState&, TimePoint now) const;
    void cancelDissemination(GossipState&);
    Duration suspicionTime() const;
    unsigned urgentSends(bool isRecord) const;

    GossipSettings m_settings;
    MembershipView m_view;
    std::vector<GossipState> m_gossipStates; ///< Parallel to the view's members.
    std::unordered_map<LifeTag, std::size_t> m_byTag;
    std::size_t m_self = 0;
    std::size_t m_urgentCount = 0;
    std::size_t m_disseminationStart = 0;
    bool m_retainsDead = true;
    bool m_isLeaving = false;
    bool m_isSuperseded = false;
};

} // namespace sagechute::membership
