#pragma once

/// @file
/// SWIM-style fleet membership: gossip with incarnations, suspicion and member summaries. Pure decision logic, without
/// sockets, threads or clock.

#include <sagechute/Core.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::membership {

/// Addresses and status of a member, disseminated by gossip.
struct MemberSummary {
    RouterLife life;
    ZoneId zone;
    std::string gossipAddress; ///< "ADDRESS:PORT"; same format for the next two.
    std::string peerAddress;
    std::string callerAddress;
    std::uint32_t capacity = 0; ///< Thousandths of a core that the process may use; 0: unknown.
    std::uint64_t version = 0; ///< Incremented by the member on each change to its own summary.
    bool draining = false; ///< The member is leaving: it is not returned by address resolution and owns no cell.
    LogOffset configOffset = 0; ///< The member has applied the configuration up to this offset.
    bool logReachable = false;
    std::uint32_t load = 0; ///< Requests queued or in flight on the member.

    bool operator==(const MemberSummary&) const = default;
};

enum class MemberState { Alive, Suspect, Dead, Left };

struct Member {
    MemberSummary summary;
    MemberState state = MemberState::Alive;
    TimePoint since {}; ///< Time of entry into `state`, by the local clock.
};

/// Snapshot of the membership that routers base decisions on. Members are sorted by VmId and include the local one.
struct MembershipView {
    /// Incremented when a member is added, or changes its life, state or draining flag. Not incremented by changes of
    /// summary version, load or offset, nor when a Dead or Left member is first learned of or removed.
    std::uint64_t version = 0;
    std::vector<Member> members;

    /// @return the member of that VM, or null if there is none.
    const Member* find(const VmId&) const;

    /// @return the number of Alive members; Suspect ones are not counted.
    std::size_t aliveCount() const;
};

struct GossipSettings {
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(
        150); ///< Time to wait for an ack before repeating the ping and requesting indirect probes.
    unsigned indirectProbes = 2; ///< Number of members asked for an indirect probe.
    Duration suspicion
        = std::chrono::milliseconds(1500); ///< Time from Suspect to Dead unless refuted; scaled by log10(members).

    /// Retention of Dead and Left members in the view. Dead members are kept longer while no majority is reachable.
    Duration forgetDead = std::chrono::seconds(120);
    unsigned maxPiggybackedRecords = 6; ///< Maximum number of full records in one datagram.
    std::size_t datagramBytes = 1200; ///< Maximum payload size.
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
    /// @param seeds gossip addresses to join through; retried while the local member knows no other member.
    static std::unique_ptr<Gossip> make(
        MemberSummary self, const std::vector<std::string>& seeds, const GossipSettings&, std::unique_ptr<Random>);
    virtual ~Gossip() = default;

    /// Runs all due timers. Call it at least every 50 ms. A gap longer than GossipSettings::ackTimeout is treated as a
    /// pause of the local process, which invalidates its probes and extends its suspicions.
    virtual std::vector<Datagram> tick(TimePoint now) = 0;

    /// @return replies to send. Datagrams that fail to decode are counted and ignored.
    virtual std::vector<Datagram> receive(TimePoint now, const std::string& fromAddress, std::string_view bytes) = 0;

    /// Sets the load, draining flag, configuration offset and log flag of the local summary and increments its version.
    /// A draining change is published immediately; the others at most every 200 ms (the load at most every second), and
    /// less often in a large fleet.
    virtual void updateSelf(bool draining, LogOffset configOffset, bool logReachable, std::uint32_t load) = 0;

    /// Announces a planned stop. After this only replies that repeat the announcement are sent.
    virtual std::vector<Datagram> leave(TimePoint now) = 0;

    /// Queues a member for an early probe, on an external hint such as the platform's VM list or a broken peer stream.
    virtual void probeSoon(const VmId&) = 0;

    /// Adds an address to join through, such as one from the platform's VM list.
    virtual void addSeed(const std::string& gossipAddress) = 0;

    virtual const MembershipView& view() const = 0;
    virtual const MemberSummary& self() const = 0;

    /// @return whether a majority of the members that are not Left is estimated to be reachable within
    /// GossipSettings::freshness. Only direct or relayed acks to probes sent within that time count. Other received
    /// datagrams do not, since they may have been queued in the socket while this process was paused. Up to about 8
    /// members are all probed within that time; in a larger fleet, unprobed Alive members are weighted by the fraction
    /// of acked probes. False until a seed has been reached. O(members).
    virtual bool hearsMajority(TimePoint now) const = 0;

    /// @return whether a newer incarnation of the local VM is known. This process then sends nothing and should exit.
    virtual bool isSuperseded() const = 0;

    /// @return the number of datagrams that failed to decode.
    virtual std::uint64_t undecodableCount() const = 0;
};

} // namespace sagechute::membership
