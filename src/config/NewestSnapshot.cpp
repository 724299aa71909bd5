#include <sagechute/Config.h>

#include <algorithm>

namespace sagechute::config {
namespace {

    /// Beyond any offset, and still exact in every JSON reader.
    constexpr LogOffset farBeyondEnd = LogOffset { 1 } << 53;

    /// Snapshots are large: only a few are looked at before older ones are asked for.
    constexpr LogOffset snapshotsAtOnce = 4;

    using Found = std::optional<FoundSnapshot>;

    /// Reads the snapshots from @p begin to before @p end.
    /// @return the one that covers most, and more than @p more.
    absl::StatusOr<Found> bestBetween(
        LogPort& log, const ConfigReplica& reader, LogOffset begin, LogOffset end, LogOffset more)
    {
        Found best;
        for (LogOffset from = begin; from < end;) {
            const absl::StatusOr<LogBatch> batch = log.read(snapshotStream, from, std::chrono::milliseconds::zero());
            if (!batch.ok())
                return batch.status();
            if (batch->records.empty())
                break;
            for (const LogRecord& record : batch->records) {
                const absl::StatusOr<LogOffset> covers = reader.offsetOf(record.data);
                if (covers.ok() && *covers > more && (!best || *covers > best->covers))
                    best = FoundSnapshot { record.offset, *covers, record.data };
            }
            from = batch->records.back().offset + 1;
        }
        return best;
    }

} // namespace

absl::StatusOr<Found> newestSnapshot(LogPort& log, const ConfigReplica& reader, LogOffset more)
{
    const absl::StatusOr<LogBatch> end = log.read(snapshotStream, farBeyondEnd, std::chrono::milliseconds::zero());
    if (!end.ok())
        return end.status();
    const LogOffset first = std::max<LogOffset>(end->first, 1);
    for (LogOffset to = end->next; to > first;) {
        const LogOffset from = to > first + snapshotsAtOnce ? to - snapshotsAtOnce : first;
        absl::StatusOr<Found> found = bestBetween(log, reader, from, to, more);
        if (!found.ok() || *found)
            return found;
        to = from;
    }
    return Found();
}

} // namespace sagechute::config
