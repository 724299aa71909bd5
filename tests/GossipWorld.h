#pragma once

/// @file
/// Gossip members on a simulated lossy network with a virtual clock.

#include <sagechute/Membership.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sagechute::membership {

struct NetworkFaults {
    double loss = 0;
    double duplication = 0;
    Duration maxDelay
        = std::chrono::milliseconds(5); ///< Delays range from 0.5 ms to 0.5 ms plus this, so datagrams are reordered.
};

class GossipWorld {
public:
    struct Node {
        RouterLife life;
        std::string address;
        std::unique_ptr<Gossip> gossip;
        bool isRunning = true;
        bool isPaused = false;
        int partition = 0; ///< Nodes in different partitions cannot reach each other.
        std::vector<Datagram> queued; ///< Datagrams received while paused, with the sender's address.
        std::uint64_t sentBytes = 0;
        std::uint64_t sentDatagrams = 0;
    };

    using Watcher = std::function<void(TimePoint, const Node& from, const Datagram&)>;

    GossipWorld(std::size_t count, std::uint64_t seed, const GossipSettings& settings = {}, NetworkFaults faults = {})
        : faults(faults)
        , m_settings(settings)
        , m_random(seed)
        , m_seed(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Node& node = nodes.emplace_back();
            node.address = "10.0.0." + std::to_string(i) + ":9101";
            node.life = { VmId { "vm-" + std::to_string(i) }, 0 };
            start(i);
        }
    }

    /// Starts a process without persisted state and with the highest incarnation so far.
    void start(std::size_t i)
    {
        Node& node = nodes[i];
        node.life.incarnation = ++m_lastIncarnation;
        node.isRunning = true;
        node.isPaused = false;
        node.queued.clear();
        MemberSummary summary { node.life, ZoneId { "kokura" }, node.address, node.address, node.address };
        node.gossip = Gossip::make(summary, { "10.0.0.0:9101", "10.0.0.1:9101" }, m_settings,
            std::make_unique<SeededRandom>(m_seed * 1000 + m_lastIncarnation));
    }

    void kill(std::size_t i) { nodes[i].isRunning = false; }

    /// @param ticksFirst whether timers run before queued datagrams are read.
    void resume(std::size_t i, bool ticksFirst)
    {
        Node& node = nodes[i];
        node.isPaused = false;
        if (ticksFirst)
            post(node, node.gossip->tick(now));
        std::vector<Datagram> queued;
        queued.swap(node.queued);
        for (const Datagram& it : queued)
            receive(node, it);
    }

    void run(Duration time, const std::function<void()>& check = {})
    {
        constexpr Duration kStep = std::chrono::milliseconds(10);
        constexpr Duration kTick = std::chrono::milliseconds(50);
        for (const TimePoint end = now + time; now < end; now += kStep) {
            deliverDue();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                const bool isDue = (now.time_since_epoch() + i * kStep) % kTick == Duration::zero();
                if (isDue && nodes[i].isRunning && !nodes[i].isPaused)
                    post(nodes[i], nodes[i].gossip->tick(now));
            }
            if (check)
                check();
        }
    }

    void post(Node& from, const std::vector<Datagram>& datagrams)
    {
        for (const Datagram& it : datagrams) {
            from.sentBytes += it.bytes.size() + 28;
            ++from.sentDatagrams;
            if (watcher)
                watcher(now, from, it);
            const int copies = m_random.fraction() < faults.duplication ? 2 : 1;
            for (int n = 0; n < copies; ++n) {
                const auto delay = Duration(500 + m_random.below(static_cast<std::uint64_t>(faults.maxDelay.count())));
                if (m_random.fraction() >= faults.loss)
                    m_inFlight.insert({ now + delay, ++m_order, from.address, from.partition, it });
            }
        }
    }

    MemberState stateOf(std::size_t observer, std::size_t subject) const
    {
        const Member* member = nodes[observer].gossip->view().find(nodes[subject].life.vm);
        const bool isKnown = member && member->summary.life == nodes[subject].life;
        return isKnown ? member->state : MemberState::Dead;
    }

    /// @return whether every running node sees exactly the running nodes as Alive, with their current lives and status.
    bool isConverged() const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            for (std::size_t k = 0; k < nodes.size() && nodes[i].isRunning; ++k) {
                if ((stateOf(i, k) == MemberState::Alive) != nodes[k].isRunning)
                    return false;
                if (nodes[k].isRunning
                    && nodes[i].gossip->view().find(nodes[k].life.vm)->summary != nodes[k].gossip->self())
                    return false;
            }
        }
        return true;
    }

    std::vector<Node> nodes;
    NetworkFaults faults;
    Watcher watcher;
    TimePoint now { std::chrono::hours(1) };

private:
    struct Flight {
        TimePoint at;
        std::uint64_t order = 0;
        std::string from;
        int partition = 0;
        Datagram datagram;

        bool operator<(const Flight& other) const { return std::tie(at, order) < std::tie(other.at, other.order); }
    };

    void receive(Node& node, const Datagram& it) { post(node, node.gossip->receive(now, it.address, it.bytes)); }

    void deliverDue()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->at <= now) {
            const Flight flight = std::move(m_inFlight.extract(m_inFlight.begin()).value());
            const auto to = std::find_if(nodes.begin(), nodes.end(),
                [&flight](const Node& node) { return node.address == flight.datagram.address; });
            if (to == nodes.end() || !to->isRunning || to->partition != flight.partition)
                continue;
            const Datagram received { flight.from, flight.datagram.bytes };
            if (to->isPaused)
                to->queued.push_back(received);
            else
                receive(*to, received);
        }
    }

    GossipSettings m_settings;
    SeededRandom m_random;
    std::uint64_t m_seed;
    Incarnation m_lastIncarnation = 0;
    std::uint64_t m_order = 0;
    std::set<Flight> m_inFlight;
};

} // namespace sagechute::membership
