#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sagechute::operators {

/// A fixed number of threads for calls that block, with a bounded queue.
class WorkerPool {
public:
    using Job = std::function<void()>;

    WorkerPool(std::size_t threads, std::size_t mostQueued);

    /// Runs what is still queued, then ends the threads.
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// @return false when the queue is full; the job is not run then.
    bool tryRun(Job);

private:
    void work();

    const std::size_t m_mostQueued;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Job> m_queue;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace sagechute::operators
