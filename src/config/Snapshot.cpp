#include "config/DocumentReader.h"
#include "config/Records.h"
#include "config/ReplicaState.h"
#include "config/Text.h"
#include "core/Concat.h"

#include <array>

namespace sagechute::config {
namespace {

    using nlohmann::json;

    constexpr int snapshotFormat = 1;
    constexpr int snapshotDepth = 6;
    constexpr std::string_view snapshotRecord = "snapshot";
    constexpr std::array allKinds { Kind::Customer, Kind::Service, Kind::Target, Kind::Fleet, Kind::Vm };
    constexpr std::array allVerdicts { Verdict::Accepted, Verdict::Conflict, Verdict::Duplicate, Verdict::Invalid };

    json resourceDocument(const Resource& resource)
    {
        return { { "kind", toString(resource.kind) }, { "name", resource.name }, { "version", resource.version },
            { "spec", resource.spec } };
    }

    json changeDocument(const Applied& applied)
    {
        return { { "offset", applied.offset }, { "id", applied.changeId }, { "verdict", toString(applied.verdict) },
            { "kind", toString(applied.kind) }, { "name", applied.name }, { "deleted", applied.deleted },
            { "reason", applied.reason }, { "fingerprint", applied.fingerprint } };
    }

    std::optional<Verdict> parseVerdict(std::string_view text)
    {
        for (const Verdict verdict : allVerdicts) {
            if (toString(verdict) == text)
                return verdict;
        }
        return std::nullopt;
    }

    absl::StatusOr<Applied> parseChange(const json& document)
    {
        DocumentReader reader(document);
        Applied applied;
        applied.offset = reader.number("offset");
        applied.changeId = reader.text("id", longestPersonText);
        const auto verdict = parseVerdict(reader.text("verdict", longestPersonText));
        const absl::StatusOr<Kind> kind = parseKind(reader.text("kind", longestPersonText));
        applied.name = reader.text("name", longestPersonText);
        applied.deleted = reader.flag("deleted");
        applied.reason = reader.text("reason", longestReason);
        applied.fingerprint = reader.number("fingerprint");
        if (!verdict || *verdict == Verdict::Duplicate || !kind.ok() || !isChangeId(applied.changeId))
            reader.fail("a remembered change has a wrong id, kind or verdict");
        const absl::Status status = reader.finish("snapshot");
        if (!status.ok())
            return status;
        applied.verdict = *verdict;
        applied.kind = *kind;
        return applied;
    }

    absl::StatusOr<Resource> parseResource(const json& document, LogOffset covers)
    {
        DocumentReader reader(document);
        Resource resource;
        const absl::StatusOr<Kind> kind = parseKind(reader.text("kind", longestPersonText));
        resource.name = reader.text("name", longestPersonText);
        resource.version = reader.number("version");
        resource.spec = reader.optional("spec");
        if (!kind.ok() || resource.version == 0 || resource.version > covers || resource.spec.is_discarded())
            reader.fail("a resource has a wrong kind, version or spec");
        const absl::Status status = reader.finish("snapshot");
        if (!status.ok())
            return status;
        resource.kind = *kind;
        return resource;
    }

    absl::Status wrongOrder(std::string_view what)
    {
        return makeError(
            ErrorKind::BadRequest, concat("Not a snapshot: its ", what, " are not in order"), "Use another snapshot");
    }

} // namespace

std::string ReplicaState::encode() const
{
    json resources = json::array();
    for (const Kind kind : allKinds) {
        for (const Resource& resource : m_resources.list(kind)) {
            if (resource.version > 0)
                resources.push_back(resourceDocument(resource));
        }
    }
    json changes = json::array();
    for (const Applied& applied : m_changes.all())
        changes.push_back(changeDocument(applied));
    json audit = json::array();
    for (const AuditEntry& entry : m_audit) {
        json line = auditDocument(entry);
        line["offset"] = entry.offset;
        audit.push_back(std::move(line));
    }
    return dumpSafely({ { "format", snapshotFormat }, { "record", snapshotRecord }, { "covers", m_offset },
        { "rememberedChanges", m_limits.rememberedChanges }, { "auditLines", m_limits.auditLines },
        { "resources", std::move(resources) }, { "changes", std::move(changes) }, { "audit", std::move(audit) } });
}

absl::StatusOr<ReplicaState> ReplicaState::decode(std::string_view snapshot, const ReplicaLimits& limits)
{
    absl::StatusOr<json> document = parseJsonStrictly(snapshot, snapshotDepth);
    if (!document.ok())
        return document.status();
    ReplicaState state(limits);
    DocumentReader reader(*std::move(document));
    reader.expectNumber("format", snapshotFormat);
    reader.expectText("record", snapshotRecord);
    state.m_offset = reader.number("covers");
    // Readers that remember different numbers of changes would judge one record differently.
    reader.expectNumber("rememberedChanges", limits.rememberedChanges);
    reader.expectNumber("auditLines", limits.auditLines);
    const json resources = reader.array("resources");
    const json changes = reader.array("changes");
    const json audit = reader.array("audit");
    absl::Status status = reader.finish("snapshot");
    if (status.ok())
        status = state.decodeResources(resources);
    if (status.ok())
        status = state.decodeChanges(changes);
    if (status.ok())
        status = state.decodeAudit(audit);
    if (!status.ok())
        return status;
    return state;
}

absl::Status ReplicaState::decodeResources(const json& list)
{
    for (const json& document : list) {
        const absl::StatusOr<Resource> resource = parseResource(document, m_offset);
        if (!resource.ok())
            return resource.status();
        absl::Status status = m_resources.restore(*resource);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status ReplicaState::decodeChanges(const json& list)
{
    LogOffset latest = 0;
    for (const json& document : list) {
        const absl::StatusOr<Applied> applied = parseChange(document);
        if (!applied.ok())
            return applied.status();
        if (applied->offset <= latest || applied->offset > m_offset || m_changes.find(applied->changeId))
            return wrongOrder("changes");
        latest = applied->offset;
        m_changes.remember(*applied);
    }
    return absl::OkStatus();
}

absl::Status ReplicaState::decodeAudit(const json& list)
{
    LogOffset latest = 0;
    for (const json& document : list) {
        DocumentReader reader(document);
        const LogOffset offset = reader.number("offset");
        json rest = document;
        if (rest.is_object())
            rest.erase("offset");
        absl::StatusOr<AuditEntry> entry = parseAuditDocument(std::move(rest));
        if (!entry.ok())
            return entry.status();
        if (offset <= latest || offset > m_offset)
            return wrongOrder("audit lines");
        latest = offset;
        entry->offset = offset;
        addAudit(*std::move(entry));
    }
    return absl::OkStatus();
}

} // namespace sagechute::config
