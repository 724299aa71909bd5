#include "membership/GossipMember.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {
namespace {

    /// Between tries to join while no other router is known. The first are quick: seeds that start a moment later would
    /// leave callers without an answer for the longest of them.
    constexpr Duration kFirstJoinInterval = std::chrono::milliseconds(200);
    constexpr Duration kMostJoinInterval = std::chrono::seconds(1);
    constexpr Duration kSearchInterval = std::chrono::seconds(10);
    constexpr std::size_t kSeedsAtOnce = 3;
    constexpr std::size_t kMostSeeds = 1024;
    constexpr std::size_t kMostSoon = 64;
    constexpr std::size_t kGoodbyes = 3;

    // Each member's status changes reach all others; these intervals per member keep their sum constant.
    constexpr Duration kStatusIntervalPerMember = std::chrono::milliseconds(20);
    constexpr Duration kLeastStatusInterval = std::chrono::milliseconds(200);
    constexpr Duration kLoadIntervalPerMember = std::chrono::milliseconds(100);
    constexpr Duration kLeastLoadInterval = std::chrono::seconds(1);
    constexpr std::uint32_t kLoadChangeDivisor = 4;
    constexpr std::uint32_t kSmallLoadChange = 2;

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
    , m_wantedStatus(statusOf(m_table.self()))
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
    m_table.forgetOld(now, hearsMajority(now));
    trackPartners();
    publishSelf(now);
    findOthers(now);
    runProbes(now);
    compareTables(now);
    return takeOut();
}

void GossipMember::advance(TimePoint now)
{
    if (!m_lastCall) {
        // Members that start together would probe in step for ever.
        m_nextProbe = now
            + Duration(static_cast<Duration::rep>(
                m_random->below(static_cast<std::uint64_t>(m_settings.probeInterval.count()) + 1)));
        m_nextComparison = now;
        m_nextSearch = now + kSearchInterval;
        m_lastCall = now;
        return;
    }
    const Duration gap = now - *m_lastCall;
    m_lastCall = std::max(now, *m_lastCall);
    // Symptom without this: a router that was paused for ten seconds declares the others dead as it goes on. Its
    // answers wait unread in the socket; all its timers are over. It stood still, so nothing it waited for says
    // anything.
    if (gap > m_settings.ackTimeout) {
        m_table.extendSuspicions(gap);
        m_probes.abandonOpen();
        m_nextProbe = std::max(m_nextProbe, now);
    }
}

void GossipMember::updateSelf(bool draining, LogOffset configOffset, bool logReachable, std::uint32_t load)
{
    m_wantedStatus = { 0, draining, logReachable, configOffset, load };
    if (draining != m_table.self().draining && !m_table.isLeaving())
        m_table.setSelfStatus(m_wantedStatus, true);
}

void GossipMember::publishSelf(TimePoint now)
{
    const MemberSummary& self = m_table.self();
    const auto members = static_cast<Duration::rep>(m_table.size());
    const std::uint32_t change = std::max(self.load, m_wantedStatus.load) - std::min(self.load, m_wantedStatus.load);
    const bool loadDiffers = change > std::max(kSmallLoadChange, self.load / kLoadChangeDivisor)
        && now - m_loadPublishedAt >= std::max(kLeastLoadInterval, members * kLoadIntervalPerMember);
    const bool restDiffers
        = (self.configOffset != m_wantedStatus.configOffset || self.logReachable != m_wantedStatus.logReachable)
        && now - m_publishedAt >= std::max(kLeastStatusInterval, members * kStatusIntervalPerMember);
    if (!loadDiffers && !restDiffers)
        return;
    m_publishedAt = now;
    m_loadPublishedAt = now;
    m_table.setSelfStatus(m_wantedStatus, false);
}

std::vector<Datagram> GossipMember::leave(TimePoint now)
{
    if (m_table.isLeaving() || m_table.isSuperseded())
        return {};
    m_table.leave(now);
    const auto digits = static_cast<std::size_t>(std::log2(m_table.size()));
    for (const std::size_t it : randomPartners(kGoodbyes + digits, std::nullopt)) {
        GossipMessage goodbye = message(MessageKind::News);
        goodbye.claims.push_back(m_table.claimAbout(m_table.selfIndex()));
        send(std::move(goodbye), m_table.at(it).summary.gossipAddress, it, now);
    }
    return takeOut();
}

void GossipMember::probeSoon(const VmId& vm)
{
    const bool isThere = std::find(m_soon.begin(), m_soon.end(), vm) != m_soon.end();
    if (!isThere && m_soon.size() < kMostSoon)
        m_soon.push_back(vm);
}

void GossipMember::addSeed(const std::string& gossipAddress)
{
    const bool isThere = std::find(m_seeds.begin(), m_seeds.end(), gossipAddress) != m_seeds.end();
    if (!isThere && gossipAddress != m_table.self().gossipAddress && m_seeds.size() < kMostSeeds)
        m_seeds.push_back(gossipAddress);
}

void GossipMember::findOthers(TimePoint now)
{
    const bool isAlone = m_table.partnerCount() == 0;
    const bool isDue = isAlone ? now >= m_nextJoin : now >= m_nextSearch;
    if (!isDue)
        return;
    m_nextJoin = now + m_joinInterval;
    m_joinInterval = isAlone ? std::min(2 * m_joinInterval, kMostJoinInterval) : kFirstJoinInterval;
    // Up to half an interval of jitter: after a partition the members of both sides don't search all at once.
    m_nextSearch = now + kSearchInterval / 2
        + Duration(static_cast<Duration::rep>(m_random->below(static_cast<std::uint64_t>(kSearchInterval.count()))));
    std::vector<std::string> addresses = strangers();
    const std::size_t most = isAlone ? kSeedsAtOnce : 1;
    for (std::size_t n = 0; n < most && !addresses.empty(); ++n) {
        const std::size_t place = m_random->below(addresses.size());
        join(addresses[place], now);
        addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(place));
    }
}

std::vector<std::string> GossipMember::strangers() const
{
    std::vector<std::string> addresses = m_seeds;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (m_table.at(i).state == MemberState::Dead)
            addresses.push_back(m_table.at(i).summary.gossipAddress);
    }
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        if (m_table.isPartner(i))
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
    used += kNumberBytes * (message.hashes.size() + message.buckets.size() + message.wanted.size());
    for (const MemberRecord& it : message.records)
        used += encodedBytes(it);
    return m_settings.datagramBytes > used ? m_settings.datagramBytes - used : 0;
}

void GossipMember::send(
    GossipMessage message, const std::string& address, std::optional<std::size_t> receiver, TimePoint now)
{
    if (receiver && receiver != m_table.selfIndex()) {
        // Whoever is thought not to be well is told so in each datagram: it alone can refute it.
        const Track& track = m_table.track(*receiver);
        Claim claim = m_table.claimAbout(*receiver);
        if (track.accusedVersion && *track.accusedVersion >= claim.status.version) {
            claim.state = MemberState::Suspect;
            claim.status.version = *track.accusedVersion;
        }
        if (claim.state != MemberState::Alive)
            message.claims.push_back(claim);
    }
    m_table.takeRumours(message, receiver, freeBytes(message), now);
    m_out.push_back({ address, encode(message) });
}

std::vector<Datagram> GossipMember::takeOut()
{
    std::vector<Datagram> out;
    out.swap(m_out);
    return out;
}

bool GossipMember::hearsMajority(TimePoint now) const
{
    const TimePoint oldest = now - m_settings.freshness;
    std::size_t count = 0;
    std::size_t heard = 0;
    std::size_t unasked = 0;
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        const MemberState state = m_table.at(i).state;
        if (state == MemberState::Left)
            continue;
        ++count;
        const Track& track = m_table.track(i);
        if (i == m_table.selfIndex() || (track.heardAt && *track.heardAt >= oldest))
            ++heard;
        else if (state == MemberState::Alive)
            ++unasked;
    }
    // A fresh process that reached no seed is not a fleet of one.
    if (count == 1 && !m_metAnyone && !m_seeds.empty())
        return false;
    const double reached = static_cast<double>(heard) + static_cast<double>(unasked) * m_probes.answeredShare(oldest);
    return 2 * reached > static_cast<double>(count);
}

} // namespace sagechute::membership
