#include "StatusExporter.h"

#include <nlohmann/json.hpp>

namespace sagechute::router {

using nlohmann::json;

namespace {

    prometheus::Family<prometheus::Gauge>& gaugeFamily(
        process::Metrics& metrics, const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(metrics.registry());
    }

    prometheus::Family<prometheus::Counter>& counterFamily(
        process::Metrics& metrics, const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(metrics.registry());
    }

    void advanceCounterTo(prometheus::Counter& counter, std::uint64_t value)
    {
        const double more = static_cast<double>(value) - counter.Value();
        if (more > 0)
            counter.Increment(more);
    }

    std::string_view stateName(membership::MemberState state)
    {
        switch (state) {
        case membership::MemberState::Alive:
            return "alive";
        case membership::MemberState::Suspect:
            return "suspect";
        case membership::MemberState::Dead:
            return "dead";
        case membership::MemberState::Left:
            return "left";
        }
        return "unknown";
    }

    json memberDocument(const membership::Member& member)
    {
        const membership::MemberSummary& summary = member.summary;
        return { { "vm", summary.life.vm.value }, { "incarnation", summary.life.incarnation },
            { "state", stateName(member.state) }, { "zone", summary.zone.value },
            { "callerAddress", summary.callerAddress }, { "configOffset", summary.configOffset },
            { "draining", summary.draining }, { "load", summary.load } };
    }

    json poolDocument(const routing::PoolStatus& pool)
    {
        json customers = json::array();
        for (const scheduling::CustomerServiceEntry& it : pool.customers)
            customers.push_back(
                { { "customer", it.customer.value }, { "virtualService", it.service }, { "waiting", it.backlogged } });
        return { { "pool", pool.pool.value }, { "cellsOwned", pool.cellsOwned }, { "waiting", pool.waitingHere },
            { "running", pool.runningHere }, { "slots", pool.slotsOwned }, { "freeSlots", pool.freeSlotsOwned },
            { "gap", pool.measuredGap }, { "gapBound", pool.gapBound }, { "customers", std::move(customers) } };
    }

} // namespace

StatusExporter::StatusExporter()
    : m_controlBytes(counterFamily(
        m_metrics, "sagechute_control_bytes_total", "Bytes between routers and to the log, headers included"))
    , m_messages(counterFamily(m_metrics, "sagechute_messages_total", "Messages to other routers by kind"))
    , m_messageBytes(
          counterFamily(m_metrics, "sagechute_message_bytes_total", "Payload of messages to other routers by kind"))
    , m_requests(counterFamily(m_metrics, "sagechute_requests_total", "Requests of callers by outcome"))
    , m_fairnessGap(gaugeFamily(m_metrics, "sagechute_fairness_gap",
          "Largest difference of weighted service between two backlogged customers"))
    , m_fairnessGapBound(gaugeFamily(m_metrics, "sagechute_fairness_gap_bound", "The bound that the gap stays below"))
    , m_waiting(gaugeFamily(m_metrics, "sagechute_waiting_requests", "Requests that wait in this router"))
    , m_running(gaugeFamily(m_metrics, "sagechute_running_requests", "Requests of this router at targets"))
    , m_residentMemory(gaugeFamily(m_metrics, "process_resident_memory_bytes", "Resident memory").Add({}))
    , m_processCpuTime(gaugeFamily(m_metrics, "process_cpu_seconds", "Processor time of the whole process").Add({}))
    , m_coreCpuTime(
          gaugeFamily(m_metrics, "sagechute_core_cpu_seconds", "Processor time of the deciding thread").Add({}))
    , m_configOffset(
          gaugeFamily(m_metrics, "sagechute_config_offset", "Log offset up to which configuration is in force here")
              .Add({}))
    , m_undecodableMessages(
          gaugeFamily(m_metrics, "sagechute_undecodable_messages", "Messages of other routers that could not be read")
              .Add({}))
{
}

void StatusExporter::countOutcome(Outcome outcome)
{
    m_requests.Add({ { "outcome", std::string(toString(outcome)) } }).Increment();
}

void StatusExporter::countMessage(std::string_view kind, std::size_t bytes)
{
    const prometheus::Labels labels { { "kind", std::string(kind) } };
    m_messages.Add(labels).Increment();
    m_messageBytes.Add(labels).Increment(static_cast<double>(bytes));
}

void StatusExporter::update(const routing::RouterStatus& status, const ControlBytes& bytes, Duration coreCpuTime)
{
    const auto count = [this](const std::string& purpose, const peer::ByteCount& value) {
        advanceCounterTo(m_controlBytes.Add({ { "purpose", purpose }, { "direction", "sent" } }), value.sent);
        advanceCounterTo(m_controlBytes.Add({ { "purpose", purpose }, { "direction", "received" } }), value.received);
    };
    count("peer", bytes.peer);
    count("gossip", bytes.gossip);
    count("log", bytes.log);
    updatePools(status);
    const process::Usage usage = process::usage();
    m_residentMemory.Set(static_cast<double>(usage.residentBytes));
    m_processCpuTime.Set(std::chrono::duration<double>(usage.processorTime).count());
    m_coreCpuTime.Set(std::chrono::duration<double>(coreCpuTime).count());
    m_configOffset.Set(static_cast<double>(status.configOffset));
    m_undecodableMessages.Set(static_cast<double>(status.undecodable));
    std::lock_guard lock(m_mutex);
    m_status = status;
}

void StatusExporter::updatePools(const routing::RouterStatus& status)
{
    for (const routing::PoolStatus& it : status.pools) {
        poolGauge(m_fairnessGap, it.pool).Set(it.measuredGap);
        poolGauge(m_fairnessGapBound, it.pool).Set(it.gapBound);
        poolGauge(m_waiting, it.pool).Set(it.waitingHere);
        poolGauge(m_running, it.pool).Set(it.runningHere);
    }
}

prometheus::Gauge& StatusExporter::poolGauge(prometheus::Family<prometheus::Gauge>& family, const PoolId& pool)
{
    return family.Add({ { "pool", pool.value } });
}

json StatusExporter::statusDocument() const
{
    routing::RouterStatus status;
    {
        std::lock_guard lock(m_mutex);
        status = m_status;
    }
    json members = json::array();
    for (const membership::Member& it : status.members)
        members.push_back(memberDocument(it));
    json pools = json::array();
    for (const routing::PoolStatus& it : status.pools)
        pools.push_back(poolDocument(it));
    return { { "vm", status.life.vm.value }, { "incarnation", status.life.incarnation }, { "zone", status.zone.value },
        { "configOffset", status.configOffset }, { "logReachable", status.logReachable },
        { "draining", status.draining }, { "fresh", status.fresh }, { "load", status.requests },
        { "outcomesKept", status.outcomeEntries }, { "members", std::move(members) }, { "pools", std::move(pools) } };
}

} // namespace sagechute::router
