#pragma once

#include "config/ChangeMemory.h"
#include "config/ResourceTable.h"

namespace sagechute::config {

/// All that depends on the log's records up to one offset, and on nothing else: equal at all readers of that offset.
class ReplicaState {
public:
    explicit ReplicaState(const ReplicaLimits&);

    /// Takes in the record at offset() + 1.
    /// @return what came of it, when it is or should have been a change.
    std::optional<Applied> advance(std::string_view data);

    LogOffset offset() const { return m_offset; }
    ResourceTable& resources() { return m_resources; }
    const ResourceTable& resources() const { return m_resources; }
    const ChangeMemory& changes() const { return m_changes; }
    const std::deque<AuditEntry>& audit() const { return m_audit; }

    std::string encode() const;

    /// @return the state that encode() wrote, or BadRequest.
    static absl::StatusOr<ReplicaState> decode(std::string_view snapshot, const ReplicaLimits&);

    ReplicaState(const ReplicaState&) = delete;
    ReplicaState& operator=(const ReplicaState&) = delete;
    ReplicaState(ReplicaState&&) = default;
    ReplicaState& operator=(ReplicaState&&) = default;
    ~ReplicaState() = default;

private:
    Applied judge(const Change&);
    Applied applyChange(const Change&, nlohmann::json& before, nlohmann::json& after);
    void addAudit(AuditEntry);
    absl::Status decodeResources(const nlohmann::json&);
    absl::Status decodeChanges(const nlohmann::json&);
    absl::Status decodeAudit(const nlohmann::json&);

    ReplicaLimits m_limits;
    LogOffset m_offset = 0;
    ResourceTable m_resources;
    ChangeMemory m_changes;
    std::deque<AuditEntry> m_audit;
};

} // namespace sagechute::config
