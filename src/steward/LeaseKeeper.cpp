#include <sagechute/Steward.h>

#include "steward/LeaseRecord.h"

#include <algorithm>

namespace sagechute::steward {
namespace {

    /// A holder as the log's order made it.
    struct Holder {
        std::string name;
        LogOffset fencing = 0;
        Duration term {};
        TimePoint heardAt {}; ///< When its latest record was read.
    };

    /// An own record on its way.
    struct Sent {
        std::uint64_t serial = 0;
        TimePoint at {};
    };

    constexpr std::size_t mostSent = 16;

    class Keeper final : public LeaseKeeper {
    public:
        Keeper(std::string self, const LeaseSettings& settings)
            : m_self(std::move(self))
            , m_settings(settings)
            , m_delay(Duration(static_cast<Duration::rep>(
                  stableHash(m_self) % static_cast<std::uint64_t>(settings.spread.count() + 1))))
        {
        }

        LeaseAction next(TimePoint now) override
        {
            if (!m_isAtEnd || now >= m_readAgainAt)
                return { LeaseAction::Type::Read, m_position + 1, "" };
            if (isMine())
                return nextAsHolder(now);
            if (!m_isReleasing && mayAcquire(now))
                return append(LeaseVerb::Acquire, now);
            return {};
        }

        void read(const config::LogBatch& batch, TimePoint now) override
        {
            if (!m_quietSince)
                m_quietSince = now;
            const LogOffset end = std::max<LogOffset>(batch.next, 1) - 1;
            if (batch.first > m_position + 1 || end < m_position)
                skipTo(std::min(std::max<LogOffset>(batch.first, 1) - 1, end), now);
            for (const config::LogRecord& record : batch.records) {
                if (record.offset == m_position + 1)
                    take(record, now);
            }
            m_isAtEnd = m_position + 1 >= batch.next;
            m_isFirstEver = batch.next <= 1;
            m_readAgainAt = now + m_settings.readEvery;
        }

        void appended(TimePoint) override { m_isAtEnd = false; }

        void failed(TimePoint now) override
        {
            // Whether an append was taken is only known from the log: until it has been read nothing is sent again.
            m_isAtEnd = false;
            m_readAgainAt = now;
        }

        std::optional<LeaseHold> held(TimePoint now) const override
        {
            if (!isMine() || m_isReleasing || now >= m_until)
                return std::nullopt;
            return LeaseHold { m_holder->fencing, m_until };
        }

        void release() override { m_isReleasing = true; }

        bool released() const override { return m_isReleasing && m_isAtEnd && !isMine(); }

        std::string holder() const override { return m_holder ? m_holder->name : ""; }

    private:
        bool isMine() const { return m_holder && m_holder->name == m_self; }

        LeaseAction nextAsHolder(TimePoint now)
        {
            if (m_isReleasing)
                return append(LeaseVerb::Release, now);
            if (now >= m_renewAt)
                return append(LeaseVerb::Renew, now);
            return {};
        }

        /// The holder counts from when it sent its latest record, others from when they read it, which is later; so
        /// with the margin the holder has stopped before anybody else tries.
        bool mayAcquire(TimePoint now) const
        {
            if (m_isFirstEver || m_isFree)
                return true;
            const Duration silence = m_holder ? m_holder->term : m_settings.term;
            const TimePoint heardAt = m_holder ? m_holder->heardAt : m_quietSince.value_or(now);
            return now >= heardAt + silence + m_settings.margin + m_delay;
        }

        LeaseAction append(LeaseVerb verb, TimePoint now)
        {
            LeaseRecord record;
            record.verb = verb;
            record.holder = m_self;
            record.serial = ++m_serial;
            record.fencing = verb == LeaseVerb::Acquire ? 0 : m_holder->fencing;
            record.seen = m_position;
            record.term = m_settings.term;
            m_sent.push_back({ record.serial, now });
            if (m_sent.size() > mostSent)
                m_sent.erase(m_sent.begin());
            m_renewAt = now + m_settings.renewEvery;
            m_isAtEnd = false;
            return { LeaseAction::Type::Append, 0, encodeLease(record) };
        }

        /// Records are gone unread, or the log was emptied: nobody is known to hold the lease, and nothing is claimed
        /// before a whole term of silence.
        void skipTo(LogOffset position, TimePoint now)
        {
            m_position = position;
            m_holder.reset();
            m_isFree = false;
            m_quietSince = now;
        }

        void take(const config::LogRecord& logged, TimePoint now)
        {
            const LogOffset previous = m_position;
            m_position = logged.offset;
            const absl::StatusOr<LeaseRecord> record = decodeLease(logged.data);
            // A record whose writer had not read its predecessor was written without knowing who holds the lease: two
            // would hold it.
            if (!record.ok() || record->seen != previous)
                return;
            if (record->verb == LeaseVerb::Acquire) {
                hold(*record, logged.offset, now);
                return;
            }
            if (m_holder && (m_holder->fencing != record->fencing || m_holder->name != record->holder))
                return;
            if (record->verb == LeaseVerb::Renew)
                hold(*record, record->fencing, now);
            else
                free(now);
        }

        void hold(const LeaseRecord& record, LogOffset fencing, TimePoint now)
        {
            if (!m_holder || m_holder->fencing != fencing)
                m_until = {};
            m_holder = Holder { record.holder, fencing, record.term, now };
            m_isFree = false;
            if (record.holder != m_self)
                return;
            const auto it = std::find_if(
                m_sent.begin(), m_sent.end(), [&](const Sent& sent) { return sent.serial == record.serial; });
            if (it != m_sent.end())
                m_until = std::max(m_until, it->at + m_settings.term - m_settings.margin);
        }

        void free(TimePoint now)
        {
            m_holder.reset();
            m_until = {};
            m_isFree = true;
            m_quietSince = now;
        }

        const std::string m_self;
        const LeaseSettings m_settings;
        const Duration m_delay;

        LogOffset m_position = 0; ///< All records up to this one have been taken in.
        bool m_isAtEnd = false; ///< Nothing was behind m_position at the latest read, and nothing was appended since.
        bool m_isFirstEver = false; ///< Nobody ever wrote to the stream.
        bool m_isFree = false; ///< The latest holder gave the lease up.
        bool m_isReleasing = false;
        std::optional<Holder> m_holder;
        std::optional<TimePoint> m_quietSince; ///< Since when no holder has been heard of while none is known.
        TimePoint m_readAgainAt {};
        TimePoint m_renewAt {};
        TimePoint m_until {};
        std::uint64_t m_serial = 0;
        std::vector<Sent> m_sent;
    };

} // namespace

std::unique_ptr<LeaseKeeper> LeaseKeeper::make(std::string holder, const LeaseSettings& settings)
{
    return std::make_unique<Keeper>(std::move(holder), settings);
}

} // namespace sagechute::steward
