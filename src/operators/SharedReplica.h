#pragma once

#include "operators/ChangeFeed.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sagechute::operators {

/// Resources together with the offset of the log at which they stand so.
struct Listing {
    LogOffset offset = 0;
    std::vector<config::Resource> resources;
};

/// A replica that also keeps the feed of changes in step with its state.
class SharedReplica final : public config::ConfigReplica {
public:
    /// @param onChange called after the configuration has moved on, on the thread that applied it, without a lock held.
    explicit SharedReplica(std::function<void()> onChange);

    std::vector<config::Applied> apply(const std::vector<config::LogRecord>&) override;
    absl::StatusOr<bool> adopt(std::string_view snapshot) override;

    LogOffset offset() const override { return m_replica->offset(); }
    std::shared_ptr<const config::ConfigView> view() const override { return m_replica->view(); }
    std::string snapshot() const override { return m_replica->snapshot(); }
    absl::StatusOr<LogOffset> offsetOf(std::string_view snapshot) const override
    {
        return m_replica->offsetOf(snapshot);
    }
    std::optional<std::vector<config::LogRecord>> recordsAfter(LogOffset offset, std::size_t mostBytes) const override
    {
        return m_replica->recordsAfter(offset, mostBytes);
    }
    std::vector<config::Resource> list(config::Kind kind) const override { return m_replica->list(kind); }
    std::optional<config::Resource> find(config::Kind kind, std::string_view name) const override
    {
        return m_replica->find(kind, name);
    }
    std::vector<config::AuditEntry> audit(std::size_t most) const override { return m_replica->audit(most); }
    std::optional<config::Applied> outcomeOf(std::string_view id) const override { return m_replica->outcomeOf(id); }
    absl::Status tryOut(const config::Change& change) const override { return m_replica->tryOut(change); }

    /// @param kinds those to list. @return resources such that a watch from the listing's offset misses and repeats
    /// nothing.
    Listing listing(const std::vector<config::Kind>& kinds) const;

    /// @return as ChangeFeed::after().
    std::optional<FeedSlice> eventsAfter(LogOffset from, std::optional<config::Kind>, std::size_t most) const;

private:
    void publish(const config::Applied&);

    const std::function<void()> m_onChange;
    const std::unique_ptr<config::ConfigReplica> m_replica;
    mutable std::mutex m_mutex; ///< Keeps the replica's steps and the feed together.
    ChangeFeed m_feed;
};

} // namespace sagechute::operators
