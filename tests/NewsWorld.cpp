#include "NewsWorld.h"

#include <algorithm>
#include <utility>

namespace sagechute::news::test {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration tick = milliseconds(10);
    /// After a fault, a router counts as connected once the bound plus this margin has passed.
    constexpr Duration stableMargin = std::chrono::seconds(1);
    constexpr Duration transitTime = milliseconds(2);
    constexpr Duration answerTime = milliseconds(5);
    constexpr Duration slowTime = milliseconds(340);
    constexpr Duration answerTimeout = milliseconds(1200);
    constexpr Duration fetchTime = milliseconds(20);
    constexpr Duration idleHeartbeat = milliseconds(150);
    constexpr Duration busyHeartbeat = milliseconds(80);
    constexpr Duration heartbeatRetention = milliseconds(900);
    constexpr Duration electionInterval = milliseconds(500);
    constexpr Duration lossDetectionTime = milliseconds(3600); ///< Until all routers have detected a loss.
    constexpr std::size_t maxQueuedDatagrams = 200; ///< Datagrams that the kernel queues for a paused router.
    constexpr double lossShare = 0.02;

} // namespace

NewsWorld::NewsWorld(const NewsWorldOptions& options)
    : m_options(options)
    , m_times(NewsTimes::make(options.bound, options.isFirstStart))
    , m_random(options.seed)
    , m_routers(options.routers)
    , m_relays(zones, 0)
    , m_store(m_now, options.bound + stableMargin)
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        Router& it = m_routers[i];
        it.vm = { "router-" + std::to_string(100 + i) };
        it.capacity = usesRelays() && m_random.fraction() < 0.2 ? 500 : 120;
        it.zone = i % zones;
        it.startedAt = m_now;
        it.requests.emplace(m_times, m_now);
        it.roster = TargetRoster(m_times.storeBreak);
        it.stalls.emplace(m_times.stall);
        it.nextHeartbeat = m_now + tick * static_cast<int>(i % 8);
        it.disturbedUntil = m_now;
    }
    electRelays();
}

void NewsWorld::electRelays()
{
    for (std::size_t zone = 0; zone < zones; ++zone) {
        std::optional<std::size_t> best;
        for (std::size_t i = zone; i < m_routers.size(); i += zones) {
            const Router& it = m_routers[i];
            if (isKnownLost(it))
                continue;
            if (!best || it.capacity > m_routers[*best].capacity)
                best = i;
        }
        m_relays[zone] = best.value_or(zone);
    }
    m_nextElection = m_now + electionInterval;
}

void NewsWorld::beginFault()
{
    const auto length = milliseconds(300 + static_cast<int>(m_random.fraction() * 6000));
    const double drawn = m_random.fraction();
    if (m_options.isStoreShared && drawn < 0.08) {
        const std::array<StoreBehavior, 3> all { StoreBehavior::Busy, StoreBehavior::Silent, StoreBehavior::Slow };
        m_store.setBehavior(m_now, all[static_cast<std::size_t>(m_random.fraction() * 3)], m_now + length, m_random);
        return;
    }
    const auto kind = [&] {
        if (drawn < 0.35)
            return m_random.fraction() < 0.5 ? FaultKind::Refused : FaultKind::Unanswered;
        return drawn < 0.5 ? FaultKind::Paused
            : drawn < 0.6  ? FaultKind::DropsInbound
            : drawn < 0.7  ? FaultKind::DropsOutbound
            : drawn < 0.85 ? FaultKind::Partitioned
                           : FaultKind::Restarted;
    };
    // Often affects the router that reads for the others; sometimes several at once.
    const double share = m_random.fraction() < 0.2 ? 0.35 : 0;
    const std::size_t first = m_random.fraction() < 0.4
        ? (usesRelays() ? relayOf(static_cast<std::size_t>(m_random.fraction() * zones)) : 0)
        : static_cast<std::size_t>(m_random.fraction() * static_cast<double>(m_routers.size()));
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (i == first || m_random.fraction() < share)
            injectFault(i, kind(), m_now + length);
    }
}

void NewsWorld::injectFault(std::size_t i, FaultKind kind, TimePoint end)
{
    Router& it = m_routers[i];
    switch (kind) {
    case FaultKind::Refused:
    case FaultKind::Unanswered:
        // It can still get the data from others, so the bound applies.
        it.behavior = kind == FaultKind::Refused ? StoreBehavior::Busy : StoreBehavior::Silent;
        it.behaviorUntil = end;
        return;
    case FaultKind::Paused:
        it.pausedUntil = end;
        it.silentSince = m_now;
        break;
    case FaultKind::DropsInbound:
        it.inboundDownUntil = end;
        break;
    case FaultKind::DropsOutbound:
        it.outboundDownUntil = end;
        it.silentSince = m_now;
        break;
    case FaultKind::Partitioned:
        it.inboundDownUntil = it.outboundDownUntil = it.behaviorUntil = end;
        it.behavior = StoreBehavior::Silent;
        it.silentSince = m_now;
        break;
    case FaultKind::Restarted:
        restart(i);
        break;
    }
    m_routers[i].disturbedUntil = std::max(m_routers[i].disturbedUntil, end);
}

void NewsWorld::restart(std::size_t i)
{
    const Router& before = m_routers[i];
    Router it { before.vm, before.capacity, m_now + milliseconds(500) };
    it.zone = before.zone;
    it.life = before.life + 1;
    it.requests.emplace(m_times, it.startedAt);
    it.roster = TargetRoster(m_times.storeBreak);
    it.stalls.emplace(m_times.stall);
    it.pausedUntil = it.startedAt;
    it.nextHeartbeat = it.startedAt;
    m_routers[i] = std::move(it);
}

Knowledge NewsWorld::knowledge(const Router& it)
{
    return { it.configVersion, it.configUntil, it.roster.next().value_or(LogPosition {}), it.roster.knownUntil(),
        it.roster.readSince(), it.zones.next().value_or(LogPosition {}) };
}

std::optional<TimePoint> NewsWorld::knownUntil(const Router& it, std::size_t topic)
{
    return topic ? it.roster.knownUntil() : it.configUntil;
}

std::vector<std::size_t> NewsWorld::receivers(std::size_t i) const
{
    std::vector<std::size_t> all;
    if (!usesRelays()) {
        for (std::size_t k = 0; k < m_routers.size(); ++k) {
            if (k != i)
                all.push_back(k);
        }
        return all;
    }
    const std::size_t zone = m_routers[i].zone;
    if (relayOf(zone) != i)
        return { relayOf(zone) };
    for (std::size_t k = 0; k < m_routers.size(); ++k) {
        const bool isMember = m_routers[k].zone == zone;
        if (k != i && (isMember || relayOf(m_routers[k].zone) == k))
            all.push_back(k);
    }
    return all;
}

ReadStanding NewsWorld::standingOf(std::size_t i) const
{
    const Router& self = m_routers[i];
    if (usesRelays() && relayOf(self.zone) != i)
        return { false, zones };
    std::vector<ReaderPeer> others;
    for (const auto& [k, told] : self.heard) {
        const bool counts = !usesRelays() || relayOf(m_routers[k].zone) == k;
        const Duration since = m_now - told.second;
        if (!counts || since > heartbeatRetention)
            continue;
        std::optional<Duration> readAge = told.first.readAge;
        if (readAge)
            *readAge += since;
        others.push_back({ m_routers[k].vm, m_routers[k].capacity, readAge });
    }
    return standing(self.vm, self.capacity, others, m_times);
}

void NewsWorld::heartbeat(std::size_t i)
{
    Router& self = m_routers[i];
    if (m_now < self.nextHeartbeat)
        return;
    self.nextHeartbeat = m_now + (m_random.fraction() < 0.5 ? idleHeartbeat : busyHeartbeat);
    std::optional<TimePoint> readAt;
    if (self.readAt[0] && self.readAt[1])
        readAt = std::min(*self.readAt[0], *self.readAt[1]);
    ToldKnowledge told = tell(knowledge(self), readAt, m_now);
    if (m_options.fault == DeliberateFault::TrustsReadingFlag && readAt && m_now - *readAt < std::chrono::seconds(120)
        && !self.failedAt[0] && !self.failedAt[1])
        told.configAge = told.targetsAge = Duration::zero();
    const auto reads
        = [&](const auto& it) { return it.second.first.readAge && m_now - it.second.second <= heartbeatRetention; };
    if (m_options.fault == DeliberateFault::ClaimsReadersFreshness
        && std::any_of(self.heard.begin(), self.heard.end(), reads))
        told.configAge = told.targetsAge = told.readAge = Duration::zero();
    for (const std::size_t k : receivers(i)) {
        Router& other = m_routers[k];
        const bool isLost
            = m_random.fraction() < lossShare || m_now < self.outboundDownUntil || m_now < other.inboundDownUntil;
        if (!isLost && other.inbox.size() < maxQueuedDatagrams)
            other.inbox.push_back({ i, told, m_now, m_now + transitTime });
    }
}

void NewsWorld::receive(std::size_t i)
{
    Router& self = m_routers[i];
    while (!self.inbox.empty() && self.inbox.front().arrives <= m_now) {
        Message message = self.inbox.front();
        const ToldKnowledge received = message.told;
        self.inbox.pop_front();
        TransitMeter& transit = self.transit[{ message.from, m_routers[message.from].life }];
        const Duration delay = transit.delay(message.sent, m_now);
        if (m_options.fault != DeliberateFault::IgnoresQueueingDelay)
            message.told = delayed(message.told, delay);
        if (m_options.fault == DeliberateFault::IgnoresTransitTime)
            message.told = received;
        self.heard[message.from] = { message.told, m_now };
        hear(self, message.told, message.from);
    }
    if (m_options.fault == DeliberateFault::TrustsSilentSource) {
        for (const auto& [k, told] : self.heard) {
            const Knowledge mine = knowledge(self);
            const bool knowsAsMuch = told.first.configVersion <= mine.configVersion
                && told.first.targetsNext <= mine.targetsNext && told.first.operatorNext <= mine.operatorNext;
            if (told.first.configAge && knowsAsMuch && m_now - told.second < std::chrono::seconds(6)) {
                self.configUntil = m_now;
                self.roster.known(mine.targetsNext, m_now);
            }
        }
    }
}

void NewsWorld::hear(Router& self, const ToldKnowledge& received, std::size_t from)
{
    Knowledge mine = knowledge(self);
    ToldKnowledge told = received;
    if (m_options.fault == DeliberateFault::IgnoresOperatorOffset)
        told.operatorNext = mine.operatorNext;
    const Missing missing = learn(mine, told, m_now);
    if (m_options.fault == DeliberateFault::AdoptsAgeWithoutData) {
        if (told.configAge)
            mine.configUntil = m_now - *told.configAge;
        if (told.targetsAge)
            mine.targetsUntil = m_now - *told.targetsAge;
    }
    self.configUntil = mine.configUntil;
    const std::optional<ReadSpan> read = toldRead(told, m_now, m_now);
    if (m_options.fault == DeliberateFault::AdoptsAgeWithoutData && mine.targetsUntil)
        self.roster.known(mine.targetsNext, *mine.targetsUntil);
    else if (read && !missing.targets)
        self.roster.known(mine.targetsNext, *read);
    if (missing.any())
        self.news = from;
}

void NewsWorld::startFetch(std::size_t i, std::size_t from, PeerRequests::Whom whom)
{
    const Router& other = m_routers[from];
    Router& self = m_routers[i];
    const bool isConnected = m_now >= other.inboundDownUntil && m_now >= other.outboundDownUntil
        && m_now >= self.inboundDownUntil && m_now >= self.outboundDownUntil;
    const Duration lasts = !isConnected ? m_times.patience : isPaused(other) ? 2 * m_times.patience : fetchTime;
    self.requests->sent(other.vm, m_now, whom);
    self.fetches.push_back({ from, m_now, m_now + lasts, self.roster.next() });
    ++m_report.fetches;
}

void NewsWorld::askOthers(std::size_t i)
{
    Router& self = m_routers[i];
    const std::optional<std::size_t> source = std::exchange(self.news, std::nullopt);
    const auto vm = source ? std::optional(m_routers[*source].vm) : std::nullopt;
    const auto whom = self.requests->due(m_now, witnessedUntil(knowledge(self), self.roster), vm);
    if (whom == PeerRequests::Whom::Source)
        startFetch(i, *source, whom);
    if (whom != PeerRequests::Whom::Anyone || m_options.fault == DeliberateFault::NeverAsksPeers)
        return;
    if (const std::optional<std::size_t> other = anyPeer(i))
        startFetch(i, *other, whom);
    else
        self.requests->nobodyThere(m_now);
}

std::optional<std::size_t> NewsWorld::anyPeer(std::size_t i)
{
    const Router& self = m_routers[i];
    std::vector<std::size_t> others;
    for (std::size_t k = 0; k < m_routers.size(); ++k) {
        const auto heard = self.heard.find(k);
        const bool isHeard = heard != self.heard.end() && m_now - heard->second.second <= heartbeatRetention;
        const bool isThere = usesRelays() ? !isKnownLost(m_routers[k]) : isHeard;
        if (k != i && isThere && self.requests->canAsk(m_routers[k].vm, m_now))
            others.push_back(k);
    }
    if (others.empty())
        return std::nullopt;
    return others[static_cast<std::size_t>(m_random.fraction() * static_cast<double>(others.size()))];
}

bool NewsWorld::isKnownLost(const Router& it) const
{
    return m_now < std::max(it.pausedUntil, it.outboundDownUntil) && m_now - it.silentSince >= lossDetectionTime;
}

void NewsWorld::answerFetch(Fetch& fetch) const
{
    if (fetch.answer || m_now < fetch.end)
        return;
    fetch.answer = Answer { m_now, fetch.end - fetch.sent > fetchTime };
    if (fetch.answer->hasFailed)
        return;
    const Router& other = m_routers[fetch.from];
    const auto changes = fetch.targetsNext ? other.roster.changesSince(*fetch.targetsNext) : std::nullopt;
    fetch.answer->told = tell(knowledge(other), std::nullopt, m_now);
    fetch.answer->configVersion = other.configVersion;
    fetch.answer->zones = other.zones.all();
    fetch.answer->hasAllTargets = !changes;
    fetch.answer->targets = changes ? *changes : other.roster.all();
}

void NewsWorld::finishFetches(std::size_t i)
{
    Router& self = m_routers[i];
    const auto ended = std::stable_partition(
        self.fetches.begin(), self.fetches.end(), [](const Fetch& it) { return !it.answer.has_value(); });
    const std::vector<Fetch> answered(ended, self.fetches.end());
    self.fetches.erase(ended, self.fetches.end());
    for (const Fetch& it : answered) {
        self.requests->ended(m_routers[it.from].vm, m_now, !it.answer->hasFailed);
        if (!it.answer->hasFailed)
            takeFrom(self, it);
    }
}

void NewsWorld::takeFrom(Router& self, const Fetch& fetch)
{
    const ToldKnowledge& told = fetch.answer->told;
    if (told.operatorNext.offset > 0)
        takeOperatorNews(self, *fetch.answer, told.operatorNext, true);
    if (told.configAge && knowsOperatorRecordsOf(knowledge(self), told))
        self.configUntil = std::max(self.configUntil.value_or(TimePoint {}), fetch.sent - *told.configAge);
    if (told.targetsAge)
        takeTargets(self, *fetch.answer, told.targetsNext, *toldRead(told, fetch.sent, m_now));
}

void NewsWorld::startCall(Router& self, std::size_t topic, Duration wait)
{
    StoreBehavior behavior = m_store.behavior(m_now);
    if (behavior == StoreBehavior::Serves && m_now < self.behaviorUntil)
        behavior = self.behavior;
    Call call { m_now, m_now + answerTime, wait };
    if (topic)
        call.from = self.roster.next();
    else {
        if (const std::optional<LogPosition> known = self.zones.next())
            self.cursors[topic].toldByPeer(*known);
        call.from = self.cursors[topic].next();
    }
    if (!call.from)
        call.wait = {};
    if (behavior == StoreBehavior::Busy)
        call.willFail = true;
    if (behavior == StoreBehavior::Silent) {
        call.willFail = true;
        call.end = m_now + call.wait + answerTimeout;
    }
    call.isSlow = behavior == StoreBehavior::Slow;
    if (call.isSlow)
        call.end = m_now + slowTime;
    self.calls[topic] = call;
    self.sentAt[topic] = m_now;
    ++m_report.storeCalls;
}

void NewsWorld::takeOperatorNews(Router& self, const Answer& answer, LogPosition next, bool hasAllZones)
{
    if (hasAllZones && m_options.fault == DeliberateFault::IgnoresPeersZones && !self.zones.next())
        self.zones.applyAll(m_now, {}, next);
    else if (hasAllZones)
        self.zones.replace(m_now, answer.zones, next);
    else
        self.zones.applyAll(m_now, answer.zones, next);
    self.configVersion = std::max(self.configVersion, answer.configVersion);
}

void NewsWorld::takeTargets(Router& self, const Answer& answer, LogPosition next, ReadSpan read)
{
    self.roster.known(next, read);
    if (answer.hasAllTargets)
        self.roster.replace(m_now, answer.targets, next);
    else
        self.roster.applyAll(m_now, answer.targets);
}

void NewsWorld::answerCall(Router& self, std::size_t topic)
{
    std::optional<Call>& call = self.calls[topic];
    if (!call || call->answer)
        return;
    // A call pending at a store that stops answering is never answered.
    const bool isServed = m_now >= m_store.behaviorUntil() && m_now >= self.behaviorUntil;
    if (!isServed && !call->willFail && !call->isSlow) {
        call->willFail = true;
        call->end = call->sent + call->wait + answerTimeout;
    }
    const LogPosition newest = topic ? m_store.targetsEnd() : m_store.operatorEnd();
    const bool isOver = newest > call->from.value_or(LogPosition {}) || m_now - call->sent >= call->wait;
    if (m_now < call->end || (!call->willFail && !isOver))
        return;
    call->answer = Answer { m_now, call->willFail, newest };
    call->answer->hasAllTargets = !call->from;
    if (!topic && !call->willFail) {
        call->answer->isHistoryLost = call->from && call->from->offset < m_store.operatorFirst();
        call->answer->configVersion = m_store.configVersionsBefore(newest.offset);
        call->answer->zones
            = call->from ? m_store.zoneChanges(call->from->offset, newest.offset) : m_store.zonesBefore(newest.offset);
    }
    if (topic && !call->willFail)
        call->answer->targets = call->from ? m_store.targetsSince(call->from->offset) : m_store.targets();
}

void NewsWorld::finishCalls(std::size_t i)
{
    Router& self = m_routers[i];
    for (std::size_t topic = 0; topic < topics; ++topic) {
        if (m_options.fault == DeliberateFault::IgnoresCallDuration && self.calls[topic] && knownUntil(self, topic)) {
            if (topic)
                self.roster.known(*self.roster.next(), m_now);
            else
                self.configUntil = m_now;
        }
        if (!self.calls[topic] || !self.calls[topic]->answer)
            continue;
        const Call call = *std::exchange(self.calls[topic], std::nullopt);
        if (call.answer->hasFailed || call.answer->isHistoryLost) {
            if (call.answer->isHistoryLost)
                self.cursors[topic].historyLost();
            else
                self.cursors[topic].readFailed(m_now);
            self.failedAt[topic] = call.sent;
            continue;
        }
        const LogPosition newest = call.answer->newest;
        self.cursors[topic].readDone(m_now, newest);
        self.failedAt[topic].reset();
        self.readAt[topic] = m_now;
        const bool isEmpty = newest <= call.from.value_or(LogPosition {});
        const TimePoint until = knownByRead(call.sent, m_now, call.wait, isEmpty);
        if (topic) {
            takeTargets(self, *call.answer, newest, { call.sent, until });
        } else {
            takeOperatorNews(self, *call.answer, newest, !call.from);
            self.configUntil = std::max(self.configUntil.value_or(until), until);
        }
    }
}

void NewsWorld::startReads(std::size_t i)
{
    Router& self = m_routers[i];
    for (std::size_t topic = 0; topic < topics; ++topic) {
        if (self.calls[topic])
            continue;
        const std::optional<TimePoint> until = knownUntil(self, topic);
        if (self.failedAt[topic] && until && *until > *self.failedAt[topic]) {
            self.cursors[topic].renewed();
            self.failedAt[topic].reset();
        }
        ReadOccasion it;
        it.startedAt = self.startedAt;
        it.isSeed = i < 3;
        it.knownUntil = until;
        it.standing = standingOf(i);
        it.place = static_cast<double>(i) / static_cast<double>(m_routers.size());
        it.failedAt = self.failedAt[topic];
        it.retryDelay = self.cursors[topic].retryDelay();
        it.failures = self.cursors[topic].failures();
        TimePoint due = readDue(it, m_times);
        if (self.sentAt[topic])
            due = std::max(due, *self.sentAt[topic] + m_times.wait / 5);
        if (m_now >= due)
            startCall(self, topic, it.standing.isReader ? m_times.wait : Duration::zero());
    }
}

bool NewsWorld::isSettled(const Router& it) const
{
    return m_now >= std::max(it.disturbedUntil, it.startedAt) + m_times.bound + stableMargin;
}

void NewsWorld::check(std::size_t i)
{
    const Router& self = m_routers[i];
    if (!isSettled(self) || m_now < m_store.stableAt())
        return;
    // A router that the store refuses must get the data from another, if there is an unaffected one.
    const auto isUnaffected
        = [&](const Router& it) { return isSettled(it) && m_now >= it.behaviorUntil + m_times.bound; };
    if (!isUnaffected(self) && std::none_of(m_routers.begin(), m_routers.end(), isUnaffected))
        return;
    for (const auto& since : { m_store.configMissingSince(self.configVersion),
             m_store.targetsMissingSince(self.roster.next().value_or(LogPosition {}).offset) }) {
        if (since)
            m_report.worstAge = std::max(m_report.worstAge, Duration(m_now - *since));
    }
    if (self.leftFirst)
        m_report.worstUseAfterRemoval = std::max(m_report.worstUseAfterRemoval, Duration(m_now - *self.leftFirst));
}

void NewsWorld::checkZones(const Router& self)
{
    const LogOffset next = self.zones.next().value_or(LogPosition {}).offset;
    const bool lacksRecords = self.configVersion > m_store.configVersionsBefore(next);
    m_report.wrongZones += lacksRecords || self.zones.all() != m_store.zonesBefore(next) ? 1 : 0;
    if (const auto since = m_store.operatorMissingSince(next)) {
        const TimePoint due = std::max({ *since, self.disturbedUntil, self.startedAt });
        m_report.worstZoneAge = std::max(m_report.worstZoneAge, Duration(m_now - due));
    }
}

void NewsWorld::checkTargets(Router& self)
{
    if (self.seenRevision == self.roster.revision() && self.seenEnd == m_store.targetsEnd())
        return;
    self.seenRevision = self.roster.revision();
    self.seenEnd = m_store.targetsEnd();
    self.leftFirst.reset();
    std::set<TargetId> present;
    for (const dispatch::Target& it : self.roster.targets()) {
        present.insert(it.id);
        const std::optional<TimePoint> left = m_store.leftAt(it.id);
        if (left && !it.draining)
            self.leftFirst = std::min(self.leftFirst.value_or(*left), *left);
    }
    for (const TargetId& it : self.used)
        m_report.lostTargets += present.contains(it) || m_store.leftAt(it) ? 0 : 1;
    self.used = std::move(present);
}

void NewsWorld::step(std::size_t i)
{
    Router& self = m_routers[i];
    for (std::size_t topic = 0; topic < topics; ++topic)
        answerCall(self, topic);
    for (Fetch& it : self.fetches)
        answerFetch(it);
    if (isPaused(self)) {
        self.disturbedUntil = std::max(self.disturbedUntil, m_now);
        return;
    }
    if (const auto stall = self.stalls->observe(m_now))
        self.roster.noteStall(*stall);
    finishFetches(i);
    receive(i);
    finishCalls(i);
    startReads(i);
    askOthers(i);
    heartbeat(i);
    self.roster.expire(m_now);
    checkTargets(self);
    if (!m_storePlan.empty())
        checkZones(self);
    check(i);
}

NewsReport NewsWorld::run(Duration length)
{
    const TimePoint begin = m_now;
    const TimePoint end = m_now + length;
    const double faultShare = m_options.faultsPerSecond * std::chrono::duration<double>(tick).count();
    const double changeShare = 1.5 * std::chrono::duration<double>(tick).count();
    while (m_now < end) {
        m_now += tick;
        if (m_random.fraction() < faultShare)
            beginFault();
        for (const PlannedFault& it : m_plan) {
            if (m_now - begin >= it.at && m_now - begin < it.at + tick) {
                for (const std::size_t i : it.routers)
                    injectFault(i, it.kind, m_now + it.length);
            }
        }
        for (const PlannedChange& it : m_storePlan) {
            if (m_now - begin >= it.at && m_now - begin < it.at + tick)
                it.apply();
        }
        if (m_random.fraction() < changeShare)
            m_store.change(m_now, m_random);
        m_store.step(m_now);
        if (m_now >= m_nextElection)
            electRelays();
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            step(i);
    }
    return m_report;
}

} // namespace sagechute::news::test
