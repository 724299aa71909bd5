#include "config/Records.h"

#include "config/DocumentReader.h"
#include "config/Text.h"
#include "core/Concat.h"

namespace sagechute::config {
namespace {

    using nlohmann::json;

    constexpr int recordFormat = 1;
    constexpr int recordDepth = 6;
    constexpr std::string_view changeRecord = "change";
    constexpr std::string_view auditRecord = "audit";
    constexpr std::string_view putAction = "put";
    constexpr std::string_view deleteAction = "delete";

    absl::StatusOr<RecordContent> decodeChange(DocumentReader& reader)
    {
        Change change;
        change.id = reader.text("id", longestPersonText);
        const absl::StatusOr<Kind> kind = parseKind(reader.text("kind", longestPersonText));
        change.name = reader.text("name", longestPersonText);
        change.expected = reader.number("expected");
        change.base = reader.number("base");
        const std::string action = reader.text("action", longestPersonText);
        json spec = reader.optional("spec");
        change.operatorName = reader.text("operator", longestPersonText);
        change.from = reader.text("from", longestPersonText);
        change.at = reader.text("at", longestPersonText);
        if (!isChangeId(change.id))
            reader.fail("the id of the change is not acceptable");
        if (!kind.ok())
            reader.fail(std::string(kind.status().message()));
        if (action != putAction && action != deleteAction)
            reader.fail("action is neither put nor delete");
        if ((action == putAction) == spec.is_discarded())
            reader.fail("a put needs a spec and a delete has none");
        const absl::Status status = reader.finish("change");
        if (!status.ok())
            return status;
        change.kind = *kind;
        if (!spec.is_discarded())
            change.spec = std::move(spec);
        return RecordContent(std::move(change));
    }

    absl::StatusOr<RecordContent> decodeAudit(DocumentReader& reader)
    {
        json entry = reader.optional("entry");
        const absl::Status status = reader.finish("audit record");
        if (!status.ok())
            return status;
        absl::StatusOr<AuditEntry> audit = parseAuditDocument(std::move(entry));
        if (!audit.ok())
            return audit.status();
        return RecordContent(*std::move(audit));
    }

} // namespace

std::string dumpSafely(const json& document) { return document.dump(-1, ' ', false, json::error_handler_t::replace); }

json auditDocument(const AuditEntry& entry)
{
    return {
        { "change", clip(entry.changeId, longestPersonText) },
        { "operator", clip(entry.operatorName, longestPersonText) },
        { "from", clip(entry.from, longestPersonText) },
        { "at", clip(entry.at, longestPersonText) },
        { "action", clip(entry.action, longestPersonText) },
        { "resource", clip(entry.resource, longestResourceText) },
        { "difference", clip(entry.difference, longestDifference) },
        { "verdict", clip(entry.verdict, longestPersonText) },
        { "reason", clip(entry.reason, longestReason) },
    };
}

absl::StatusOr<AuditEntry> parseAuditDocument(json document)
{
    DocumentReader reader(std::move(document));
    AuditEntry entry;
    entry.changeId = reader.text("change", longestPersonText);
    entry.operatorName = reader.text("operator", longestPersonText);
    entry.from = reader.text("from", longestPersonText);
    entry.at = reader.text("at", longestPersonText);
    entry.action = reader.text("action", longestPersonText);
    entry.resource = reader.text("resource", longestResourceText);
    entry.difference = reader.text("difference", longestDifference);
    entry.verdict = reader.text("verdict", longestPersonText);
    entry.reason = reader.text("reason", longestReason);
    const absl::Status status = reader.finish("audit line");
    if (!status.ok())
        return status;
    return entry;
}

absl::StatusOr<RecordContent> decodeRecord(std::string_view data)
{
    if (data.size() > longestRecord)
        return makeError(ErrorKind::BadRequest, concat("The record is longer than ", longestRecord, " bytes"),
            "Write a shorter spec");
    absl::StatusOr<json> document = parseJsonStrictly(data, recordDepth);
    if (!document.ok())
        return document.status();
    DocumentReader reader(*std::move(document));
    reader.expectNumber("format", recordFormat);
    const std::string record = reader.text("record", longestPersonText);
    if (record == changeRecord)
        return decodeChange(reader);
    if (record != auditRecord)
        reader.fail("record is neither change nor audit");
    return decodeAudit(reader);
}

std::uint64_t fingerprintOf(const Change& change)
{
    json spec = change.spec.value_or(nullptr);
    if (spec.is_object()) {
        spec.erase("keySalt");
        spec.erase("keyDigest");
    }
    return stableHash(dumpSafely(json::array({ toString(change.kind), change.name, change.expected, spec })));
}

std::string encodeChange(const Change& change)
{
    json record = {
        { "format", recordFormat },
        { "record", changeRecord },
        { "id", change.id },
        { "kind", toString(change.kind) },
        { "name", change.name },
        { "expected", change.expected },
        { "base", change.base },
        { "action", change.spec ? putAction : deleteAction },
        { "operator", clip(change.operatorName, longestPersonText) },
        { "from", clip(change.from, longestPersonText) },
        { "at", clip(change.at, longestPersonText) },
    };
    if (change.spec) {
        record["spec"] = *change.spec;
        // A plain key in the log could be read by whoever reads the log, and never be taken back. canonicalSpec() has
        // replaced it; should a caller forget that, the change becomes one without a key.
        if (record["spec"].is_object())
            record["spec"].erase("key");
    }
    return dumpSafely(record);
}

std::string encodeAudit(const AuditEntry& entry)
{
    return dumpSafely({ { "format", recordFormat }, { "record", auditRecord }, { "entry", auditDocument(entry) } });
}

} // namespace sagechute::config
