#include "config/ReplicaState.h"

#include <mutex>

namespace sagechute::config {
namespace {

    /// The latest records, for peers that lag.
    class HeldRecords {
    public:
        HeldRecords(LogOffset applied, std::size_t mostBytes)
            : m_next(applied + 1)
            , m_mostBytes(mostBytes)
        {
        }

        void add(const LogRecord& record)
        {
            m_bytes += record.data.size();
            m_records.push_back(record);
            m_next = record.offset + 1;
            while (m_bytes > m_mostBytes) {
                m_bytes -= m_records.front().data.size();
                m_records.pop_front();
            }
        }

        std::optional<std::vector<LogRecord>> after(LogOffset offset, std::size_t mostBytes) const
        {
            const LogOffset first = m_next - m_records.size();
            if (offset + 1 < first)
                return std::nullopt;
            std::vector<LogRecord> found;
            std::size_t bytes = 0;
            for (std::size_t i = offset + 1 - first; i < m_records.size(); ++i) {
                bytes += m_records[i].data.size();
                if (bytes > mostBytes && !found.empty())
                    break;
                found.push_back(m_records[i]);
            }
            return found;
        }

    private:
        LogOffset m_next;
        std::size_t m_mostBytes;
        std::size_t m_bytes = 0;
        std::deque<LogRecord> m_records;
    };

    class Replica final : public ConfigReplica {
    public:
        explicit Replica(const ReplicaLimits& limits)
            : m_limits(limits)
            , m_state(limits)
            , m_held(0, limits.heldRecordBytes)
            , m_view(m_state.resources().publish(0))
        {
        }

        std::vector<Applied> apply(const std::vector<LogRecord>& records) override
        {
            const std::lock_guard lock(m_mutex);
            const LogOffset before = m_state.offset();
            std::vector<Applied> outcomes;
            for (const LogRecord& record : records) {
                if (record.offset <= m_state.offset())
                    continue;
                if (record.offset > m_state.offset() + 1)
                    break;
                std::optional<Applied> applied = m_state.advance(record.data);
                m_held.add(record);
                if (applied)
                    outcomes.push_back(*std::move(applied));
            }
            if (m_state.offset() != before)
                m_view = m_state.resources().publish(m_state.offset());
            return outcomes;
        }

        LogOffset offset() const override
        {
            const std::lock_guard lock(m_mutex);
            return m_state.offset();
        }

        std::shared_ptr<const ConfigView> view() const override
        {
            const std::lock_guard lock(m_mutex);
            return m_view;
        }

        std::string snapshot() const override
        {
            const std::lock_guard lock(m_mutex);
            return m_state.encode();
        }

        absl::StatusOr<bool> adopt(std::string_view snapshot) override
        {
            absl::StatusOr<ReplicaState> state = ReplicaState::decode(snapshot, m_limits);
            if (!state.ok())
                return state.status();
            const std::lock_guard lock(m_mutex);
            // A snapshot is judged by what it covers, never by its place in the log or its arrival. A writer that was
            // paused between taking and writing one would otherwise revert all that was accepted meanwhile; one would
            // notice an old weight coming back.
            if (state->offset() <= m_state.offset())
                return false;
            m_state = *std::move(state);
            m_held = HeldRecords(m_state.offset(), m_limits.heldRecordBytes);
            m_view = m_state.resources().publish(m_state.offset());
            return true;
        }

        absl::StatusOr<LogOffset> offsetOf(std::string_view snapshot) const override
        {
            const absl::StatusOr<ReplicaState> state = ReplicaState::decode(snapshot, m_limits);
            if (!state.ok())
                return state.status();
            return state->offset();
        }

        std::optional<std::vector<LogRecord>> recordsAfter(LogOffset offset, std::size_t mostBytes) const override
        {
            const std::lock_guard lock(m_mutex);
            return m_held.after(offset, mostBytes);
        }

        std::vector<Resource> list(Kind kind) const override
        {
            const std::lock_guard lock(m_mutex);
            return m_state.resources().list(kind);
        }

        std::optional<Resource> find(Kind kind, std::string_view name) const override
        {
            const std::lock_guard lock(m_mutex);
            return m_state.resources().find(kind, name);
        }

        std::vector<AuditEntry> audit(std::size_t most) const override
        {
            const std::lock_guard lock(m_mutex);
            const auto& lines = m_state.audit();
            const auto n = static_cast<std::ptrdiff_t>(std::min(most, lines.size()));
            return { lines.rbegin(), lines.rbegin() + n };
        }

        std::optional<Applied> outcomeOf(std::string_view changeId) const override
        {
            const std::lock_guard lock(m_mutex);
            const Applied* applied = m_state.changes().find(changeId);
            return applied ? std::optional(*applied) : std::nullopt;
        }

        absl::Status tryOut(const Change& change) const override
        {
            const std::lock_guard lock(m_mutex);
            return m_state.resources().judge(change).status();
        }

    private:
        const ReplicaLimits m_limits;
        mutable std::mutex m_mutex;
        ReplicaState m_state;
        HeldRecords m_held;
        std::shared_ptr<const ConfigView> m_view;
    };

} // namespace

std::unique_ptr<ConfigReplica> ConfigReplica::make(const ReplicaLimits& limits)
{
    return std::make_unique<Replica>(limits);
}

} // namespace sagechute::config
