#pragma once

/// @file
/// RCU-protected routing snapshot, read by the HTTP threads.

#include <sagechute/Routing.h>

#include <memory>

namespace sagechute::router {

/// Holds the latest snapshot. Readers take no lock and never wait for the writer. Uses the "bulletproof" flavour of
/// liburcu (urcu-bp), which registers reader threads automatically: the HTTP library creates its own threads, so they
/// cannot be registered before their first read.
class RcuSnapshot {
public:
    /// RCU read-side critical section: the snapshot stays valid until the guard is destroyed. Keep it short, without
    /// I/O.
    class Guard {
    public:
        explicit Guard(const RcuSnapshot&);
        ~Guard();
        Guard(const Guard&) = delete;
        Guard& operator=(const Guard&) = delete;

        const routing::RoutingSnapshot* operator->() const { return m_snapshot; }
        const routing::RoutingSnapshot& operator*() const { return *m_snapshot; }

    private:
        const routing::RoutingSnapshot* m_snapshot;
    };

    RcuSnapshot();
    ~RcuSnapshot();
    RcuSnapshot(const RcuSnapshot&) = delete;
    RcuSnapshot& operator=(const RcuSnapshot&) = delete;

    /// Replaces the snapshot. Call from one thread only. The previous one is freed after a grace period.
    void publish(std::shared_ptr<const routing::RoutingSnapshot>);

private:
    struct Node;
    Node* m_node;
};

} // namespace sagechute::router
