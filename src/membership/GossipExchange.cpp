// The part of GossipMember that handles received datagrams and runs anti-entropy.

#include "membership/GossipMember.h"

#include <algorithm>

namespace sagechute::membership {
namespace {

    constexpr Duration kAntiEntropyInterval = std::chrono::seconds(10);
    constexpr Duration kFastAntiEntropyInterval = std::chrono::milliseconds(250);
    constexpr Duration kRecordRequestInterval = std::chrono::milliseconds(100);
    constexpr std::size_t kMembersPerBucket = 16;

    bool isAntiEntropy(MessageKind kind)
    {
        return kind == MessageKind::BucketListing || kind == MessageKind::RecordRequest || kind == MessageKind::Update;
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
        MergeFindings findings = mergeUpdates(*decoded, now);
        handleMessage(*decoded, fromAddress, findings, now);
    }
    return takeOutgoing();
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
        GossipMessage leaveNotice = message(MessageKind::Update);
        leaveNotice.claims.push_back(m_table.claimAbout(m_table.selfIndex()));
        send(std::move(leaveNotice), from, std::nullopt, now);
        return false;
    }
    const auto index = m_table.find(sender.vm);
    if (!index)
        return true;
    if (sender.incarnation < m_table.at(*index).summary.life.incarnation) {
        GossipMessage news = message(MessageKind::Update);
        news.records.push_back(m_table.recordAbout(*index, now));
        send(std::move(news), from, std::nullopt, now);
        return false;
    }
    const bool isSameLife = sender.incarnation == m_table.at(*index).summary.life.incarnation;
    return !isSameLife || m_table.at(*index).state != MemberState::Left;
}

GossipMember::MergeFindings GossipMember::mergeUpdates(const GossipMessage& received, TimePoint now)
{
    MergeFindings findings;
    const ClaimSource source = isAntiEntropy(received.kind) ? ClaimSource::AntiEntropy : ClaimSource::Dissemination;
    const std::uint64_t viewBefore = m_table.view().version;
    for (const MemberRecord& it : received.records)
        recordMergeResult(m_table.merge(it, source, now), m_table.find(it.summary.life.vm), findings);
    if (m_table.merge(received.sender, now) == MergeResult::Unknown)
        findings.unknown.push_back(tagOf(received.sender.life));
    for (const Claim& it : received.claims) {
        const auto index = m_table.find(it.tag);
        if (index)
            recordMergeResult(m_table.merge(it, source, now), index, findings);
        else if (it.state == MemberState::Alive || it.state == MemberState::Suspect)
            findings.unknown.push_back(it.tag);
    }
    // Only changes to the local table count; otherwise updates that the other side rejects would be offered for ever.
    findings.tablesDiffer |= source == ClaimSource::AntiEntropy && m_table.view().version > viewBefore;
    m_hasHeardFromPeer = true;
    return findings;
}

void GossipMember::recordMergeResult(MergeResult result, std::optional<std::size_t> index, MergeFindings& findings)
{
    if (!index)
        return;
    if (result == MergeResult::Outdated)
        findings.corrections.push_back(*index);
    if (result == MergeResult::Disputed) {
        findings.tablesDiffer = true;
        probeSoon(m_table.at(*index).summary.life.vm);
    }
}

void GossipMember::handleMessage(
    const GossipMessage& received, const std::string& from, MergeFindings& findings, TimePoint now)
{
    const auto sender = m_table.find(tagOf(received.sender.life));
    GossipMessage reply = message(MessageKind::RecordRequest);
    switch (received.kind) {
    case MessageKind::Ping: {
        GossipMessage ack = message(MessageKind::Ack);
        ack.sequence = received.sequence;
        addCorrections(ack, findings);
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
    case MessageKind::BucketListing:
        handleBucketListing(received, reply, now);
        break;
    case MessageKind::RecordRequest:
        handleRecordRequest(received, from, sender, now);
        break;
    case MessageKind::Update:
        break;
    }
    sendFollowUp(from, std::move(reply), sender, findings, now);
}

void GossipMember::addCorrections(GossipMessage& reply, MergeFindings& findings) const
{
    for (const std::size_t it : findings.corrections) {
        if (2 * kClaimWithStatusBytes > freeBytes(reply))
            break;
        reply.claims.push_back(m_table.claimAbout(it));
    }
    findings.corrections.clear();
}

void GossipMember::sendFollowUp(const std::string& from, GossipMessage reply, std::optional<std::size_t> sender,
    MergeFindings& findings, TimePoint now)
{
    if (!findings.unknown.empty() && now >= m_nextRecordRequest) {
        constexpr std::size_t kMaxRequestedRecords = 9;
        m_nextRecordRequest = now + kRecordRequestInterval;
        findings.unknown.resize(std::min(findings.unknown.size(), kMaxRequestedRecords));
        reply.requestedTags = std::move(findings.unknown);
    }
    // Otherwise a member that missed the few copies of a refutation would declare a live member dead.
    addCorrections(reply, findings);
    // Notify a sender that is not Alive locally, so that it can refute.
    const bool needsNotice = m_outgoing.empty() && sender && m_table.at(*sender).state != MemberState::Alive;
    if (!reply.requestedTags.empty() || !reply.claims.empty() || !reply.records.empty() || needsNotice)
        send(std::move(reply), from, sender, now);
    if (findings.tablesDiffer)
        m_nextAntiEntropy = std::min(m_nextAntiEntropy, now + kFastAntiEntropyInterval);
}

void GossipMember::handleJoin(const std::string& from, std::optional<std::size_t> sender, TimePoint now)
{
    GossipMessage news = message(MessageKind::Update);
    news.records.push_back(m_table.recordAbout(m_table.selfIndex(), now));
    // Only part of the table fits; the joining member gets the rest by anti-entropy with several members.
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
    while (count < kMaxBuckets && count * kMembersPerBucket < m_table.size())
        count *= 2;
    return count;
}

void GossipMember::startAntiEntropy(TimePoint now)
{
    if (now < m_nextAntiEntropy)
        return;
    m_nextAntiEntropy = now + kAntiEntropyInterval;
    const auto partner = randomPeers(1, std::nullopt);
    if (partner.empty()) {
        m_nextAntiEntropy = now + kFastAntiEntropyInterval;
        return;
    }
    GossipMessage digest = message(MessageKind::Digest);
    digest.hashes = m_table.bucketHashes(bucketCount());
    send(std::move(digest), m_table.at(partner.front()).summary.gossipAddress, partner.front(), now);
}

void GossipMember::handleDigest(
    const GossipMessage& digest, const std::string& from, std::optional<std::size_t> sender, TimePoint now)
{
    // A different bucket count means a table of a different size; hashes cannot be compared, so all buckets may differ.
    const std::uint32_t count = std::max(bucketCount(), static_cast<std::uint32_t>(digest.hashes.size()));
    const auto hashes = m_table.bucketHashes(count);
    std::vector<std::vector<std::size_t>> differing(count);
    for (std::size_t i = 0; i < m_table.size(); ++i) {
        const std::uint32_t bucket = MemberTable::bucketOf(m_table.at(i).summary.life.vm, count);
        if (digest.hashes.size() != count || digest.hashes[bucket] != hashes[bucket])
            differing[bucket].push_back(i);
    }
    GossipMessage listing = message(MessageKind::BucketListing);
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

void GossipMember::handleBucketListing(const GossipMessage& listing, GossipMessage& reply, TimePoint now)
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
        if (!isCovered || std::binary_search(listed.begin(), listed.end(), m_table.gossipState(i).tag))
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

void GossipMember::handleRecordRequest(
    const GossipMessage& want, const std::string& from, std::optional<std::size_t> sender, TimePoint now)
{
    GossipMessage news = message(MessageKind::Update);
    for (const LifeTag it : want.requestedTags) {
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
