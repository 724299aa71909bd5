#pragma once

/// @file
/// Who is in the fleet: gossip with incarnations, suspicion and summaries. Decision logic without sockets, threads or
/// clock.

#include <sagechute/Core.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::membership {

/// Where a member can be reached and how it is doing; passed on inside gossip.
struct MemberSummary {
    RouterLife life;
    ZoneId zone;
    std::string gossipAddress; ///< "ADDRESS:PORT", as are the next two.
    std::string peerAddress;
    std::string callerAddress;
    std::uint32_t capacity = 0; ///< Thousandths of a core that the process may use; 0: not told.
    std::uint64_t version = 0; ///< Grows with each change that the member makes to its own summary.
    bool draining = false; ///< It is leaving: not in answers to "which address", owns no cell.
    LogOffset configOffset = 0; ///< Configuration in force there up to this offset.
    bool logReachable = false;
    std::uint32_t load = 0; ///< Requests waiting or in flight there.

    bool operator==(const MemberSummary&) const = default;
};

enum class MemberState { Alive, Suspect, Dead, Left };

struct Member {
    MemberSummary summary;
    MemberState state = MemberState::Alive;
    TimePoint since {}; ///< When it came into that state, by the local clock.
};

/// What every router derives its decisions from; members in order of VmId, the local one included.
struct MembershipView {
    /// Grows when a member comes, or changes its life, state or draining flag; not with versions, loads and offsets,
    /// nor when one that is Dead or Left is heard of for the first time or forgotten.
    std::uint64_t version = 0;
    std::vector<Member> members;

    /// @return the member of that VM, or null.
    const Member* find(const VmId&) const;

    /// @return how many are Alive; a Suspect is not among them.
    std::size_t aliveCount() const;
};

struct GossipSettings {
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration ackTimeout
        = std::chrono::milliseconds(150); ///< Then the probe is repeated, and others are asked to probe.
    unsigned indirectProbes = 2; ///< Others that are asked.
    Duration suspicion
        = std::chrono::milliseconds(1500); ///< From suspect to dead unless refuted; grows with log10(members).

    /// Members that are Dead or Left stay in the view for so long; the dead for longer while no majority is heard.
    Duration forgetDead = std::chrono::seconds(120);
    unsigned piggybackMost = 6; ///< Whole summaries in one datagram.
    std::size_t datagramBytes = 1200; ///< Largest payload.
    Duration freshness = std::chrono::seconds(4); ///< See Gossip::hearsMajority().
};

/// A datagram to send.
struct Datagram {
    std::string address;
    std::string bytes;
};

/// The gossip state machine of one member.
class Gossip {
public:
    /// @param self the local member's first summary.
    /// @param seeds gossip addresses to join by; asked again while the local member knows no other.
    static std::unique_ptr<Gossip> make(
        MemberSummary self, const std::vector<std::string>& seeds, const GossipSettings&, std::unique_ptr<Random>);
    virtual ~Gossip() = default;

    /// Does what has come due. Call it at least each 50 ms. A longer gap counts as a pause of the local process, whose
    /// probes and suspicions then say nothing about others.
    virtual std::vector<Datagram> tick(TimePoint now) = 0;

    /// @return answers to send. Bytes that do not decode are counted and ignored.
    virtual std::vector<Datagram> receive(TimePoint now, const std::string& fromAddress, std::string_view bytes) = 0;

    /// Changes the local summary's load, draining, configuration offset and log flag; the version is set here. Draining
    /// is told at once; the others at most each 200 ms, or each second for the load, and more rarely in a large fleet.
    virtual void updateSelf(bool draining, LogOffset configOffset, bool logReachable, std::uint32_t load) = 0;

    /// Says goodbye, at the end of a planned stop. From then on nothing else is sent.
    virtual std::vector<Datagram> leave(TimePoint now) = 0;

    /// A hint from elsewhere (the platform's VM list, or a peer stream that broke): probe this member next.
    virtual void probeSoon(const VmId&) = 0;

    /// Another address to join by, such as one from the platform's VM list.
    virtual void addSeed(const std::string& gossipAddress) = 0;

    virtual const MembershipView& view() const = 0;
    virtual const MemberSummary& self() const = 0;

    /// @return whether a majority of the members not known to have left can be taken to have been reached within
    /// GossipSettings::freshness. What counts is an answer, direct or relayed, to a probe that was sent within that
    /// time; never what merely came in, as it may have waited in the socket while this process was paused. Up to some 8
    /// members all are probed in that time. In a larger fleet those not probed count by the share of probes that were
    /// answered, unless they are suspect or dead. False while no seed was ever reached. Cost grows with the number of
    /// members.
    virtual bool hearsMajority(TimePoint now) const = 0;

    /// @return whether a newer life of the local VM is known: this process is the older one and should exit. It sends
    /// nothing.
    virtual bool isSuperseded() const = 0;

    /// @return how many datagrams did not decode.
    virtual std::uint64_t undecodableCount() const = 0;
};

} // namespace sagechute::membership
