#include "operators/SharedReplica.h"

#include "operators/Documents.h"

namespace sagechute::operators {
namespace {

    constexpr std::size_t mostFeedBytes = 8 << 20;

} // namespace

SharedReplica::SharedReplica(std::function<void()> onChange)
    : m_onChange(std::move(onChange))
    , m_replica(config::ConfigReplica::make())
    , m_feed(mostFeedBytes)
{
}

std::vector<config::Applied> SharedReplica::apply(const std::vector<config::LogRecord>& records)
{
    std::vector<config::Applied> all;
    {
        const std::lock_guard lock(m_mutex);
        // One at a time: an event carries the spec that its own change made, not that of a later change in the batch.
        for (const config::LogRecord& record : records) {
            for (config::Applied& applied : m_replica->apply({ record })) {
                publish(applied);
                all.push_back(std::move(applied));
            }
        }
        m_feed.advanceTo(m_replica->offset());
    }
    m_onChange();
    return all;
}

void SharedReplica::publish(const config::Applied& applied)
{
    if (applied.verdict != config::Verdict::Accepted)
        return;
    FeedEvent event { applied.offset, applied.kind, applied.name, applied.deleted, {} };
    const std::optional<config::Resource> resource
        = applied.deleted ? std::nullopt : m_replica->find(applied.kind, applied.name);
    event.data = toText(watchDocument(event, resource));
    m_feed.add(std::move(event));
}

absl::StatusOr<bool> SharedReplica::adopt(std::string_view snapshot)
{
    {
        const std::lock_guard lock(m_mutex);
        absl::StatusOr<bool> adopted = m_replica->adopt(snapshot);
        if (!adopted.ok() || !*adopted)
            return adopted;
        m_feed.restartAt(m_replica->offset());
    }
    m_onChange();
    return true;
}

Listing SharedReplica::listing(const std::vector<config::Kind>& kinds) const
{
    const std::lock_guard lock(m_mutex);
    Listing listing { m_replica->offset(), {} };
    for (const config::Kind kind : kinds) {
        for (config::Resource& resource : m_replica->list(kind))
            listing.resources.push_back(std::move(resource));
    }
    return listing;
}

std::optional<FeedSlice> SharedReplica::eventsAfter(
    LogOffset from, std::optional<config::Kind> kind, std::size_t most) const
{
    const std::lock_guard lock(m_mutex);
    return m_feed.after(from, kind, most);
}

} // namespace sagechute::operators
