#include "NewsWorld.h"

#include <algorithm>
#include <cstdio>
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
    constexpr Duration agreementTime = std::chrono::seconds(2); ///< After the last writing again, besides the bound.
    constexpr double zoneChangesPerSecond = 0.2;
    constexpr Duration maxLateness = milliseconds(1100); ///< Of an answer on its way; the call would time out later.
    constexpr double lateAnswerShare = 0.03; ///< In courses with returns.

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
    trace(it,
        "has fault " + std::to_string(static_cast<int>(kind)) + " for "
            + std::to_string(std::chrono::duration_cast<milliseconds>(end - m_now).count()) + " ms");
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
    if (m_options.fault == DeliberateFault::HidesEraFromPeers) {
        told.operatorNext.era = mine.operatorNext.era;
        told.targetsNext.era = mine.targetsNext.era;
    }
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
    Answer answer = *fetch.answer;
    if (m_options.fault == DeliberateFault::TakesOlderEraFromPeer)
        setEra(answer, std::max(answer.told.targetsNext.era, self.roster.next().value_or(LogPosition {}).era));
    const ToldKnowledge& told = answer.told;
    if (told.operatorNext.offset > 0)
        takeOperatorNews(self, answer, told.operatorNext, true);
    if (told.configAge && knowsOperatorRecordsOf(knowledge(self), told))
        self.configUntil = std::max(self.configUntil.value_or(TimePoint {}), fetch.sent - *told.configAge);
    const bool isOfOlderEra = self.roster.next() && told.targetsNext.era < self.roster.next()->era;
    if (told.targetsAge && !isOfOlderEra)
        takeTargets(self, answer, told.targetsNext, *toldRead(told, fetch.sent, m_now));
}

void NewsWorld::startCall(Router& self, std::size_t topic, Duration wait)
{
    StoreBehavior behavior = m_store.behavior(m_now);
    if (behavior == StoreBehavior::Serves && m_now < self.behaviorUntil)
        behavior = self.behavior;
    Call call { m_now, m_now + answerTime, wait };
    if (const std::optional<LogPosition> known = topic ? self.roster.next() : self.zones.next())
        self.cursors[topic].toldByPeer(*known);
    call.from = self.cursors[topic].next();
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
    // As in EdgeState: a configuration never goes back.
    if (answer.configVersion > self.configVersion) {
        self.configVersion = answer.configVersion;
        self.configSince = m_now;
    }
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
    LogPosition newest = topic ? m_store.targetsEnd() : m_store.operatorEnd();
    if (m_options.fault == DeliberateFault::IgnoresEra)
        newest.era = 1;
    const bool isLost = call->from && call->from->offset > newest.offset;
    const bool isOver = isLost || newest > call->from.value_or(LogPosition {}) || m_now - call->sent >= call->wait;
    if (m_now < call->end || (!call->willFail && !isOver))
        return;
    answerNow(*call, topic);
    if (m_hasReturns && !call->willFail && m_random.fraction() < lateAnswerShare)
        call->answer->at += std::chrono::duration_cast<Duration>(maxLateness * m_random.fraction());
}

void NewsWorld::answerNow(Call& call, std::size_t topic) const
{
    const LogPosition newest = topic ? m_store.targetsEnd() : m_store.operatorEnd();
    call.answer = Answer { m_now, call.willFail, newest };
    Answer& answer = *call.answer;
    answer.hasAllTargets = !call.from;
    if (call.willFail)
        return;
    if (m_options.fault == DeliberateFault::IgnoresEra) {
        forgetEra(answer);
        answer.isHistoryLost = call.from && call.from->offset > newest.offset;
    } else {
        answer.isHistoryLost = call.from && call.from->era < newest.era;
    }
    if (!topic)
        answer.isHistoryLost = answer.isHistoryLost || (call.from && call.from->offset < m_store.operatorFirst());
    if (answer.isHistoryLost)
        return;
    if (topic) {
        answer.targets = call.from ? m_store.targetsSince(call.from->offset) : m_store.targets();
    } else {
        answer.configVersion = m_store.lastConfig(call.from ? call.from->offset : 0, newest.offset);
        answer.zones
            = call.from ? m_store.zoneChanges(call.from->offset, newest.offset) : m_store.zonesBefore(newest.offset);
    }
    if (m_options.fault == DeliberateFault::IgnoresEra)
        forgetEra(answer);
}

void NewsWorld::forgetEra(Answer& answer) { setEra(answer, 1); }

void NewsWorld::setEra(Answer& answer, StoreEra era)
{
    answer.newest.era = answer.told.targetsNext.era = answer.told.operatorNext.era = era;
    for (TargetChange& it : answer.targets)
        it.position.era = era;
    for (ZoneChange& it : answer.zones)
        it.position.era = era;
}

void NewsWorld::beginReturns()
{
    m_hasReturns = m_hasReturns || m_options.returnsPerSecond > 0;
    if (!m_hasReturns)
        return;
    m_store.startRenewals(m_now);
    if (m_options.keepsFormerEras)
        m_store.keepFormerEras();
    if (m_options.mixesVersions)
        m_store.mixVersions();
}

void NewsWorld::drawReturns()
{
    if (m_options.returnsPerSecond <= 0)
        return;
    const double seconds = std::chrono::duration<double>(tick).count();
    const auto randomTime
        = [&](int min, int max) { return milliseconds(min + static_cast<int>(m_random.fraction() * (max - min))); };
    if (m_random.fraction() < m_options.returnsPerSecond * seconds) {
        const Duration age = randomTime(500, 10000);
        const double prelude = m_random.fraction();
        const Duration length = randomTime(300, 4000);
        const bool isTwofold = m_random.fraction() < 0.3;
        const Duration apart = randomTime(100, 3500);
        TimePoint at = m_now;
        if (prelude < 0.75) {
            const StoreBehavior behavior = prelude < 0.25 ? StoreBehavior::Busy
                : prelude < 0.5                           ? StoreBehavior::Silent
                                                          : StoreBehavior::Slow;
            at += length;
            m_store.setBehavior(m_now, behavior, at, m_random);
        }
        m_nextReturns.push_back({ at, age });
        if (isTwofold)
            m_nextReturns.push_back({ at + apart, randomTime(500, 10000) });
    }
    std::vector<Duration> due;
    std::erase_if(m_nextReturns, [&](const auto& it) {
        if (it.first <= m_now)
            due.push_back(it.second);
        return it.first <= m_now;
    });
    for (const Duration age : due)
        returnStore(age);
    if (m_random.fraction() < zoneChangesPerSecond * seconds && m_store.behavior(m_now) == StoreBehavior::Serves) {
        const ZoneId zone { "zone-" + std::to_string(static_cast<int>(m_random.fraction() * zones)) };
        const bool isEvacuated = m_random.fraction() < 0.5;
        m_store.changeZone(m_now, zone, isEvacuated);
        trace(zone.value + (isEvacuated ? " evacuated" : " lifted"));
    }
}

void NewsWorld::returnStore(Duration age)
{
    for (Router& self : m_routers) {
        for (std::size_t topic = 0; topic < topics; ++topic) {
            std::optional<Call>& call = self.calls[topic];
            if (!call || call->answer || call->willFail)
                continue;
            // A call that is under way breaks off, or was answered before and arrives late, or is answered afterwards.
            const double drawn = m_random.fraction();
            const Duration lateness = std::chrono::duration_cast<Duration>(maxLateness * m_random.fraction());
            const LogPosition newest = topic ? m_store.targetsEnd() : m_store.operatorEnd();
            const bool hasAnswer = !call->from || call->wait == Duration::zero() || newest > *call->from;
            if (drawn < 0.5 && hasAnswer) {
                answerNow(*call, topic);
                call->answer->at = m_now + lateness;
            } else if (drawn < 0.75) {
                call->willFail = true;
                call->end = m_now;
            }
        }
    }
    m_store.returnFromCopy(m_now, age, m_random);
    m_returnedAt = m_now;
    ++m_report.returns;
    trace("store returns from a copy " + std::to_string(std::chrono::duration_cast<milliseconds>(age).count())
        + " ms old, era " + std::to_string(m_store.era()) + ", ends " + std::to_string(m_store.operatorEnd().offset)
        + " " + std::to_string(m_store.targetsEnd().offset));
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
        if (!self.calls[topic] || !self.calls[topic]->answer || m_now < self.calls[topic]->answer->at)
            continue;
        Call call = *std::exchange(self.calls[topic], std::nullopt);
        if (m_options.fault == DeliberateFault::TakesEraOfArrival)
            setEra(*call.answer,
                std::max({ call.answer->newest.era, self.storeEra, self.zones.next().value_or(LogPosition {}).era,
                    self.roster.next().value_or(LogPosition {}).era }));
        m_report.lateAnswers += !call.answer->hasFailed && call.answer->newest.era < m_store.era() ? 1 : 0;
        // As in platform/Store.cpp: a list of an older era than that of an answer known already is no answer.
        if (!call.answer->hasFailed && call.answer->newest.era < (call.from ? call.from->era : self.storeEra))
            call.answer->hasFailed = true;
        if (!call.answer->hasFailed)
            self.storeEra = std::max(self.storeEra, call.answer->newest.era);
        if (call.answer->hasFailed || call.answer->isHistoryLost) {
            // As in StoreFollower: a store that lacks the records has answered, and a full read can follow at once.
            if (call.answer->isHistoryLost && !call.answer->hasFailed)
                self.cursors[topic].historyLost();
            else
                self.cursors[topic].readFailed(m_now);
            self.failedAt[topic].reset();
            if (call.answer->hasFailed)
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
    LogPosition targetsNext = self.roster.next().value_or(LogPosition {});
    LogPosition operatorNext = self.zones.next().value_or(LogPosition {});
    if (m_options.fault == DeliberateFault::IgnoresEra)
        targetsNext.era = operatorNext.era = m_store.era();
    const auto zonesMissing = m_hasReturns ? m_store.operatorMissingSince(operatorNext) : std::nullopt;
    for (const auto& since :
        { m_store.configMissingSince(self.configVersion), m_store.targetsMissingSince(targetsNext), zonesMissing }) {
        if (since)
            m_report.worstAge = std::max(m_report.worstAge, Duration(m_now - *since));
    }
    if (self.leftFirst)
        m_report.worstUseAfterRemoval = std::max(m_report.worstUseAfterRemoval, Duration(m_now - *self.leftFirst));
    if (m_hasReturns)
        checkAgreement(self);
}

void NewsWorld::checkAgreement(const Router& self)
{
    for (const Router& it : m_routers) {
        if (it.configVersion > self.configVersion && isSettled(it)) {
            const auto since = it.configSince.value_or(m_now);
            m_report.worstOlderConfig
                = std::max(m_report.worstOlderConfig, Duration(m_now - std::max(since, self.startedAt)));
        }
    }
    const Duration time = m_times.bound + agreementTime;
    if (m_now < std::max(m_store.writtenAgainAt(), m_store.behaviorUntil()) + time)
        return;
    std::set<TargetId> present;
    for (const dispatch::Target& it : self.roster.targets())
        present.insert(it.id);
    for (const TargetId& it : m_store.listedSince(m_now - time)) {
        if (!present.contains(it)) {
            ++m_report.disagreements;
            trace(self, "lacks " + it.value);
        }
    }
    for (const auto& [zone, isEvacuated] : m_store.zonesWantedSince(m_now - time)) {
        if (self.zones.zones().contains(zone) != isEvacuated) {
            ++m_report.disagreements;
            trace(self, (isEvacuated ? "doesn't evacuate " : "evacuates ") + zone.value);
        }
    }
}

void NewsWorld::checkLostZones(Router& self)
{
    std::set<ZoneId> present;
    for (const auto& [zone, entry] : self.zones.zones())
        present.insert(zone);
    // A change of mind during a fault may be read in parts.
    const Duration time = m_times.bound + stableMargin;
    const TimePoint since = std::min(m_now, std::max(self.disturbedUntil, m_store.behaviorUntil())) - time;
    for (const auto& [zone, isEvacuated] : m_store.zonesWantedSince(std::min(since, m_now - 3 * time))) {
        if (isEvacuated && self.usedZones.contains(zone) && !present.contains(zone)) {
            ++m_report.lostZones;
            trace(self, "loses the evacuation of " + zone.value);
        }
    }
    self.usedZones = std::move(present);
}

void NewsWorld::trace(const std::string& text) const
{
    if (m_options.isTraced)
        std::printf("%8.2f %s\n", std::chrono::duration<double>(m_now - m_begin).count(), text.c_str());
}

void NewsWorld::trace(const Router& self, const std::string& text) const
{
    const auto toText = [](std::optional<LogPosition> it) {
        return it ? std::to_string(it->offset) + "/" + std::to_string(it->era) : std::string("none");
    };
    trace(self.vm.value + " " + text + "; next target record " + toText(self.roster.next()) + ", the store's "
        + toText(m_store.targetsEnd()));
}

void NewsWorld::checkZones(const Router& self)
{
    const LogPosition next = self.zones.next().value_or(LogPosition {});
    // Before the first return a configuration shows that all records before it are known.
    const bool lacksRecords = m_store.era() == 1 && self.configVersion > m_store.lastConfig(0, next.offset);
    const bool isComparable = next == LogPosition {} || next.era == m_store.era();
    const bool isWrong = isComparable && (lacksRecords || self.zones.all() != m_store.zonesBefore(next.offset));
    if (isWrong)
        trace(self, "has other zones than its position implies");
    m_report.wrongZones += isWrong ? 1 : 0;
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
    for (const TargetId& it : self.used) {
        const bool isLost = !present.contains(it) && !m_store.leftAt(it);
        if (isLost)
            trace(self, "loses " + it.value);
        m_report.lostTargets += isLost ? 1 : 0;
    }
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
    if (self.configUntil)
        self.zones.expire(*self.configUntil);
    checkTargets(self);
    if (!m_storePlan.empty() || m_hasReturns)
        checkZones(self);
    if (m_hasReturns)
        checkLostZones(self);
    check(i);
}

NewsReport NewsWorld::run(Duration length)
{
    const TimePoint begin = m_now;
    const TimePoint end = m_now + length;
    beginReturns();
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
        drawReturns();
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
