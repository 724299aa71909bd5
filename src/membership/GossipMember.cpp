#include "membership/GossipMember.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {
namespace {

    /// Interval between join attempts while no other router is known. It starts short: with seeds that start slightly
    /// later, callers would otherwise go unanswered for the maximum interval.
    constexpr Duration kFirstJoinInterval = std::chrono::milliseconds(200);
    constexpr Duration kMaxJoinInterval = std::chrono::seconds(1);
    constexpr Duration kSearchInterval = std::chrono::seconds(10);
    constexpr std::size_t kSeedsPerJoin = 3;
    constexpr std::size_t kMaxSeeds = 1024;
    constexpr std::size_t kMaxPriorityProbes = 64;
    constexpr std::size_t kMinLeaveNotices = 3;

    // Each member's status changes reach all others; intervals proportional to the member count keep the total rate
    // constant.
    constexpr Duration kStatusIntervalPerMember = std::chrono::milliseconds(20);
    constexpr Duration kMinStatusInterval = std::chrono::milliseconds(200);
    constexpr Duration kLoadIntervalPerMember = std::chrono::milliseconds(100);
    constexpr Duration kMinLoadInterval = std::chrono::seconds(1);
    constexpr std::uint32_t kLoadChangeDivisor = 4;
    constexpr std::uint32_t kMinLoadChange = 2;

} // namespace

std::unique_ptr<Gossip> Gossip::make(MemberSummary self, const std::vector<std::string>& seeds,
    const GossipSettings& settings, std::unique_ptr<Random> random)
{
    return std::make_unique<GossipMember>(std::move(self), seeds, settings, std::move(random));
}

GossipMember::GossipMember(MemberSummary self, const std::vector<std::string>& seeds, const GossipSettings& settings,
    std::unique_ptr<Random> random)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_table(std::move(self), settings)
    , m_pendingStatus(statusOf(m_table.self()))
    , m_sequence(static_cast<std::uint16_t>(m_random->next()))
    , m_joinInterval(kFirstJoinInterval)
{
    for (const std::string& it : seeds)
        addSeed(it);
}

std::vector<Datagram> GossipMember::tick(TimePoint now)
{
    if (m_table.isLeaving() || m_table.isSuperseded())
        return {};
    advance(now);
    m_table.expireSuspicions(now);
    m_table.removeExpired(now, hearsMajority(now));
    updateProbeOrder();
    publishSelf(now);
    discoverPeers(now);
    runProbes(now);
    startAntiEntropy(now);
    return takeOutgoing();
}

void GossipMember::advance(TimePoint now)
{
    if (!m_lastCall) {
        // Random phase; members that start together would otherwise probe in lockstep.
        m_nextProbe = now
            + Duration(static_cast<Duration::rep>(
                m_random->below(static_cast<std::uint64_t>(m_settings.probeInterval.count()) + 1)));
        m_nextAntiEntropy = now;
        m_nextSearch = now + kSearchInterval;
        m_lastCall = now;
        return;
    }
    const Duration gap = now - *m_lastCall;
    m_lastCall = std::max(now, *m_lastCall);
    // Otherwise a router that was paused for ten seconds would declare the others dead when it resumes: all its timers
    // have expired, while the acks are still queued in its socket. Timeouts during a pause say nothing about other
    // members.
    if (gap > m_settings.ackTimeout) {
        m_table.extendSuspicions(gap);
        m_probes.cancelOpen();
        m_nextProbe = std::max(m_nextProbe, now);
    }
}

void GossipMember::updateSelf(bool draining, LogOffset configOffset, bool logReachable, std::uint32_t load)
{
    m_pendingStatus = { 0, draining, logReachable, configOffset, load };
    if (draining != m_table.self().draining && !m_table.isLeaving())
        m_table.setSelfStatus(m_pendingStatus, true);
}

void GossipMember::publishSelf(TimePoint now)
{
    const MemberSummary& self = m_table.self();
    const auto members = static_cast<Duration::rep>(m_table.size());
    const std::uint32_t change = std::max(self.load, m_pendingStatus.load) - std::min(self.load, m_pendingStatus.load);
    const bool loadDiffers = change > std::max(kMinLoadChange, self.load / kLoadChangeDivisor)
        && now - m_loadPublishedAt >= std::max(kMinLoadInterval, members * kLoadIntervalPerMember);
    const bool restDiffers
        = (self.configOffset != m_pendingStatus.configOffset || self.logReachable != m_pendingStatus.logReachable)
        && now - m_publishedAt >= std::max(kMinStatusInterval, members * kStatusIntervalPerMember);
    if (!loadDiffers && !restDiffers)
        return;
    m_publishedAt = now;
    m_loadPublishedAt = now;
    m_table.setSelfStatus(m_pendingStatus, false);
}

std::vector<Datagram> GossipMember::leave(TimePoint now)
{
    if (m_table.isLeaving() || m_table.isSuperseded())
        return {};
    m_table.leave(now);
    const auto digits = static_cast<std::size_t>(std::log2(m_table.size()));
    for (const std::size_t it : randomPeers(kMinLeaveNotices + digits, std::nullopt)) {
        GossipMessage leaveNotice = message(MessageKind::Update);
        leaveNotice.claims.push_back(m_table.claimAbout(m_table.selfIndex()));
        send(std::move(leaveNotice), m_table.at(it).summary.gossipAddress, it, now);
    }
    return takeOutgoing();
}

void GossipMember::probeSoon(const VmId& vm)
{
    const bool isPresent = std::find(m_priorityProbes.begin(), m_priorityProbes.end(), vm) != m_priorityProbes.end();
    if (!isPresent && m_priorityProbes.size() < kMaxPriorityProbes)
        m_priorityProbes.push_back(vm);
}

void GossipMember::addSeed(const std::string& gossipAddress)
{
    const bool isPresent = std::find(m_seeds.begin(), m_seeds.end(), gossipAddress) != m_seeds.end();
    if (!isPresent && gossipAddress != m_table.self().gossipAddress && m_seeds.size() < kMaxSeeds)
        m_seeds.push_back(gossipAddress);
}

void GossipMember::discoverPeers(TimePoint now)
{
    const bool isAlone = m_table.activePeerCount() == 0;
    const bool isDue = isAlone ? now >= m_nextJoin : now >= m_nextSearch;
    if (!isDue)
        return;
    m_nextJoin = now + m_joinInterval;
    m_joinInterval = isAlone ? std::min(2 * m_joinInterval, kMaxJoinInterval) : kFirstJoinInterval;
    // Jitter of up to half an interval, so that after a partition the members of both sides don't all search at once.
    m_nextSearch = now + kSearchInterval / 2
        + Duration(static_cast<Duration::rep>(m_random->below(static_cast<std::uint64_t>(kSearchInterval.count()))));
    std::vector<std::string> addresses = joinCandidates();
    const std::size_t maxCount = isAlone ? kSeedsPerJoin : 1;
    for (std::size_t n = 0; n < maxCount && !addresses.empty(); ++n) {
        const std::size_t place = m_random->below(addresses.size());
        join(addresses[place], now);
        addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(place));
    }
}

std::vector<std::string> GossipMember::joinCandidates() const
{
    std::vector<std::string> addresses = m_seeds;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (m_table.at(i).state == MemberState::Dead)
            addresses.push_back(m_table.at(i).summary.gossipAddress);
    }
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (m_table.isActivePeer(i))
            std::erase(addresses, m_table.at(i).summary.gossipAddress);
    }
    return addresses;
}

void GossipMember::join(const std::string& address, TimePoint now)
{
    GossipMessage request = message(MessageKind::Join);
    request.records.push_back(m_table.recordAbout(m_table.selfIndex(), now));
    std::optional<std::size_t> receiver;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (i != m_table.selfIndex() && m_table.at(i).summary.gossipAddress == address)
            receiver = i;
    }
    send(std::move(request), address, receiver, now);
}

GossipMessage GossipMember::message(MessageKind kind) const
{
    GossipMessage message;
    message.kind = kind;
    message.sender = { m_table.self().life, statusOf(m_table.self()) };
    return message;
}

std::size_t GossipMember::freeBytes(const GossipMessage& message) const
{
    constexpr std::size_t kHeaderBytes = 48;
    constexpr std::size_t kNumberBytes = 5;
    std::size_t used
        = kHeaderBytes + message.sender.life.vm.value.size() + message.claims.size() * kClaimWithStatusBytes;
    used += kNumberBytes * (message.hashes.size() + message.buckets.size() + message.requestedTags.size());
    for (const MemberRecord& it : message.records)
        used += encodedBytes(it);
    return m_settings.datagramBytes > used ? m_settings.datagramBytes - used : 0;
}

void GossipMember::send(
    GossipMessage message, const std::string& address, std::optional<std::size_t> receiver, TimePoint now)
{
    if (receiver && receiver != m_table.selfIndex()) {
        // Tell a suspected or dead receiver so in each datagram, since only it can refute that.
        const GossipState& gossipState = m_table.gossipState(*receiver);
        Claim claim = m_table.claimAbout(*receiver);
        if (gossipState.reportedDeadVersion && *gossipState.reportedDeadVersion >= claim.status.version) {
            claim.state = MemberState::Suspect;
            claim.status.version = *gossipState.reportedDeadVersion;
        }
        if (claim.state != MemberState::Alive)
            message.claims.push_back(claim);
    }
    m_table.takePiggybackedUpdates(message, receiver, freeBytes(message), now);
    m_outgoing.push_back({ address, encode(message) });
}

std::vector<Datagram> GossipMember::takeOutgoing()
{
    std::vector<Datagram> out;
    out.swap(m_outgoing);
    return out;
}

bool GossipMember::hearsMajority(TimePoint now) const
{
    const TimePoint oldest = now - m_settings.freshness;
    std::size_t count = 0;
    std::size_t ackedCount = 0;
    std::size_t unprobed = 0;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        const MemberState state = m_table.at(i).state;
        if (state == MemberState::Left)
            continue;
        ++count;
        const GossipState& gossipState = m_table.gossipState(i);
        if (i == m_table.selfIndex() || (gossipState.ackedProbeSentAt && *gossipState.ackedProbeSentAt >= oldest))
            ++ackedCount;
        else if (state == MemberState::Alive)
            ++unprobed;
    }
    // A process that has just started and reached no seed is not a fleet of one.
    if (count == 1 && !m_hasHeardFromPeer && !m_seeds.empty())
        return false;
    const double reached
        = static_cast<double>(ackedCount) + static_cast<double>(unprobed) * m_probes.ackedShare(oldest);
    return 2 * reached > static_cast<double>(count);
}

} // namespace sagechute::membership
