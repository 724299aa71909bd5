#include "membership/GossipMessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace sagechute::membership {
namespace {

    using nlohmann::json;

    constexpr unsigned kStateMask = 3;
    constexpr unsigned kDrainingFlag = 4;
    constexpr unsigned kLogFlag = 8;
    constexpr unsigned kMaxFlags = 15;
    constexpr std::size_t kMaxTextBytes = 128;
    constexpr std::size_t kMaxItems = 512;
    constexpr std::size_t kClaimFields = 3;
    constexpr std::size_t kClaimWithStatusFields = 5;
    constexpr std::size_t kRecordFields = 13;
    constexpr std::size_t kHeaderFields = 9;
    constexpr int kMaxNestingDepth = 4;
    constexpr std::uint64_t kMaxAgeSeconds = 30ULL * 24 * 3600;
    constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

    unsigned flagsOf(MemberState state, const MemberStatus& status)
    {
        return static_cast<unsigned>(state) | (status.draining ? kDrainingFlag : 0)
            | (status.logReachable ? kLogFlag : 0);
    }

    json encodeClaim(const Claim& claim)
    {
        const MemberStatus& status = claim.status;
        json item = json::array({ claim.tag, status.version, flagsOf(claim.state, status) });
        if (claim.state == MemberState::Alive) {
            item.push_back(status.configOffset);
            item.push_back(status.load);
        }
        return item;
    }

    json encodeRecord(const MemberRecord& record)
    {
        const MemberSummary& summary = record.summary;
        const MemberStatus status = statusOf(summary);
        return json::array({ summary.life.vm.value, summary.life.incarnation, summary.zone.value, summary.gossipAddress,
            summary.peerAddress, summary.callerAddress, summary.capacity, status.version, flagsOf(record.state, status),
            status.configOffset, status.load, record.stateVersion,
            std::chrono::duration_cast<std::chrono::seconds>(record.age).count() });
    }

    /// Reads the items of a decoded array in order. After the first invalid item all reads fail.
    class ArrayReader {
    public:
        ArrayReader(const json& array, std::size_t minSize, std::size_t limit)
            : m_array(array)
            , m_ok(array.is_array() && array.size() >= minSize && array.size() <= limit)
        {
        }

        bool ok() const { return m_ok; }
        bool atEnd() const { return !m_ok || m_next == m_array.size(); }

        const json* item()
        {
            if (atEnd()) {
                m_ok = false;
                return nullptr;
            }
            return &m_array[m_next++];
        }

        template <typename Number> Number number(std::uint64_t limit = std::numeric_limits<Number>::max())
        {
            const json* it = item();
            if (!it || !it->is_number_unsigned() || it->get<std::uint64_t>() > limit) {
                m_ok = false;
                return 0;
            }
            return static_cast<Number>(it->get<std::uint64_t>());
        }

        std::string text()
        {
            const json* it = item();
            if (!it || !it->is_string() || it->get_ref<const std::string&>().size() > kMaxTextBytes) {
                m_ok = false;
                return {};
            }
            return it->get<std::string>();
        }

        std::vector<std::uint32_t> numbers(std::size_t limit)
        {
            std::vector<std::uint32_t> found;
            const json* it = item();
            if (!it)
                return found;
            ArrayReader inner(*it, 0, limit);
            while (!inner.atEnd())
                found.push_back(inner.number<std::uint32_t>());
            m_ok = m_ok && inner.ok();
            return found;
        }

    private:
        const json& m_array;
        bool m_ok;
        std::size_t m_next = 0;
    };

    MemberState readFlags(ArrayReader& reader, MemberStatus& status)
    {
        const auto flags = reader.number<unsigned>(kMaxFlags);
        status.draining = flags & kDrainingFlag;
        status.logReachable = flags & kLogFlag;
        return static_cast<MemberState>(flags & kStateMask);
    }

    bool readClaim(const json& item, Claim& claim)
    {
        ArrayReader reader(item, kClaimFields, kClaimWithStatusFields);
        claim.tag = reader.number<LifeTag>();
        claim.status.version = reader.number<std::uint64_t>(kMaxUint64 - 1);
        claim.state = readFlags(reader, claim.status);
        if (claim.state == MemberState::Alive) {
            claim.status.configOffset = reader.number<LogOffset>();
            claim.status.load = reader.number<std::uint32_t>();
        }
        return reader.ok() && reader.atEnd();
    }

    bool readRecord(const json& item, MemberRecord& record)
    {
        ArrayReader reader(item, kRecordFields, kRecordFields);
        MemberSummary& summary = record.summary;
        MemberStatus status;
        summary.life.vm.value = reader.text();
        summary.life.incarnation = reader.number<Incarnation>();
        summary.zone.value = reader.text();
        summary.gossipAddress = reader.text();
        summary.peerAddress = reader.text();
        summary.callerAddress = reader.text();
        summary.capacity = reader.number<std::uint32_t>();
        summary.version = reader.number<std::uint64_t>(kMaxUint64 - 1);
        record.state = readFlags(reader, status);
        summary.draining = status.draining;
        summary.logReachable = status.logReachable;
        summary.configOffset = reader.number<LogOffset>();
        summary.load = reader.number<std::uint32_t>();
        record.stateVersion = reader.number<std::uint64_t>(kMaxUint64 - 1);
        record.age = std::chrono::seconds(reader.number<std::uint64_t>(kMaxAgeSeconds));
        return reader.ok() && !summary.life.vm.empty();
    }

    bool readUpdates(const json* items, GossipMessage& message)
    {
        if (!items || !items->is_array() || items->size() > kMaxItems)
            return false;
        return std::all_of(items->begin(), items->end(), [&message](const json& it) {
            const bool isRecord = it.is_array() && !it.empty() && it.front().is_string();
            return isRecord ? readRecord(it, message.records.emplace_back())
                            : readClaim(it, message.claims.emplace_back());
        });
    }

    void writeDetails(const GossipMessage& message, json& out)
    {
        switch (message.kind) {
        case MessageKind::ProbeRequest:
        case MessageKind::RelayedAck:
            out.push_back(message.target);
            return;
        case MessageKind::Digest:
            out.push_back(message.hashes);
            return;
        case MessageKind::BucketListing:
            out.push_back(message.bucketCount);
            out.push_back(message.buckets);
            return;
        case MessageKind::RecordRequest:
            out.push_back(message.requestedTags);
            return;
        default:
            return;
        }
    }

    void readDetails(ArrayReader& reader, GossipMessage& message)
    {
        switch (message.kind) {
        case MessageKind::ProbeRequest:
        case MessageKind::RelayedAck:
            message.target = reader.number<LifeTag>();
            return;
        case MessageKind::Digest:
            message.hashes = reader.numbers(kMaxBuckets);
            return;
        case MessageKind::BucketListing:
            message.bucketCount = reader.number<std::uint32_t>(kMaxBuckets);
            message.buckets = reader.numbers(kMaxBuckets);
            return;
        case MessageKind::RecordRequest:
            message.requestedTags = reader.numbers(kMaxItems);
            return;
        default:
            return;
        }
    }

} // namespace

LifeTag tagOf(const RouterLife& life) { return static_cast<LifeTag>(stableHash(life.vm.value, life.incarnation)); }

MemberStatus statusOf(const MemberSummary& summary)
{
    return { summary.version, summary.draining, summary.logReachable, summary.configOffset, summary.load };
}

std::size_t encodedBytes(const MemberRecord& record)
{
    constexpr std::size_t kNumberBytes = 64;
    const MemberSummary& summary = record.summary;
    return kNumberBytes + summary.life.vm.value.size() + summary.zone.value.size() + summary.gossipAddress.size()
        + summary.peerAddress.size() + summary.callerAddress.size();
}

std::string encode(const GossipMessage& message)
{
    const MemberStatus& status = message.sender.status;
    json updates = json::array();
    for (const Claim& it : message.claims)
        updates.push_back(encodeClaim(it));
    for (const MemberRecord& it : message.records)
        updates.push_back(encodeRecord(it));
    json out = json::array({ static_cast<unsigned>(message.kind), message.sequence, message.sender.life.vm.value,
        message.sender.life.incarnation, status.version, flagsOf(MemberState::Alive, status), status.configOffset,
        status.load });
    out.push_back(std::move(updates));
    writeDetails(message, out);
    return encodeCbor(out);
}

absl::StatusOr<GossipMessage> decode(std::string_view bytes)
{
    const auto malformed = [] {
        return makeError(ErrorKind::BadRequest, "not a gossip datagram",
            "send gossip of the same release to this port, and nothing else");
    };
    const auto item = decodeCbor(bytes, kMaxNestingDepth);
    if (!item.ok())
        return malformed();
    GossipMessage message;
    ArrayReader reader(*item, kHeaderFields, kHeaderFields + 2);
    message.kind = static_cast<MessageKind>(reader.number<std::uint8_t>(static_cast<unsigned>(MessageKind::Update)));
    message.sequence = reader.number<std::uint16_t>();
    message.sender.life.vm.value = reader.text();
    message.sender.life.incarnation = reader.number<Incarnation>();
    message.sender.status.version = reader.number<std::uint64_t>(kMaxUint64 - 1);
    readFlags(reader, message.sender.status);
    message.sender.status.configOffset = reader.number<LogOffset>();
    message.sender.status.load = reader.number<std::uint32_t>();
    const bool updatesOk = readUpdates(reader.item(), message);
    readDetails(reader, message);
    const bool isWhole = reader.ok() && reader.atEnd() && updatesOk;
    if (!isWhole || message.kind < MessageKind::Ping || message.sender.life.vm.empty())
        return malformed();
    return message;
}

} // namespace sagechute::membership
