#include <sagechute/Config.h>

#include "config/Records.h"
#include "config/Specs.h"
#include "config/Text.h"
#include "core/Concat.h"

namespace sagechute::config {
namespace {

    /// Enough for a reply lost twice; more would only lengthen the wait in an outage, where asking again later costs
    /// nothing.
    constexpr int mostTries = 3;

    class Writer final : public ChangeWriter {
    public:
        Writer(LogPort& log, const ConfigReplica& replica, std::function<absl::Status()> readUpTo)
            : m_log(log)
            , m_replica(replica)
            , m_readUpTo(std::move(readUpTo))
        {
        }

        absl::StatusOr<Applied> submit(const Change& wanted) override
        {
            Change change = wanted;
            const absl::Status status = check(change);
            if (!status.ok())
                return status;
            if (std::optional<absl::StatusOr<Applied>> known = knownOutcome(change))
                return *std::move(known);
            if (change.base == 0)
                change.base = m_replica.offset();
            return appendUntilKnown(change, encodeChange(change));
        }

    private:
        absl::Status check(const Change& change) const
        {
            if (!isChangeId(change.id))
                return makeError(ErrorKind::BadRequest, "The id of the change is not acceptable",
                    "Use 1 to 64 letters, digits, '-', '_' or '.', a fresh id for each change");
            const bool hasPlainKey = change.spec && change.spec->is_object() && change.spec->contains("key");
            if (hasPlainKey)
                return makeError(ErrorKind::BadRequest, "The spec holds a plain key, which must not get into the log",
                    "Bring the spec into its canonical form first");
            // What readers would refuse anyway stays out of the log, and with it whatever secret it may hold in a wrong
            // place.
            if (change.spec) {
                absl::Status status = parseSpec(change.kind, change.name, *change.spec).status();
                if (!status.ok())
                    return status;
            }
            if (encodeChange(change).size() > longestRecord)
                return makeError(ErrorKind::TooLarge, concat("The change is longer than ", longestRecord, " bytes"),
                    "Shorten its texts");
            return absl::OkStatus();
        }

        /// @return what came of an earlier try, if one was read; an error when the id stood for something else.
        std::optional<absl::StatusOr<Applied>> knownOutcome(const Change& change) const
        {
            std::optional<Applied> earlier = m_replica.outcomeOf(change.id);
            if (!earlier)
                return std::nullopt;
            if (earlier->fingerprint == fingerprintOf(change))
                return absl::StatusOr<Applied>(*std::move(earlier));
            return absl::StatusOr<Applied>(makeError(ErrorKind::Conflict,
                concat("The change id ", change.id, " was used for another change, of ", toString(earlier->kind), "/",
                    earlier->name, " at offset ", earlier->offset),
                "Use a fresh id for each change"));
        }

        absl::StatusOr<Applied> appendUntilKnown(const Change& change, const std::string& record)
        {
            bool maybeTaken = false;
            absl::Status latest;
            for (int n = 0; n < mostTries; ++n) {
                const absl::StatusOr<LogOffset> at = m_log.append(configStream, record);
                if (at.ok())
                    return readBack(change, *at);
                if (errorKind(at.status()) != ErrorKind::LogUnavailable)
                    return at.status();
                maybeTaken = maybeTaken || mayHaveBeenTaken(at.status());
                latest = at.status();
                // The reply may have been lost after the record was taken. Sending again blindly would put it there
                // twice; readers would skip the second, but a look costs less than a record.
                if (!m_readUpTo().ok())
                    break;
                if (std::optional<absl::StatusOr<Applied>> known = knownOutcome(change))
                    return *std::move(known);
            }
            return failure(change, latest, maybeTaken);
        }

        absl::StatusOr<Applied> readBack(const Change& change, LogOffset at)
        {
            const absl::Status status = m_readUpTo();
            if (std::optional<absl::StatusOr<Applied>> known = knownOutcome(change))
                return *std::move(known);
            if (!status.ok())
                return withRemedy(
                    change, concat("The change was taken at offset ", at, ", but the log could not be read back"));
            return makeError(ErrorKind::Internal,
                concat("The log gave offset ", at, " to the change, but no change was read there"),
                "See whether the log was emptied or replaced; readers stop at what they know until they are restarted");
        }

        static absl::Status failure(const Change& change, const absl::Status& latest, bool maybeTaken)
        {
            const std::string cause(latest.message());
            if (maybeTaken)
                return withRemedy(change, concat("The change may have been taken, the log does not say: ", cause));
            return logUnavailable(concat("The change was not taken, nothing has changed: ", cause), false);
        }

        static absl::Status withRemedy(const Change& change, std::string_view message)
        {
            return makeError(ErrorKind::LogUnavailable, message,
                concat("Ask for the outcome of change ", change.id, ", or send it again with the same id"));
        }

        LogPort& m_log;
        const ConfigReplica& m_replica;
        const std::function<absl::Status()> m_readUpTo;
    };

} // namespace

std::unique_ptr<ChangeWriter> ChangeWriter::make(
    LogPort& log, const ConfigReplica& replica, std::function<absl::Status()> readUpTo)
{
    return std::make_unique<Writer>(log, replica, std::move(readUpTo));
}

} // namespace sagechute::config
