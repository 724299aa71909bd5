#include "RcuSnapshot.h"

#include <urcu/urcu-bp.h>

namespace sagechute::router {

struct RcuSnapshot::Node {
    std::shared_ptr<const routing::RoutingSnapshot> snapshot;
    rcu_head head {};

    static void destroy(rcu_head* head) { delete caa_container_of(head, Node, head); }
};

RcuSnapshot::Guard::Guard(const RcuSnapshot& owner)
{
    urcu_bp_read_lock();
    m_snapshot = rcu_dereference(owner.m_node)->snapshot.get();
}

RcuSnapshot::Guard::~Guard() { urcu_bp_read_unlock(); }

RcuSnapshot::RcuSnapshot()
    : m_node(new Node)
{
    auto empty = std::make_shared<routing::RoutingSnapshot>();
    empty->config = std::make_shared<config::ConfigView>();
    empty->notReady = "this router is starting";
    m_node->snapshot = std::move(empty);
}

RcuSnapshot::~RcuSnapshot()
{
    delete m_node;
    urcu_bp_barrier();
}

void RcuSnapshot::publish(std::shared_ptr<const routing::RoutingSnapshot> snapshot)
{
    auto* node = new Node;
    node->snapshot = std::move(snapshot);
    Node* old = rcu_xchg_pointer(&m_node, node);
    urcu_bp_call_rcu(&old->head, &Node::destroy);
}

} // namespace sagechute::router
