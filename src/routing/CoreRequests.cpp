/// @file
/// Request lifecycle: arrival, attempts, retries, and the single final outcome that is reported to the caller.

#include "routing/Core.h"

#include <algorithm>

namespace sagechute::routing {

using std::chrono::seconds;

namespace {

    /// Maximum number of times a broken stream is resumed at the same engine.
    constexpr std::uint32_t maxResumes = 2;

    /// Sound targets may fall silent for a second or so and go on. Services may allow less, and stored configurations
    /// with such a value have to stay valid, so the lower bound is applied here.
    constexpr std::chrono::milliseconds minTokenGapLimit { 3000 };

    constexpr seconds shortRetryAfter { 1 };

    /// How long and how often forwarding to the session's holder is retried while nothing could be sent. The limit
    /// exceeds the time that a planned stop needs to hand over its outcome memory and to announce the successor.
    constexpr Duration forwardRetryTimeout = seconds(5);
    constexpr Duration forwardRetryInterval = std::chrono::milliseconds(100);

    wire::TargetHealth healthOf(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Completed:
            return wire::TargetHealth::Good;
        case AttemptEnd::NothingSent:
            return wire::TargetHealth::Unreachable;
        default:
            return wire::TargetHealth::Broken;
        }
    }

    std::string_view describe(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Completed:
            return "the target answered";
        case AttemptEnd::NothingSent:
            return "the target could not be reached";
        case AttemptEnd::Broken:
            return "the connection to the target broke";
        case AttemptEnd::Stalled:
            return "the target sent no data within the time limit";
        case AttemptEnd::Crossed:
            return "the target gave the answer of another request";
        case AttemptEnd::Rejected:
            return "the target refused the request";
        case AttemptEnd::NotResumable:
            return "the target cannot resume the broken stream";
        }
        return "the attempt failed";
    }

    /// The answer to a resend when the answer to the first send was too large to store.
    delivery::KeptAnswer answerNotKept(const RequestId& id)
    {
        const absl::Status status
            = makeError(ErrorKind::OutcomeLost, "the request completed, but its answer was too large to store",
                "check its effect; do not send it as a new request");
        return { Outcome::Unknown, httpStatus(ErrorKind::OutcomeLost), "application/json", errorDocument(status).dump(),
            toString(id) };
    }

} // namespace

absl::Status Core::checkArrival(TimePoint now, const RequestArrived& arrival) const
{
    if (m_stop.refusesNew())
        return makeError(
            ErrorKind::Draining, "this router is stopping", "get another address from /v1/locate and send it there");
    const config::Service* service = m_config->findService(arrival.service);
    if (!service && !m_replica->offset())
        return makeError(
            ErrorKind::CutOff, "this router has no configuration yet", "send it to another address from /v1/locate");
    if (!service)
        return makeError(ErrorKind::NotFound, "there is no service of that name",
            "check the name in the path, or ask an operator to declare it");
    if (m_freshness.isCutOff(now, *m_gossip))
        return makeError(ErrorKind::CutOff, "this router is cut off from the log and the other routers",
            "send it to another address from /v1/locate");
    auto it = m_pools.find(service->pool);
    if (it == m_pools.end() || !it->second->hasTargets())
        return makeError(ErrorKind::NoTarget, "no target of the service accepts requests",
            "send it again later, or ask an operator about the pool");
    return absl::OkStatus();
}

void Core::on(TimePoint now, RequestArrived& event)
{
    Request request;
    request.id = event.id;
    request.arrival = std::move(event);
    if (request.arrival.deadlineIn)
        request.deadline = now + *request.arrival.deadlineIn;
    if (const config::Service* service = m_config->findService(request.arrival.service)) {
        request.pool = service->pool;
        request.mode = service->mode;
        request.repeatable = request.arrival.repeatable.value_or(service->repeatable);
    } else {
        // Without configuration the service's default is unknown. Treating a request with a sequence number as
        // repeatable would answer "not run" to a resend of a request that ran elsewhere.
        request.repeatable = request.arrival.repeatable.value_or(!request.arrival.resend);
    }
    Request& held = m_requests.add(std::move(request));
    if (!recordsOutcome(held) || !routeBySession(now, held))
        admit(now, held);
}

void Core::admit(TimePoint now, Request& request)
{
    if (absl::Status status = checkArrival(now, request.arrival); !status.ok()) {
        refuse(now, request, Outcome::NotRun, status, shortRetryAfter);
        return;
    }
    m_retries->firstAttempt(request.arrival.customer);
    pool(request.pool)->enqueue(request, false);
}

bool Core::recordsOutcome(const Request& request) const { return request.arrival.resend && !request.repeatable; }

// Returns true when the request needs no further handling here. A router that does not hold the session must not run
// the request, and cannot answer "not run" either, since an earlier send may have run.
bool Core::routeBySession(TimePoint now, Request& request)
{
    const auto holder = delivery::sessionHolder(request.arrival.resend->session);
    if (!holder.ok()) {
        refuse(now, request, Outcome::NotRun, holder.status(), std::nullopt);
        return true;
    }
    const SessionRoute route = m_sessions.route(*holder);
    if (route.kind == SessionRoute::Kind::Here)
        return lookUpOutcome(now, request);
    if (route.kind == SessionRoute::Kind::Forward && !request.arrival.forwarded) {
        forward(request, route);
        return true;
    }
    refuse(now, request, Outcome::Unknown,
        makeError(ErrorKind::OutcomeLost, "the router that held this session is no longer running",
            "if the request was sent before, check its effect; otherwise send it with a new session from /v1/locate"),
        std::nullopt);
    return true;
}

bool Core::lookUpOutcome(TimePoint now, Request& request)
{
    const delivery::ResendLookup lookup
        = m_memory->begin(now, *request.arrival.resend, request.arrival.bodyHash, request.id);
    switch (lookup.verdict) {
    case delivery::ResendVerdict::New:
        return false;
    case delivery::ResendVerdict::Running:
        request.phase = RequestPhase::Coalesced;
        m_requests.setDeadlineActive(request, false);
        m_coalesced[lookup.running.value_or(RequestId {})].push_back(request.id);
        return true;
    case delivery::ResendVerdict::Ended: {
        const delivery::KeptAnswer kept = *lookup.answer;
        m_outbox.add(Answer { request.id, kept });
        discard(request.id);
        return true;
    }
    case delivery::ResendVerdict::Forgotten:
        refuse(now, request, Outcome::Unknown,
            makeError(ErrorKind::OutcomeLost, "the outcome for this sequence number is no longer known",
                "check its effect before sending it as a new request"),
            std::nullopt);
        return true;
    case delivery::ResendVerdict::Different:
        refuse(now, request, Outcome::NotRun,
            makeError(ErrorKind::Conflict, "this sequence number was already used in the session for another request",
                "use a new sequence number for each new request"),
            std::nullopt);
        return true;
    case delivery::ResendVerdict::Closed:
        refuse(now, request, Outcome::NotRun,
            makeError(ErrorKind::Draining, "the router that held this session stopped without running the request",
                "send it with a new session from /v1/locate"),
            std::nullopt);
        return true;
    case delivery::ResendVerdict::Full:
        refuse(now, request, Outcome::NotRun,
            makeError(ErrorKind::TooManyRequests, "too many non-repeatable requests are in progress at this router",
                "send it again shortly"),
            shortRetryAfter);
        return true;
    }
    return true;
}

void Core::forward(Request& request, const SessionRoute& route)
{
    request.phase = RequestPhase::Forwarded;
    m_requests.setDeadlineActive(request, false);
    if (request.forwardDeadline == TimePoint {})
        request.forwardDeadline = m_now + forwardRetryTimeout;
    ++request.attempt;
    m_outbox.add(StartForward { request.id, request.attempt, route.forwardTo, route.address });
}

void Core::backoffEnded(TimePoint now, Request& request)
{
    if (!request.retryForward) {
        if (PoolRouter* owner = pool(request.pool))
            owner->enqueue(request, true);
        return;
    }
    request.retryForward = false;
    // The session may have moved to this router meanwhile, and the request may never have been started.
    if (!routeBySession(now, request))
        admit(now, request);
}

void Core::onGranted(TimePoint, Request& request)
{
    m_requests.setDeadlineActive(request, false);
    beginAttempt(request, std::nullopt);
}

void Core::beginAttempt(Request& request, std::optional<std::uint64_t> resumeFrom)
{
    const config::Target* target = m_config->findTarget(request.target);
    const config::Service* service = m_config->findService(request.arrival.service);
    if (target)
        request.targetAddress = target->address;
    ++request.attempt;
    StartAttempt action;
    action.id = request.id;
    action.attempt = request.attempt;
    action.target = request.target;
    action.address = request.targetAddress;
    action.mode = request.mode;
    action.streamed = request.arrival.streamed && request.mode == config::TargetMode::Engine;
    // A pooled connection may be dead or closed by the other end, and an HTTP library may then resend on its own.
    action.freshConnection = !request.repeatable || resumeFrom.has_value();
    action.resumeFrom = resumeFrom;
    const config::Service defaults;
    action.tokenGapLimit = std::max(minTokenGapLimit, service ? service->tokenGapLimit : defaults.tokenGapLimit);
    action.answerLimit = service ? service->answerLimit : defaults.answerLimit;
    m_outbox.add(std::move(action));
}

void Core::on(TimePoint now, CallerDisconnected& event)
{
    Request* request = m_requests.find(event.id);
    if (!request)
        return;
    request->callerGone = true;
    if (request->phase == RequestPhase::Forwarded)
        return;
    if (request->phase == RequestPhase::Coalesced) {
        discard(event.id);
        return;
    }
    PoolRouter* owner = pool(request->pool);
    if (request->phase == RequestPhase::Running) {
        if (!request->repeatable)
            return;
        m_outbox.add(
            CancelAttempt { request->id, request->mode == config::TargetMode::Engine, request->targetAddress });
        owner->ended(now, *request, request->soFar, wire::TargetHealth::Good);
    } else {
        if (m_coalesced.contains(request->id))
            return; // A resend waits for the end of this request.
        owner->abandon(now, *request);
        if (recordsOutcome(*request) && !request->mayHaveBeenSent)
            m_memory->endedNotRun(now, *request->arrival.resend, request->id);
    }
    discard(event.id);
}

void Core::on(TimePoint now, AttemptProgressed& event)
{
    Request* request = m_requests.find(event.id);
    if (request && request->phase == RequestPhase::Running)
        pool(request->pool)->progressed(now, *request, event.soFar);
}

void Core::on(TimePoint now, AttemptEnded& event)
{
    Request* request = m_requests.find(event.id);
    if (!request || request->attempt != event.attempt)
        return;
    if (request->phase == RequestPhase::Forwarded) {
        forwardEnded(now, *request, event);
        return;
    }
    if (request->phase != RequestPhase::Running)
        return;
    request->relayedPositions = std::max(request->relayedPositions, event.nextPosition);
    request->soFar = std::max(request->soFar, event.cost);
    request->mayHaveBeenSent |= event.end != AttemptEnd::NothingSent;
    if (event.end == AttemptEnd::Completed)
        attemptCompleted(now, *request, event);
    else
        attemptFailed(now, *request, event);
}

void Core::attemptCompleted(TimePoint now, Request& request, AttemptEnded& event)
{
    pool(request.pool)->ended(now, request, event.cost, wire::TargetHealth::Good);
    event.answer.outcome = Outcome::Completed;
    event.answer.requestId = toString(request.id);
    answer(now, request, std::move(event.answer), std::move(event.usage));
}

void Core::answer(TimePoint now, Request& request, delivery::KeptAnswer kept, std::string usage)
{
    if (recordsOutcome(request))
        m_memory->ended(now, *request.arrival.resend, kept.httpStatus ? kept : answerNotKept(request.id));
    if (auto it = m_coalesced.find(request.id); it != m_coalesced.end()) {
        for (const RequestId& waiting : it->second) {
            m_outbox.add(Answer { waiting, kept });
            m_requests.remove(waiting);
        }
        m_coalesced.erase(it);
    }
    const bool streamed = request.arrival.streamed && request.mode == config::TargetMode::Engine;
    if (streamed)
        m_outbox.add(EndStream { request.id, Outcome::Completed, absl::OkStatus(), std::move(usage) });
    else
        m_outbox.add(Answer { request.id, std::move(kept) });
    m_requests.remove(request.id);
}

// An answer from the other router carries the authoritative outcome. Without one the outcome is unknown here. If
// nothing was sent, however, the holder may be handing its memory to a successor that will answer.
void Core::forwardEnded(TimePoint now, Request& request, AttemptEnded& event)
{
    if (event.end == AttemptEnd::Completed) {
        m_outbox.add(Answer { request.id, std::move(event.answer) });
        discard(request.id);
        return;
    }
    if (event.end == AttemptEnd::NothingSent && now < request.forwardDeadline) {
        request.phase = RequestPhase::Backoff;
        request.retryForward = true;
        request.retryAt = now + forwardRetryInterval;
        return;
    }
    refuse(now, request, Outcome::Unknown,
        makeError(ErrorKind::OutcomeLost, "the router that holds this session did not answer",
            "resend the same request with the same sequence number to learn its outcome"),
        shortRetryAfter);
}

void Core::attemptFailed(TimePoint now, Request& request, const AttemptEnded& event)
{
    const bool isResumable = canResume(request, event.end);
    const bool prefersRetry = request.repeatable && request.relayedPositions == 0 && event.end != AttemptEnd::Broken;
    if (isResumable && !prefersRetry) {
        resume(request);
        return;
    }
    const std::optional<Duration> delay = retryDelay(now, request, event.end);
    if (isResumable && !delay) {
        // The run may go on, and there is no other.
        resume(request);
        return;
    }
    PoolRouter* owner = pool(request.pool);
    owner->ended(now, request, request.soFar, healthOf(event.end));
    if (event.end == AttemptEnd::Stalled && request.repeatable && request.mode == config::TargetMode::Engine)
        m_outbox.add(CancelAttempt { request.id, true, request.targetAddress });
    if (delay)
        retry(now, request, *delay);
    else
        failRequest(now, request, ErrorKind::TargetFailed, describe(event.end),
            request.repeatable ? "send it again" : "check its effect before sending it again");
}

bool Core::canResume(const Request& request, AttemptEnd end) const
{
    const bool isStreamed = request.arrival.streamed && request.mode == config::TargetMode::Engine;
    const bool isBroken = end == AttemptEnd::Broken || end == AttemptEnd::Stalled || end == AttemptEnd::Crossed;
    return isStreamed && isBroken && request.resumes < maxResumes;
}

// Resuming a stream never starts a second run: the engine rejects a position of a stream that it does not know.
void Core::resume(Request& request)
{
    ++request.resumes;
    beginAttempt(request, request.relayedPositions);
}

std::optional<Duration> Core::retryDelay(TimePoint now, const Request& request, AttemptEnd end)
{
    // NothingSent holds for this attempt only. A resume attempt that cannot connect says nothing about the run whose
    // stream broke; starting over would run the request twice or splice two answers.
    const bool neverRan = end == AttemptEnd::NothingSent && !request.mayHaveBeenSent;
    const bool safe = neverRan || (request.repeatable && request.relayedPositions == 0);
    if (!safe || request.callerGone || !m_freshness.fresh(now, *m_gossip))
        return std::nullopt;
    return m_retries->takeRetry(request.arrival.customer, request.attempt, *m_random);
}

void Core::retry(TimePoint now, Request& request, Duration delay)
{
    request.avoid.push_back(request.target);
    request.phase = RequestPhase::Backoff;
    request.retryAt = now + delay;
    request.soFar = 0;
    m_requests.setDeadlineActive(request, true);
}

void Core::failRequest(
    TimePoint now, Request& request, ErrorKind kind, std::string_view message, std::string_view remedy)
{
    Outcome outcome = Outcome::NotRun;
    if (request.relayedPositions > 0)
        outcome = Outcome::Incomplete;
    // With retryForward an earlier send may have run at the holder of the session.
    else if (request.mayHaveBeenSent || request.retryForward)
        outcome = Outcome::Unknown;
    refuse(now, request, outcome, makeError(kind, message, remedy), shortRetryAfter);
}

void Core::refuse(
    TimePoint now, Request& request, Outcome outcome, const absl::Status& status, std::optional<seconds> retryAfter)
{
    if (PoolRouter* owner = pool(request.pool); owner && request.phase == RequestPhase::Offered)
        owner->abandon(now, request);
    const bool mayHaveBegun = request.phase != RequestPhase::Forwarded && request.phase != RequestPhase::Coalesced;
    if (recordsOutcome(request) && mayHaveBegun && errorKind(status) != ErrorKind::Conflict
        && errorKind(status) != ErrorKind::OutcomeLost) {
        if (outcome == Outcome::NotRun)
            m_memory->endedNotRun(now, *request.arrival.resend, request.id);
        else
            m_memory->ended(now, *request.arrival.resend,
                { outcome, httpStatus(errorKind(status)), "application/json", errorDocument(status).dump(),
                    toString(request.id) });
    }
    if (auto it = m_coalesced.find(request.id); it != m_coalesced.end()) {
        for (const RequestId& waiting : it->second) {
            m_outbox.add(Refuse { waiting, outcome, status, retryAfter });
            m_requests.remove(waiting);
        }
        m_coalesced.erase(it);
    }
    if (request.relayedPositions > 0)
        m_outbox.add(EndStream { request.id, outcome, status, {} });
    else
        m_outbox.add(Refuse { request.id, outcome, status, retryAfter });
    m_requests.remove(request.id);
}

void Core::discard(const RequestId& id)
{
    for (auto& entry : m_coalesced)
        std::erase(entry.second, id);
    m_requests.remove(id);
}

// An isolated router cannot know when it will regain contact, so callers are refused at once and can use another
// router.
void Core::refuseAllWaiting(TimePoint now)
{
    for (std::uint64_t serial : m_requests.serials()) {
        Request* request = m_requests.findSerial(serial);
        if (!request)
            continue;
        const bool waits = request->phase == RequestPhase::Waiting || request->phase == RequestPhase::Offered
            || request->phase == RequestPhase::Backoff;
        if (waits)
            failRequest(now, *request, ErrorKind::CutOff, "this router is cut off from the log and the other routers",
                "send it to another address from /v1/locate");
    }
}

} // namespace sagechute::routing
