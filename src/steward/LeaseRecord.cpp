#include "steward/LeaseRecord.h"

#include "config/DocumentReader.h"

#include <array>

namespace sagechute::steward {
namespace {

    using nlohmann::json;

    constexpr int leaseFormat = 1;
    constexpr int maxLeaseDepth = 2;
    constexpr std::size_t maxTextLength = 128;
    constexpr std::size_t maxLeaseRecordBytes = 4096;
    constexpr std::uint64_t maxTermMs = 24ULL * 3600 * 1000;
    constexpr std::string_view leaseName = "steward";
    constexpr std::array<std::string_view, 3> verbTexts { "acquire", "renew", "release" };

    std::optional<LeaseVerb> parseVerb(std::string_view text)
    {
        for (std::size_t i = 0; i < verbTexts.size(); ++i) {
            if (verbTexts[i] == text)
                return static_cast<LeaseVerb>(i);
        }
        return std::nullopt;
    }

} // namespace

std::string encodeLease(const LeaseRecord& record)
{
    const auto termMs = std::chrono::duration_cast<std::chrono::milliseconds>(record.term).count();
    return json {
        { "format", leaseFormat }, { "lease", leaseName }, { "verb", verbTexts[static_cast<std::size_t>(record.verb)] },
        { "holder", record.holder }, { "serial", record.serial }, { "fencing", record.fencing },
        { "seen", record.readUpTo }, { "termMs", termMs }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<LeaseRecord> decodeLease(std::string_view data)
{
    if (data.size() > maxLeaseRecordBytes)
        return makeError(ErrorKind::BadRequest, "The lease record exceeds 4096 bytes",
            "Find out which process wrote it; readers skip the record");
    absl::StatusOr<json> document = parseJsonStrictly(data, maxLeaseDepth);
    if (!document.ok())
        return document.status();
    config::DocumentReader reader(*std::move(document));
    LeaseRecord record;
    reader.expectNumber("format", leaseFormat);
    reader.expectText("lease", leaseName);
    const auto verb = parseVerb(reader.text("verb", maxTextLength));
    record.holder = reader.text("holder", maxTextLength);
    record.serial = reader.number("serial");
    record.fencing = reader.number("fencing");
    record.readUpTo = reader.number("seen");
    const std::uint64_t termMs = reader.number("termMs");
    if (!verb || record.holder.empty() || termMs == 0 || termMs > maxTermMs)
        reader.fail("the verb is unknown, the holder is empty, or termMs is not between 1 and 86400000 (24 h)");
    if (verb && (*verb == LeaseVerb::Acquire) != (record.fencing == 0))
        reader.fail("fencing must be 0 in an acquire record and non-zero in a renew or release record");
    const absl::Status status = reader.finish("lease record");
    if (!status.ok())
        return status;
    record.verb = *verb;
    record.term = std::chrono::milliseconds(static_cast<std::int64_t>(termMs));
    return record;
}

} // namespace sagechute::steward
