// The part of GossipMember that receives, and compares tables with others.

#include "membership/GossipMember.h"

#include <algorithm>

namespace sagechute::membership {
namespace {

    constexpr Duration kComparisonInterval = std::chrono::seconds(10);
    constexpr Duration kHurriedComparison = std::chrono::milliseconds(250);
    constexpr Duration kWantInterval = std::chrono::milliseconds(100);
    constexpr std::size_t kMembersInBucket = 16;

    bool isComparison(MessageKind kind)
    {
        return kind == MessageKind::Listing || kind == MessageKind::Want || kind == MessageKind::News;
    }

    std::size_t claimBytes(const std::vector<std::size_t>& members) { return members.size() * kClaimWithStatusBytes; }

} // namespace

std::vector<Datagram> GossipMember::receive(TimePoint now, const std::string& fromAddress, std::string_view bytes)
{
    const auto decoded = decode(bytes);
    if (!decoded.ok()) {
        ++m_undecodable;
        return {};
    }
    if (m_table.isSuperseded())
        return {};
    if (m_lastCall)
        advance(now);
    if (acceptSender(*decoded, fromAddress, now)) {
        Findings findings = mergeUpdates(*decoded, now);
        answer(*decoded, fromAddress, findings, now);
    }
    return takeOut();
}

bool GossipMember::acceptSender(const GossipMessage& received, const std::string& from, TimePoint now)
{
    const RouterLife& sender = received.sender.life;
    const RouterLife& self = m_table.self().life;
    if (sender == self)
        return false;
    if (sender.vm == self.vm && sender.incarnation > self.incarnation) {
        m_table.markSuperseded();
        return false;
    }
    if (m_table.isLeaving()) {
        GossipMessage goodbye = message(MessageKind::News);
        goodbye.claims.push_back(m_table.claimAbout(m_table.selfIndex()));
        send(std::move(goodbye), from, std::nullopt, now);
        return false;
    }
    const auto index = m_table.find(sender.vm);
    if (!index)
        return true;
    if (sender.incarnation < m_table.at(*index).summary.life.incarnation) {
        GossipMessage news = message(MessageKind::News);
        news.records.push_back(m_table.recordAbout(*index, now));
        send(std::move(news), from, std::nullopt, now);
        return false;
    }
    const bool isSameLife = sender.incarnation == m_table.at(*index).summary.life.incarnation;
    return !isSameLife || m_table.at(*index).state != MemberState::Left;
}

GossipMember::Findings GossipMember::mergeUpdates(const GossipMessage& received, TimePoint now)
{
    Findings findings;
    const ClaimSource source = isComparison(received.kind) ? ClaimSource::Comparison : ClaimSource::Rumour;
    const std::uint64_t viewBefore = m_table.view().version;
    for (const MemberRecord& it : received.records)
        note(m_table.merge(it, source, now), m_table.find(it.summary.life.vm), findings);
    if (m_table.merge(received.sender, now) == MergeResult::Unknown)
        findings.unknown.push_back(tagOf(received.sender.life));
    for (const Claim& it : received.claims) {
        const auto index = m_table.find(it.tag);
        if (index)
            note(m_table.merge(it, source, now), index, findings);
        else if (it.state == MemberState::Alive || it.state == MemberState::Suspect)
            findings.unknown.push_back(it.tag);
    }
    // Only what the local table gained counts: what the other side refuses to take would be offered for ever.
    findings.tablesDiffer |= source == ClaimSource::Comparison && m_table.view().version > viewBefore;
    m_metAnyone = true;
    return findings;
}

void GossipMember::note(MergeResult result, std::optional<std::size_t> index, Findings& findings)
{
    if (!index)
        return;
    if (result == MergeResult::Outdated)
        findings.corrections.push_back(*index);
    if (result == MergeResult::Doubted) {
        findings.tablesDiffer = true;
        probeSoon(m_table.at(*index).summary.life.vm);
    }
}

void GossipMember::answer(const GossipMessage& received, const std::string& from, Findings& findings, TimePoint now)
{
    const auto sender = m_table.find(tagOf(received.sender.life));
    GossipMessage reply = message(MessageKind::Want);
    switch (received.kind) {
    case MessageKind::Ping: {
        GossipMessage ack = message(MessageKind::Ack);
        ack.sequence = received.sequence;
        correct(ack, findings);
        send(std::move(ack), from, sender, now);
        break;
    }
    case MessageKind::Ack:
        handleAck(received, now);
        break;
    case MessageKind::ProbeRequest:
        handleProbeRequest(received, from, now);
        break;
    case MessageKind::RelayedAck:
        handleRelayedAck(received);
        break;
    case MessageKind::Join:
        handleJoin(from, sender, now);
        break;
    case MessageKind::Digest:
        handleDigest(received, from, sender, now);
        break;
    case MessageKind::Listing:
        handleListing(received, reply, now);
        break;
    case MessageKind::Want:
        handleWant(received, from, sender, now);
        break;
    case MessageKind::News:
        break;
    }
    wantRecords(from, std::move(reply), sender, findings, now);
}

void GossipMember::correct(GossipMessage& reply, Findings& findings) const
{
    for (const std::size_t it : findings.corrections) {
        if (2 * kClaimWithStatusBytes > freeBytes(reply))
            break;
        reply.claims.push_back(m_table.claimAbout(it));
    }
    findings.corrections.clear();
}

void GossipMember::wantRecords(
    const std::string& from, GossipMessage reply, std::optional<std::size_t> sender, Findings& findings, TimePoint now)
{
    if (!findings.unknown.empty() && now >= m_nextWant) {
        constexpr std::size_t kMostWanted = 9;
        m_nextWant = now + kWantInterval;
        findings.unknown.resize(std::min(findings.unknown.size(), kMostWanted));
        reply.wanted = std::move(findings.unknown);
    }
    // Symptom without this: one member, which the few rumours of a refutation missed, takes a live one for dead.
    correct(reply, findings);
    // A member that was taken for dead and speaks is told, so that it refutes.
    const bool isTold = m_out.empty() && sender && m_table.at(*sender).state != MemberState::Alive;
    if (!reply.wanted.empty() || !reply.claims.empty() || !reply.records.empty() || isTold)
        send(std::move(reply), from, sender, now);
    if (findings.tablesDiffer)
        m_nextComparison = std::min(m_nextComparison, now + kHurriedComparison);
}

void GossipMember::handleJoin(const std::string& from, std::optional<std::size_t> sender, TimePoint now)
{
    GossipMessage news = message(MessageKind::News);
    news.records.push_back(m_table.recordAbout(m_table.selfIndex(), now));
    // A part of the table; the newcomer gets the rest by comparing tables with several members.
    const std::size_t start = m_random->below(m_table.size());
    for (std::size_t n = 0; n < m_table.size(); ++n) {
        const std::size_t i = (start + n) % m_table.size();
        const MemberRecord record = m_table.recordAbout(i, now);
        if (i == sender || i == m_table.selfIndex())
            continue;
        if (encodedBytes(record) + 2 * kClaimWithStatusBytes > freeBytes(news))
            break;
        news.records.push_back(record);
    }
    send(std::move(news), from, sender, now);
}

std::uint32_t GossipMember::bucketCount() const
{
    std::uint32_t count = 1;
    while (count < kMostBuckets && count * kMembersInBucket < m_table.size())
        count *= 2;
    return count;
}

void GossipMember::compareTables(TimePoint now)
{
    if (now < m_nextComparison)
        return;
    m_nextComparison = now + kComparisonInterval;
    const auto partner = randomPartners(1, std::nullopt);
    if (partner.empty()) {
        m_nextComparison = now + kHurriedComparison;
        return;
    }
    GossipMessage digest = message(MessageKind::Digest);
    digest.hashes = m_table.bucketHashes(bucketCount());
    send(std::move(digest), m_table.at(partner.front()).summary.gossipAddress, partner.front(), now);
}

void GossipMember::handleDigest(
    const GossipMessage& digest, const std::string& from, std::optional<std::size_t> sender, TimePoint now)
{
    // A member with another number of buckets has a table of another size: there is nothing to compare, all may differ.
    const std::uint32_t count = std::max(bucketCount(), static_cast<std::uint32_t>(digest.hashes.size()));
    const auto hashes = m_table.bucketHashes(count);
    std::vector<std::vector<std::size_t>> differing(count);
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        const std::uint32_t bucket = MemberTable::bucketOf(m_table.at(i).summary.life.vm, count);
        if (digest.hashes.size() != count || digest.hashes[bucket] != hashes[bucket])
            differing[bucket].push_back(i);
    }
    GossipMessage listing = message(MessageKind::Listing);
    listing.bucketCount = count;
    const auto start = static_cast<std::uint32_t>(m_random->below(count));
    for (std::uint32_t n = 0; n < count; ++n) {
        const std::uint32_t bucket = (start + n) % count;
        const bool differs = digest.hashes.size() != count || digest.hashes[bucket] != hashes[bucket];
        if (!differs || claimBytes(differing[bucket]) + 2 * kClaimWithStatusBytes > freeBytes(listing))
            continue;
        listing.buckets.push_back(bucket);
        for (const std::size_t it : differing[bucket])
            listing.claims.push_back(m_table.claimAbout(it));
    }
    if (!listing.buckets.empty())
        send(std::move(listing), from, sender, now);
}

void GossipMember::handleListing(const GossipMessage& listing, GossipMessage& reply, TimePoint now)
{
    if (listing.bucketCount == 0)
        return;
    std::vector<LifeTag> listed;
    for (const Claim& it : listing.claims)
        listed.push_back(it.tag);
    std::sort(listed.begin(), listed.end());
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        const std::uint32_t bucket = MemberTable::bucketOf(m_table.at(i).summary.life.vm, listing.bucketCount);
        const bool isCovered
            = std::find(listing.buckets.begin(), listing.buckets.end(), bucket) != listing.buckets.end();
        if (!isCovered || std::binary_search(listed.begin(), listed.end(), m_table.track(i).tag))
            continue;
        const MemberRecord record = m_table.recordAbout(i, now);
        if (encodedBytes(record) + 2 * kClaimWithStatusBytes > freeBytes(reply))
            break;
        reply.records.push_back(record);
    }
    for (const Claim& it : listing.claims) {
        const auto index = m_table.find(it.tag);
        if (!index || 3 * kClaimWithStatusBytes > freeBytes(reply))
            continue;
        const Claim own = m_table.claimAbout(*index);
        const bool isNewer = own.status.version > it.status.version;
        const bool isLater = own.status.version == it.status.version && own.state > it.state;
        if (isNewer || isLater)
            reply.claims.push_back(own);
    }
}

void GossipMember::handleWant(
    const GossipMessage& want, const std::string& from, std::optional<std::size_t> sender, TimePoint now)
{
    GossipMessage news = message(MessageKind::News);
    for (const LifeTag it : want.wanted) {
        const auto index = m_table.find(it);
        if (!index || index == sender)
            continue;
        const MemberRecord record = m_table.recordAbout(*index, now);
        if (encodedBytes(record) + 2 * kClaimWithStatusBytes > freeBytes(news))
            break;
        news.records.push_back(record);
    }
    if (!news.records.empty())
        send(std::move(news), from, sender, now);
}

} // namespace sagechute::membership
