#include "FleetSearch.h"

namespace sagechute::edge {

namespace {

    using std::chrono::milliseconds;

    /// How often a router that knows no other looks into the store for one, and one that could not announce itself
    /// tries again.
    constexpr Duration searchInterval = std::chrono::seconds(1);

    /// A router announces itself when it has been there for so long: by then it knows whether the fleet is large, where
    /// only relays need to be found.
    constexpr Duration announceAfter = milliseconds(4000);

    /// One that knows no other by then has seeds that are down, and can only be found in the store.
    constexpr Duration aloneAfter = milliseconds(1500);

} // namespace

FleetSearch::FleetSearch(EdgeState& state, Fleet& fleet, news::FleetStore& store, EdgeMetrics& metrics)
    : m_state(state)
    , m_fleet(fleet)
    , m_store(store)
    , m_metrics(metrics)
{
}

FleetSearch::~FleetSearch()
{
    m_gate.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void FleetSearch::start()
{
    m_thread = std::thread([this] { run(); });
}

void FleetSearch::run()
{
    Duration delay = aloneAfter;
    while (m_gate.pause(delay)) {
        delay = searchInterval;
        const bool isAlone = !m_fleet.knowsOthers();
        if (!isAlone && unsuspendedNow() - m_startedAt < announceAfter)
            continue;
        if (!m_isAnnounced && m_fleet.isLandmark())
            announce();
        if (isAlone)
            search();
    }
}

void FleetSearch::announce()
{
    m_metrics.storeCalls().Increment();
    const absl::Status status = m_store.announce({ m_state.vm, m_fleet.gossipAddress() });
    m_isAnnounced = status.ok();
    if (!status.ok())
        process::log(process::LogLevel::Info, "not-announced", { { "reason", std::string(status.message()) } });
}

void FleetSearch::search()
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
