#include "RouterDiscovery.h"

namespace sagechute::edge {

namespace {

    using std::chrono::milliseconds;

    /// Interval at which a router without peers searches the store for others, and at which a failed announcement is
    /// repeated.
    constexpr Duration searchInterval = std::chrono::seconds(1);

    /// Uptime before a router announces itself. By then it knows whether the fleet is large, where only relays need to
    /// be found.
    constexpr Duration announceDelay = milliseconds(4000);

    /// A router without peers after this time has seeds that are down, and must find others through the store.
    constexpr Duration firstSearchDelay = milliseconds(1500);

} // namespace

RouterDiscovery::RouterDiscovery(EdgeState& state, Fleet& fleet, news::FleetStore& store, EdgeMetrics& metrics)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_metrics(metrics)
    , m_schedule(state.vm)
{
}

RouterDiscovery::~RouterDiscovery()
{
    m_sleeper.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void RouterDiscovery::start()
{
    m_thread = std::thread([this] { run(); });
}

void RouterDiscovery::run()
{
    Duration delay = firstSearchDelay;
    while (m_sleeper.sleepFor(delay)) {
        delay = searchInterval;
        const bool hasNoPeers = !m_fleet.knowsOtherRouters();
        if (!hasNoPeers && unsuspendedNow() - m_startedAt < announceDelay)
            continue;
        if (m_schedule.isDue(unsuspendedNow(), knownStoreEra(m_state.knowledge(), m_store)) && m_fleet.shouldAnnounce())
            announce();
        if (hasNoPeers)
            searchStore();
    }
}

void RouterDiscovery::announce()
{
    m_metrics.storeCalls().Increment();
    // If the store returns during the call, the announcement may have come before.
    const news::StoreEra era = knownStoreEra(m_state.knowledge(), m_store);
    const absl::Status status = m_store.announce({ m_state.vm, m_fleet.gossipAddress() });
    if (status.ok())
        m_schedule.announced(era);
    else
        process::log(process::LogLevel::Info, "not-announced", { { "reason", std::string(status.message()) } });
}

void RouterDiscovery::searchStore()
{
    m_metrics.storeCalls().Increment();
    const auto found = m_store.announcements();
    if (!found.ok()) {
        process::log(process::LogLevel::Info, "not-searched", { { "reason", std::string(found.status().message()) } });
        return;
    }
    for (const news::RouterAnnouncement& it : *found)
        m_fleet.addSeed(it.gossipAddress);
}

} // namespace sagechute::edge
