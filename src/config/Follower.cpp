#include <sagechute/Config.h>

#include "core/Concat.h"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace sagechute::config {
namespace {

    /// A start over more records than this takes a snapshot if there is one, though the records are still kept.
    constexpr LogOffset longReplay = 1000;

    class Follower final : public LogFollower {
    public:
        Follower(LogPort& log, ConfigReplica& replica, Listener listener)
            : m_log(log)
            , m_replica(replica)
            , m_listener(std::move(listener))
        {
        }

        absl::Status poll(std::chrono::milliseconds wait) override
        {
            for (;;) {
                const LogOffset wanted = m_replica.offset() + 1;
                const absl::StatusOr<LogBatch> batch = m_log.read(configStream, wanted, wait);
                if (!batch.ok())
                    return batch.status();
                m_logFirst = std::max<LogOffset>(batch->first, 1);
                m_logEnd = batch->next == 0 ? 0 : batch->next - 1;
                absl::Status status = takeIn(*batch, wanted);
                if (!status.ok())
                    return status;
                if (m_replica.offset() + 1 >= batch->next)
                    return absl::OkStatus();
                wait = std::chrono::milliseconds::zero();
            }
        }

        bool takeRecords(const std::vector<LogRecord>& records) override
        {
            const std::lock_guard lock(m_stepping);
            const LogOffset before = m_replica.offset();
            FollowNews news;
            news.applied = m_replica.apply(records);
            if (!news.applied.empty())
                tell(news);
            return m_replica.offset() > before;
        }

        absl::StatusOr<bool> takeSnapshot(std::string_view snapshot) override
        {
            const std::lock_guard lock(m_stepping);
            absl::StatusOr<bool> isAdopted = m_replica.adopt(snapshot);
            if (isAdopted.ok() && *isAdopted)
                tell({ .jumped = true });
            return isAdopted;
        }

        LogOffset logEnd() const override { return m_logEnd; }
        LogOffset logFirst() const override { return m_logFirst; }

    private:
        absl::Status takeIn(const LogBatch& batch, LogOffset wanted)
        {
            if (batch.first > wanted)
                return jump(batch.first);
            if (batch.next < wanted)
                return makeError(ErrorKind::Internal,
                    concat("The log ends before offset ", batch.next, ", but offset ", wanted - 1,
                        " was read from it before"),
                    "See whether the log was emptied or replaced; restart the readers only once that is decided");
            if (wanted == 1 && batch.next - wanted > longReplay && jump(wanted + longReplay).ok())
                return absl::OkStatus();
            takeRecords(batch.records);
            if (m_replica.offset() < wanted && batch.next > wanted)
                return logUnavailable(concat("The log announces offset ", wanted, " but did not give it"), true);
            return absl::OkStatus();
        }

        /// Goes over records that the log no longer keeps before @p first.
        absl::Status jump(LogOffset first)
        {
            const absl::StatusOr<std::optional<FoundSnapshot>> found = newestSnapshot(m_log, m_replica, first - 2);
            if (!found.ok())
                return found.status();
            if (*found)
                return takeSnapshot((*found)->text).status();
            // A peer may have brought the replica over the gap in the meantime.
            if (m_replica.offset() + 1 >= first)
                return absl::OkStatus();
            return makeError(ErrorKind::RetentionExceeded,
                concat("The log keeps records from offset ", first, " only, and no snapshot in it covers those from ",
                    m_replica.offset() + 1),
                "Take a snapshot from a router that has them");
        }

        void tell(const FollowNews& news) const
        {
            if (m_listener)
                m_listener(news);
        }

        LogPort& m_log;
        ConfigReplica& m_replica;
        const Listener m_listener;
        std::mutex
            m_stepping; ///< Keeps steps and what the listener hears of them in one order; never held over a read.
        std::atomic<LogOffset> m_logEnd { 0 };
        std::atomic<LogOffset> m_logFirst { 0 };
    };

} // namespace

std::unique_ptr<LogFollower> LogFollower::make(LogPort& log, ConfigReplica& replica, Listener listener)
{
    return std::make_unique<Follower>(log, replica, std::move(listener));
}

} // namespace sagechute::config
