#include "EdgeState.h"

namespace sagechute::edge {

EdgeState::EdgeState(const dispatch::DispatchSettings& settings, const news::NewsTimes& times, VmId self, ZoneId zone,
    std::uint64_t seed, bool appliesEvacuations)
    : vm(std::move(self))
    , appliesEvacuations(appliesEvacuations)
    , m_evacuatedZones(times.storeBreak)
    , m_roster(times.storeBreak)
    , m_dispatcher(dispatch::Dispatcher::make(settings, std::move(zone), seed))
    , m_times(times)
    , m_stallDetector(times.stall)
{
}

OperatorChanges EdgeState::installOperatorNews(
    TimePoint now, const OperatorNews& news, const std::optional<dispatch::FleetConfig>& config)
{
    OperatorChanges changes;
    std::lock_guard lock(m_mutex);
    if (news.next > news::LogPosition {})
        changes.zones = news.hasAllZones ? m_evacuatedZones.replace(now, news.zones, news.next)
                                         : m_evacuatedZones.applyAll(now, news.zones, news.next);
    if (!changes.zones.empty())
        applyEvacuationsLocked();
    changes.isConfigInstalled = news.config && config && installConfigLocked(*news.config, *config);
    return changes;
}

void EdgeState::applyEvacuationsLocked()
{
    if (!appliesEvacuations)
        return;
    std::set<ZoneId> zones;
    for (const auto& [zone, entry] : m_evacuatedZones.zones())
        zones.insert(zone);
    m_dispatcher->setEvacuatedZones(steadyNow(), zones);
}

std::vector<news::ZoneChange> EdgeState::expireEvacuations()
{
    std::lock_guard lock(m_mutex);
    if (!m_configKnownUntil)
        return {};
    std::vector<news::ZoneChange> changed = m_evacuatedZones.expire(*m_configKnownUntil);
    if (!changed.empty())
        applyEvacuationsLocked();
    return changed;
}

bool EdgeState::installConfigLocked(const news::ConfigRecord& record, const dispatch::FleetConfig& config)
{
    // The configuration never goes back to an older version, whatever an old record or a lagging router sends.
    if (m_configRecord && record.version <= m_configRecord->version)
        return false;
    m_configRecord = record;
    auto table = dispatch::RoutingTable::make(config);
    m_dispatcher->setConfig(table);
    m_table.store(std::move(table));
    m_configVersion.store(record.version);
    m_configInstalledAt.store(steadyNow());
    return true;
}

std::optional<news::ConfigRecord> EdgeState::configRecord() const
{
    std::lock_guard lock(m_mutex);
    return m_configRecord;
}

void EdgeState::extendConfigKnowledge(TimePoint until)
{
    std::lock_guard lock(m_mutex);
    extendConfigKnowledgeLocked(until);
}

void EdgeState::extendConfigKnowledge(const news::ToldKnowledge& told, TimePoint sent)
{
    std::lock_guard lock(m_mutex);
    if (told.configAge && news::knowsOperatorRecordsOf(knowledgeLocked(), told))
        extendConfigKnowledgeLocked(sent - *told.configAge);
}

void EdgeState::extendConfigKnowledgeLocked(TimePoint until)
{
    if (!m_configKnownUntil || *m_configKnownUntil < until)
        m_configKnownUntil = until;
}

news::EvacuatedZones EdgeState::evacuatedZones() const
{
    std::lock_guard lock(m_mutex);
    return m_evacuatedZones;
}

news::Knowledge EdgeState::knowledgeLocked() const
{
    // Targets count as known, even as an empty list, once the whole topic has been read.
    return { m_configVersion.load(), m_configKnownUntil, m_roster.next().value_or(news::LogPosition {}),
        m_roster.knownUntil(), m_roster.readSince(), m_evacuatedZones.next().value_or(news::LogPosition {}) };
}

news::Knowledge EdgeState::knowledge() const
{
    std::lock_guard lock(m_mutex);
    return knowledgeLocked();
}

news::ToldKnowledge EdgeState::knowledgeForPeers() const
{
    const TimePoint readAt = std::min(configReadAt.load(), targetsReadAt.load());
    const std::optional<TimePoint> ownRead = readAt == TimePoint {} ? std::nullopt : std::optional(readAt);
    return news::tell(knowledge(), ownRead, unsuspendedNow());
}

news::Missing EdgeState::mergePeerKnowledge(const news::ToldKnowledge& told)
{
    std::lock_guard lock(m_mutex);
    noteRunningLocked();
    news::Knowledge mine = knowledgeLocked();
    const TimePoint now = unsuspendedNow();
    const news::Missing missing = news::learn(mine, told, now);
    m_configKnownUntil = mine.configUntil;
    const std::optional<news::ReadSpan> read = news::toldRead(told, now, now);
    if (read && !missing.targets && told.targetsNext.era == mine.targetsNext.era)
        m_roster.known(mine.targetsNext, *read);
    return missing;
}

dispatch::TargetSignals EdgeState::applyTargetSignals(
    TimePoint now, const dispatch::TargetIncarnation& target, const dispatch::TargetSignals& signals)
{
    dispatch::TargetSignals unknown;
    std::lock_guard lock(m_mutex);
    if (signals.isDraining)
        updateTargetsLocked(
            [&](news::TargetRoster& roster) { unknown.isDraining = roster.saidDraining(unsuspendedNow(), target); });
    if (signals.backoff && m_dispatcher->backOff(now, target, *signals.backoff))
        unknown.backoff = signals.backoff;
    if (signals.isCold() && m_dispatcher->setCold(now, target, *signals.coldLeft))
        unknown.coldLeft = signals.coldLeft;
    if (signals.load)
        m_dispatcher->observeLoad(now, target, *signals.load);
    return unknown;
}

SendCheck EdgeState::checkSend(TimePoint now, const dispatch::TargetIncarnation& target)
{
    std::lock_guard lock(m_mutex);
    noteRunningLocked();
    const TimePoint sent = unsuspendedNow();
    SendCheck check { !isRenewalAwaitedLocked() && m_dispatcher->maySend(now, target), std::nullopt };
    if (const auto until = m_roster.knownUntil())
        check.knowledgeAge = sent - *until;
    if (check.maySend)
        m_lastSent[target] = sent;
    return check;
}

bool EdgeState::isRenewalAwaited()
{
    std::lock_guard lock(m_mutex);
    noteRunningLocked();
    return isRenewalAwaitedLocked();
}

bool EdgeState::isRenewalAwaitedLocked() const
{
    return m_stalledUntil && news::isRenewalAwaited(unsuspendedNow(), m_stalledUntil, m_roster.knownUntil(), m_times);
}

Duration EdgeState::noteRunning()
{
    std::lock_guard lock(m_mutex);
    noteRunningLocked();
    return m_stalledTime;
}

void EdgeState::noteRunningLocked()
{
    const std::optional<news::Stall> stall = m_stallDetector.observe(unsuspendedNow());
    if (!stall)
        return;
    m_roster.noteStall(*stall);
    m_stalledUntil = stall->until;
    m_stalledTime += stall->until - stall->from;
    const auto until = m_roster.knownUntil();
    m_stalls.push_back(
        { stall->until - stall->from, until ? std::optional<Duration>(stall->until - *until) : std::nullopt });
}

void EdgeState::recordDepartures()
{
    const TimePoint now = unsuspendedNow();
    for (const news::Departure& it : m_roster.takeDepartures()) {
        HeededDeparture heeded { it.target, it.isGone, std::nullopt, std::nullopt };
        const auto sent = m_lastSent.find(it.target);
        if (it.noticeAfter) {
            heeded.noticeAge = now - *it.noticeAfter;
            if (sent != m_lastSent.end() && sent->second > *it.noticeAfter)
                heeded.lastSent = sent->second - *it.noticeAfter;
        }
        if (sent != m_lastSent.end())
            m_lastSent.erase(sent);
        m_departures.push_back(std::move(heeded));
    }
}

std::vector<HeededDeparture> EdgeState::takeDepartures()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_departures, {});
}

std::optional<news::StoreReturn> EdgeState::takeStoreReturn()
{
    std::lock_guard lock(m_mutex);
    return m_roster.takeStoreReturn();
}

std::vector<EndedStall> EdgeState::takeStalls()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_stalls, {});
}

bool EdgeState::canServe() const
{
    if (isStopping || !table())
        return false;
    std::lock_guard lock(m_mutex);
    return m_dispatcher->hasTargets();
}

} // namespace sagechute::edge
