#include "operators/ChangeWaiters.h"

#include "operators/Documents.h"

namespace sagechute::operators {

void ChangeWaiters::add(
    const std::shared_ptr<net::ServerExchange>& exchange, LogOffset offset, nlohmann::json document, TimePoint until)
{
    auto waiter = std::make_shared<Waiter>();
    waiter->exchange = exchange;
    waiter->offset = offset;
    waiter->document = std::move(document);
    waiter->until = until;
    {
        const std::lock_guard lock(m_mutex);
        m_waiters.push_back(waiter);
        m_count = m_waiters.size();
    }
    // Dropped at the next poll: until then it keeps the polls quick, which harms nobody.
    exchange->onClosed([weak = std::weak_ptr(waiter)] {
        if (const auto closed = weak.lock())
            closed->isClosed = true;
    });
}

void ChangeWaiters::settle(TimePoint now, const FleetPoller& poller)
{
    std::list<std::shared_ptr<Waiter>> waiters;
    {
        const std::lock_guard lock(m_mutex);
        waiters = m_waiters;
    }
    for (const auto& waiter : waiters) {
        const Progress progress = poller.progress(waiter->offset);
        if (!progress.everywhere() && now < waiter->until)
            continue;
        waiter->exchange->respond(progressResponse(waiter->document, progress));
        waiter->isClosed = true;
    }
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_waiters, [](const auto& waiter) { return waiter->isClosed.load(); });
    m_count = m_waiters.size();
}

net::ServerResponse progressResponse(nlohmann::json document, const Progress& progress)
{
    document["progress"] = progressDocument(progress);
    return net::jsonResponse(200, document);
}

} // namespace sagechute::operators
