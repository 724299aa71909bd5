#include "EngineService.h"

#include <algorithm>

namespace sagechute::standin {

std::optional<TimePoint> EngineService::turn(TimePoint now)
{
    std::vector<Work> work;
    std::vector<Reply> replies;
    {
        const std::lock_guard lock(m_mutex);
        m_model.advance(now);
        sortInbox(now);
        work = collect();
        replies = answerWaiters(now);
    }
    for (Reply& reply : replies)
        reply.exchange->respond(std::move(reply.response));

    std::vector<DeliveryId> over;
    for (const Work& item : work) {
        const DeliveryId id = item.delivery->id();
        if (item.delivery->advance(item.run, now) == Delivery::Progress::Over)
            over.push_back(id);
        else if (const auto due = item.delivery->dueAt())
            m_held[id.run] = *due;
    }
    const std::lock_guard lock(m_mutex);
    for (const DeliveryId id : over)
        close(id, now);
    return nextTurn(now);
}

void EngineService::sortInbox(TimePoint now)
{
    // Arrivals first. Otherwise a caller that took up a run again at the same moment as its old connection closed would
    // be taken for gone with it, and its run would be cancelled under it after the keep time.
    Inbox inbox = std::exchange(m_inbox, {});
    for (std::unique_ptr<Delivery>& arrival : inbox.arrivals)
        take(std::move(arrival), now);
    for (const DeliveryId id : inbox.closed)
        close(id, now);
    for (const DeliveryId id : inbox.drained) {
        if (Delivery* delivery = find(id)) {
            delivery->drained();
            m_due.push_back(id.run);
        }
    }
}

void EngineService::take(std::unique_ptr<Delivery> arrival, TimePoint now)
{
    const RunNumber run = arrival->id().run;
    std::unique_ptr<Delivery>& place = m_deliveries[run];
    if (place)
        place->abort();
    place = std::move(arrival);
    m_model.attach(run, now);
    m_due.push_back(run);
}

void EngineService::close(DeliveryId id, TimePoint now)
{
    if (!find(id))
        return;
    m_deliveries.erase(id.run);
    m_held.erase(id.run);
    m_model.detach(id.run, now);
}

Delivery* EngineService::find(DeliveryId id) const
{
    const auto it = m_deliveries.find(id.run);
    if (it == m_deliveries.end() || it->second->id().serial != id.serial)
        return nullptr;
    return it->second.get();
}

std::vector<EngineService::Work> EngineService::collect()
{
    std::vector<RunNumber> numbers = m_model.takeChanged();
    numbers.insert(numbers.end(), m_due.begin(), m_due.end());
    m_due.clear();
    for (const auto& [run, at] : m_held)
        numbers.push_back(run);
    m_held.clear();
    std::sort(numbers.begin(), numbers.end());
    numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());

    std::vector<Work> work;
    work.reserve(numbers.size());
    for (const RunNumber number : numbers) {
        const auto it = m_deliveries.find(number);
        if (it == m_deliveries.end())
            continue;
        const EngineRun* run = m_model.run(number);
        EngineRun gone;
        gone.state = RunState::Cancelled;
        work.push_back({ it->second.get(), run ? *run : gone });
    }
    return work;
}

std::optional<TimePoint> EngineService::nextTurn(TimePoint now) const
{
    std::optional<TimePoint> next = m_model.nextAt();
    // A floor, so that tokens of short steps go out in one write.
    if (next)
        next = std::max(*next, now + m_options.flushEvery);
    const auto sooner = [&next](TimePoint at) { next = next ? std::min(*next, at) : at; };
    for (const auto& [run, at] : m_held)
        sooner(at);
    for (const CacheWaiter& waiter : m_waiters) {
        sooner(waiter.deadline);
        if (const auto visible = m_model.cacheEvents().visibleAt(waiter.from))
            sooner(*visible);
    }
    if (!m_inbox.arrivals.empty())
        sooner(now);
    return next;
}

} // namespace sagechute::standin
