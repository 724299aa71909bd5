#pragma once

/// @file
/// The routing snapshot as the HTTP threads read it.

#include <sagechute/Routing.h>

#include <memory>

namespace sagechute::router {

/// Holds the newest snapshot. Readers take no lock and never wait for the writer; the bullet-proof flavour of liburcu
/// is used because the HTTP library makes its own threads, which could not be registered before their first read.
class RcuSnapshot {
public:
    /// A read-side section: the snapshot stays valid until the guard is destroyed. Keep it short and do no I/O in it.
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

    /// Replaces the snapshot; one thread only. The old one is freed after all its readers have gone.
    void publish(std::shared_ptr<const routing::RoutingSnapshot>);

private:
    struct Node;
    Node* m_node;
};

} // namespace sagechute::router
