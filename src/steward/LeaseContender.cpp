#include <sagechute/Steward.h>

#include "steward/LeaseRecord.h"

#include <algorithm>

namespace sagechute::steward {
namespace {

    /// The holder according to the records read so far.
    struct Holder {
        std::string name;
        LogOffset fencing = 0;
        Duration term {};
        TimePoint lastRecordAt {}; ///< When this process read the holder's latest record.
    };

    /// A record that this process appended and may not have read back yet.
    struct PendingRecord {
        std::uint64_t serial = 0;
        TimePoint at {};
    };

    constexpr std::size_t maxPendingRecords = 16;

    class Contender final : public LeaseContender {
    public:
        Contender(std::string self, const LeaseSettings& settings)
            : m_self(std::move(self))
            , m_settings(settings)
            , m_acquireDelay(Duration(static_cast<Duration::rep>(
                  stableHash(m_self) % static_cast<std::uint64_t>(settings.maxAcquireDelay.count() + 1))))
        {
        }

        LeaseAction next(TimePoint now) override
        {
            if (!m_isAtEnd || now >= m_nextReadAt)
                return { LeaseAction::Type::Read, m_position + 1, "" };
            if (isHeldBySelf())
                return nextAsHolder(now);
            if (!m_isReleasing && mayAcquire(now))
                return append(LeaseVerb::Acquire, now);
            return {};
        }

        void read(const config::LogBatch& batch, TimePoint now) override
        {
            if (!m_silentSince)
                m_silentSince = now;
            const LogOffset end = std::max<LogOffset>(batch.next, 1) - 1;
            if (batch.first > m_position + 1 || end < m_position)
                resetTo(std::min(std::max<LogOffset>(batch.first, 1) - 1, end), now);
            for (const config::LogRecord& record : batch.records) {
                if (record.offset == m_position + 1)
                    applyRecord(record, now);
            }
            m_isAtEnd = m_position + 1 >= batch.next;
            m_isStreamUnused = batch.next <= 1;
            m_nextReadAt = now + m_settings.readInterval;
        }

        void appended(TimePoint) override { m_isAtEnd = false; }

        void failed(TimePoint now) override
        {
            // Only the log shows whether a failed append was stored, so read it before appending again.
            m_isAtEnd = false;
            m_nextReadAt = now;
        }

        std::optional<HeldLease> held(TimePoint now) const override
        {
            if (!isHeldBySelf() || m_isReleasing || now >= m_validUntil)
                return std::nullopt;
            return HeldLease { m_holder->fencing, m_validUntil };
        }

        void release() override { m_isReleasing = true; }

        bool released() const override { return m_isReleasing && m_isAtEnd && !isHeldBySelf(); }

        std::string holder() const override { return m_holder ? m_holder->name : ""; }

    private:
        bool isHeldBySelf() const { return m_holder && m_holder->name == m_self; }

        LeaseAction nextAsHolder(TimePoint now)
        {
            if (m_isReleasing)
                return append(LeaseVerb::Release, now);
            if (now >= m_renewAt)
                return append(LeaseVerb::Renew, now);
            return {};
        }

        /// The holder measures its term from when it sent its latest record; other processes measure from when they
        /// read that record, which is later. Together with the margin this ensures that the holder has stopped relying
        /// on the lease before another process tries to acquire it.
        bool mayAcquire(TimePoint now) const
        {
            if (m_isStreamUnused || m_isReleasedByHolder)
                return true;
            const Duration requiredSilence = m_holder ? m_holder->term : m_settings.term;
            const TimePoint lastRecordAt = m_holder ? m_holder->lastRecordAt : m_silentSince.value_or(now);
            return now >= lastRecordAt + requiredSilence + m_settings.margin + m_acquireDelay;
        }

        LeaseAction append(LeaseVerb verb, TimePoint now)
        {
            LeaseRecord record;
            record.verb = verb;
            record.holder = m_self;
            record.serial = ++m_serial;
            record.fencing = verb == LeaseVerb::Acquire ? 0 : m_holder->fencing;
            record.readUpTo = m_position;
            record.term = m_settings.term;
            m_pendingRecords.push_back({ record.serial, now });
            if (m_pendingRecords.size() > maxPendingRecords)
                m_pendingRecords.erase(m_pendingRecords.begin());
            m_renewAt = now + m_settings.renewInterval;
            m_isAtEnd = false;
            return { LeaseAction::Type::Append, 0, encodeLease(record) };
        }

        /// Handles records that expired unread, or a log that was truncated. The holder is then unknown, so the lease
        /// is not acquired before a full term has passed without a record.
        void resetTo(LogOffset position, TimePoint now)
        {
            m_position = position;
            m_holder.reset();
            m_isReleasedByHolder = false;
            m_silentSince = now;
        }

        void applyRecord(const config::LogRecord& logged, TimePoint now)
        {
            const LogOffset previous = m_position;
            m_position = logged.offset;
            const absl::StatusOr<LeaseRecord> record = decodeLease(logged.data);
            // A writer that had not read the preceding record did not know who held the lease. Accepting its record
            // could give the lease two holders.
            if (!record.ok() || record->readUpTo != previous)
                return;
            if (record->verb == LeaseVerb::Acquire) {
                setHolder(*record, logged.offset, now);
                return;
            }
            if (m_holder && (m_holder->fencing != record->fencing || m_holder->name != record->holder))
                return;
            if (record->verb == LeaseVerb::Renew)
                setHolder(*record, record->fencing, now);
            else
                markFree(now);
        }

        void setHolder(const LeaseRecord& record, LogOffset fencing, TimePoint now)
        {
            if (!m_holder || m_holder->fencing != fencing)
                m_validUntil = {};
            m_holder = Holder { record.holder, fencing, record.term, now };
            m_isReleasedByHolder = false;
            if (record.holder != m_self)
                return;
            const auto it = std::find_if(m_pendingRecords.begin(), m_pendingRecords.end(),
                [&](const PendingRecord& pending) { return pending.serial == record.serial; });
            if (it != m_pendingRecords.end())
                m_validUntil = std::max(m_validUntil, it->at + m_settings.term - m_settings.margin);
        }

        void markFree(TimePoint now)
        {
            m_holder.reset();
            m_validUntil = {};
            m_isReleasedByHolder = true;
            m_silentSince = now;
        }

        const std::string m_self;
        const LeaseSettings m_settings;
        const Duration m_acquireDelay;

        LogOffset m_position = 0; ///< All records up to this offset have been processed.
        bool m_isAtEnd
            = false; ///< The latest read reached the end of the log, and this process has not appended since.
        bool m_isStreamUnused = false; ///< No record was ever written to the lease stream.
        bool m_isReleasedByHolder = false; ///< The latest holder released the lease.
        bool m_isReleasing = false;
        std::optional<Holder> m_holder;
        std::optional<TimePoint> m_silentSince; ///< Start of the wait for records while the holder is unknown.
        TimePoint m_nextReadAt {};
        TimePoint m_renewAt {};
        TimePoint m_validUntil {};
        std::uint64_t m_serial = 0;
        std::vector<PendingRecord> m_pendingRecords;
    };

} // namespace

std::unique_ptr<LeaseContender> LeaseContender::make(std::string holder, const LeaseSettings& settings)
{
    return std::make_unique<Contender>(std::move(holder), settings);
}

} // namespace sagechute::steward
