#include "operators/WorkerPool.h"

namespace sagechute::operators {

WorkerPool::WorkerPool(std::size_t threads, std::size_t mostQueued)
    : m_mostQueued(mostQueued)
{
    for (std::size_t i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { work(); });
}

WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread& thread : m_threads)
        thread.join();
}

bool WorkerPool::tryRun(Job job)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_mostQueued)
            return false;
        m_queue.push_back(std::move(job));
    }
    m_wake.notify_one();
    return true;
}

void WorkerPool::work()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        const Job job = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        job();
    }
}

} // namespace sagechute::operators
