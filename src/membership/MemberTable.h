#pragma once

/// @file
/// What one member knows of all members, and the rules by which claims change it.

#include "membership/GossipMessage.h"

#include <sagechute/Membership.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace sagechute::membership {

/// Gossip's own notes on a member; the public part is Member.
struct Track {
    LifeTag tag = 0;
    std::uint64_t stateVersion = 0; ///< The version that the present state was stated for.
    TimePoint suspicionEnds {};
    TimePoint askAt = TimePoint::max(); ///< When the local member asks a suspect itself that it knows of by hearsay.
    bool isWitness = false; ///< The local member itself got no answer from this suspect.
    std::optional<TimePoint> heardAt; ///< When the newest probe that it answered was sent.
    std::optional<std::uint64_t> accusedVersion; ///< Others say it is dead at this version; to be passed on to it.
    unsigned sendsLeft = 0;
    bool isUrgent = false;
    bool isRecord = false; ///< Receivers may not know this life: send the whole record.
};

/// What came of a claim.
enum class MergeResult {
    Nothing,
    Changed,
    Unknown, ///< About a life that is not in the table.
    Doubted, ///< Says that a member is dead which looks well from here: it should be asked itself.
    Outdated, ///< Speaks ill of a member that refuted it since.
    Superseded, ///< About an older life of its VM.
};

/// How a claim got here. Rumours are fresh; what two tables differ by may be an old story, as after a partition.
enum class ClaimSource { Rumour, Comparison };

class MemberTable {
public:
    MemberTable(MemberSummary self, const GossipSettings&);

    const MembershipView& view() const { return m_view; }
    std::size_t size() const { return m_view.members.size(); }
    std::size_t selfIndex() const { return m_self; }
    const Member& at(std::size_t index) const { return m_view.members[index]; }
    Track& track(std::size_t index) { return m_tracks[index]; }
    const Track& track(std::size_t index) const { return m_tracks[index]; }
    const MemberSummary& self() const { return at(m_self).summary; }

    std::optional<std::size_t> find(const VmId&) const;
    std::optional<std::size_t> find(LifeTag) const;

    /// @return whether a member other than the local one takes part: Alive or Suspect.
    bool isPartner(std::size_t index) const;
    std::size_t partnerCount() const;

    MergeResult merge(const Claim&, ClaimSource, TimePoint now);
    MergeResult merge(const MemberRecord&, ClaimSource, TimePoint now);

    /// A datagram came from the member itself.
    MergeResult merge(const SenderHeader&, TimePoint now);

    /// The local member asked twice and through others, and got no answer.
    void suspect(std::size_t index, TimePoint now);

    /// Declares those dead whose suspicion has ended.
    void expireSuspicions(TimePoint now);

    /// @return suspects by hearsay that were not refuted in good time: the refutation may have been lost on its way
    /// here alone, so they are to be asked before they count as dead. Each is returned once.
    std::vector<VmId> takeDoubtful(TimePoint now);

    /// Gives suspects more time: the local process stood still for that long, and could not hear them.
    void extendSuspicions(Duration pause);

    /// Drops the dead and the left after GossipSettings::forgetDead, but the dead only while a majority is heard: a
    /// small part of the fleet that forgot all others would take itself for the whole.
    void forgetOld(TimePoint now, bool hearsMajority);

    /// Replaces the local status; the version is set here.
    void setSelfStatus(MemberStatus, bool isUrgent);
    void leave(TimePoint now);
    bool isLeaving() const { return m_isLeaving; }

    /// @return whether a newer life of the local VM is known.
    bool isSuperseded() const { return m_isSuperseded; }
    void markSuperseded() { m_isSuperseded = true; }

    Claim claimAbout(std::size_t index) const;
    MemberRecord recordAbout(std::size_t index, TimePoint now) const;

    /// Has a member's claim or record passed on, for a bounded number of times.
    void spread(std::size_t index, bool isUrgent);

    /// Adds to @p message what is to be passed on, urgent and least often sent first.
    /// @param receiver the member that gets it, if it is known.
    /// @param space bytes that are left in the datagram.
    void takeRumours(GossipMessage& message, std::optional<std::size_t> receiver, std::size_t space, TimePoint now);

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
    void startHearsay(Track&, TimePoint now) const;
    void dropRumour(Track&);
    Duration suspicionTime() const;
    unsigned urgentSends(bool isRecord) const;

    GossipSettings m_settings;
    MembershipView m_view;
    std::vector<Track> m_tracks; ///< Parallel to the view's members.
    std::unordered_map<LifeTag, std::size_t> m_byTag;
    std::size_t m_self = 0;
    std::size_t m_urgentCount = 0;
    std::size_t m_spreadStart = 0;
    bool m_keepsDead = true;
    bool m_isLeaving = false;
    bool m_isSuperseded = false;
};

} // namespace sagechute::membership
