#include "config/ReplicaState.h"

#include "config/Difference.h"
#include "config/Records.h"
#include "config/Text.h"
#include "core/Concat.h"

#include <array>

namespace sagechute::config {
namespace {

    constexpr std::array<std::string_view, 4> verdictTexts { "accepted", "conflict", "duplicate", "invalid" };

    AuditEntry auditOf(const Change& change, const Applied& applied, std::string difference)
    {
        AuditEntry entry;
        entry.offset = applied.offset;
        entry.changeId = change.id;
        entry.operatorName = change.operatorName;
        entry.from = change.from;
        entry.at = change.at;
        entry.action = change.spec ? "put" : "delete";
        entry.resource = resourceText(change.kind, change.name);
        entry.difference = std::move(difference);
        entry.verdict = toString(applied.verdict);
        entry.reason = applied.reason;
        return entry;
    }

    std::string reasonOf(const absl::Status& status) { return clip(std::string(status.message()), longestReason); }

} // namespace

std::string_view toString(Verdict verdict) { return verdictTexts[static_cast<std::size_t>(verdict)]; }

ReplicaState::ReplicaState(const ReplicaLimits& limits)
    : m_limits(limits)
    , m_changes(limits.rememberedChanges)
{
}

void ReplicaState::addAudit(AuditEntry entry)
{
    m_audit.push_back(std::move(entry));
    if (m_audit.size() > m_limits.auditLines)
        m_audit.pop_front();
}

std::optional<Applied> ReplicaState::advance(std::string_view data)
{
    ++m_offset;
    m_changes.advance(m_offset);
    const absl::StatusOr<RecordContent> content = decodeRecord(data);
    if (!content.ok()) {
        Applied applied;
        applied.offset = m_offset;
        applied.reason = reasonOf(content.status());
        addAudit({ .offset = m_offset,
            .action = "refused",
            .verdict = std::string(toString(Verdict::Invalid)),
            .reason = applied.reason });
        return applied;
    }
    if (const auto* entry = std::get_if<AuditEntry>(&*content)) {
        addAudit(*entry);
        m_audit.back().offset = m_offset;
        return std::nullopt;
    }
    return judge(std::get<Change>(*content));
}

Applied ReplicaState::judge(const Change& change)
{
    nlohmann::json before;
    nlohmann::json after;
    Applied applied;
    if (const Applied* earlier = m_changes.find(change.id)) {
        applied = *earlier;
        applied.offset = m_offset;
        applied.verdict = Verdict::Duplicate;
        applied.reason = concat("the change was seen at offset ", earlier->offset);
    } else {
        applied = applyChange(change, before, after);
        m_changes.remember(applied);
    }
    const bool isInForce = applied.verdict == Verdict::Accepted;
    addAudit(auditOf(change, applied, isInForce ? differenceText(before, after) : ""));
    return applied;
}

Applied ReplicaState::applyChange(const Change& change, nlohmann::json& before, nlohmann::json& after)
{
    Applied applied { m_offset, Verdict::Conflict, change.id, change.kind, change.name, !change.spec, "",
        fingerprintOf(change) };
    if (change.base >= m_offset) {
        applied.verdict = Verdict::Invalid;
        applied.reason = "the change claims to know records that come after it";
        return applied;
    }
    if (!m_changes.covers(change.base, m_offset)) {
        applied.reason
            = concat("it came ", m_offset - change.base, " records after it was made, too late to tell a repeat");
        return applied;
    }
    const absl::StatusOr<ResourceTable::Effect> effect = m_resources.judge(change);
    if (!effect.ok()) {
        applied.verdict = errorKind(effect.status()) == ErrorKind::BadRequest ? Verdict::Invalid : Verdict::Conflict;
        applied.reason = reasonOf(effect.status());
        return applied;
    }
    m_resources.enforce(change, *effect, m_offset);
    before = effect->before;
    after = effect->after;
    applied.verdict = Verdict::Accepted;
    return applied;
}

} // namespace sagechute::config
