/// @file
/// A request's life: arrival, attempts, retries, and the one end that its caller is told.

#include "routing/Core.h"

#include <algorithm>

namespace sagechute::routing {

using std::chrono::seconds;

namespace {

    /// Tries to take a broken stream up again at the same engine.
    constexpr std::uint32_t mostResumes = 2;

    constexpr seconds retrySoon { 1 };

    /// How long and how often a request is offered to the holder of its session while no byte gets through: longer than
    /// a planned stop needs to hand over its memory, and for the others to hear of it.
    constexpr Duration forwardPatience = seconds(5);
    constexpr Duration forwardPause = std::chrono::milliseconds(100);

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
        case AttemptEnd::Silent:
            return "the target fell silent";
        case AttemptEnd::Crossed:
            return "the target gave the answer of another request";
        case AttemptEnd::Rejected:
            return "the target refused the request";
        case AttemptEnd::NotResumable:
            return "the target no longer knows the broken answer";
        }
        return "the attempt failed";
    }

    /// What a resend gets when the first send's answer was too large to remember.
    delivery::KeptAnswer answerNotKept(const RequestId& id)
    {
        const absl::Status status
            = makeError(ErrorKind::OutcomeLost, "the request ran to its end, but its answer was too large to keep",
                "check its effect; do not send it as a new request");
        return { Outcome::Unknown, httpStatus(ErrorKind::OutcomeLost), "application/json", errorDocument(status).dump(),
            toString(id) };
    }

} // namespace

absl::Status Core::checkArrival(TimePoint now, const RequestArrived& arrival) const
{
    if (m_stop.refusesNew())
        return makeError(
            ErrorKind::Draining, "this router is stopping", "ask /v1/locate of another address and send it there");
    const config::Service* service = m_config->findService(arrival.service);
    if (!service && !m_replica->offset())
        return makeError(
            ErrorKind::CutOff, "this router has no configuration yet", "send it to another address from /v1/locate");
    if (!service)
        return makeError(ErrorKind::NotFound, "there is no service of that name",
            "check the name in the path, or ask an operator to declare it");
    if (m_freshness.cutOff(now, *m_gossip))
        return makeError(ErrorKind::CutOff, "this router is cut off from the log and the other routers",
            "send it to another address from /v1/locate");
    auto it = m_pools.find(service->pool);
    if (it == m_pools.end() || !it->second->hasTargets())
        return makeError(ErrorKind::NoTarget, "no target of the service takes work",
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
        // A router without configuration can't look the default up. Taking a numbered request for a repeatable one, it
        // would answer "not run" to a resend of what ran elsewhere.
        request.repeatable = request.arrival.repeatable.value_or(!request.arrival.resend);
    }
    Request& held = m_requests.add(std::move(request));
    if (!remembers(held) || !routeBySession(now, held))
        admit(now, held);
}

void Core::admit(TimePoint now, Request& request)
{
    if (absl::Status status = checkArrival(now, request.arrival); !status.ok()) {
        refuse(now, request, Outcome::NotRun, status, retrySoon);
        return;
    }
    m_retries->firstAttempt(request.arrival.customer);
    pool(request.pool)->enqueue(request, false);
}

bool Core::remembers(const Request& request) const { return request.arrival.resend && !request.repeatable; }

// Returns true when the request needs nothing more here. Whoever does not hold the session must not run the request,
// and cannot say "not run" either: an earlier send may have run.
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
        makeError(ErrorKind::OutcomeLost, "the router that held this session is gone",
            "if the request was sent before, check its effect; if never, send it with a new session from /v1/locate"),
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
        request.phase = RequestPhase::Attached;
        m_requests.countDeadline(request, false);
        m_attached[lookup.running.value_or(RequestId {})].push_back(request.id);
        return true;
    case delivery::ResendVerdict::Ended: {
        const delivery::KeptAnswer kept = *lookup.answer;
        m_outbox.add(Answer { request.id, kept });
        forget(request.id);
        return true;
    }
    case delivery::ResendVerdict::Forgotten:
        refuse(now, request, Outcome::Unknown,
            makeError(ErrorKind::OutcomeLost, "the outcome of this number is no longer known",
                "check its effect before sending it as a new request"),
            std::nullopt);
        return true;
    case delivery::ResendVerdict::Different:
        refuse(now, request, Outcome::NotRun,
            makeError(ErrorKind::Conflict, "this number was used in the session for another request",
                "use a new number for each new request"),
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
            makeError(ErrorKind::TooManyRequests, "too many requests that may not be repeated are under way here",
                "send it again shortly"),
            retrySoon);
        return true;
    }
    return true;
}

void Core::forward(Request& request, const SessionRoute& route)
{
    request.phase = RequestPhase::Forwarded;
    m_requests.countDeadline(request, false);
    if (request.forwardUntil == TimePoint {})
        request.forwardUntil = m_now + forwardPatience;
    ++request.attempt;
    m_outbox.add(StartForward { request.id, request.attempt, route.forwardTo, route.address });
}

void Core::backoffEnded(TimePoint now, Request& request)
{
    if (!request.forwarding) {
        if (PoolRouter* owner = pool(request.pool))
            owner->enqueue(request, true);
        return;
    }
    request.forwarding = false;
    // The session may be held here by now, and the request may never have begun.
    if (!routeBySession(now, request))
        admit(now, request);
}

void Core::onGranted(TimePoint, Request& request)
{
    m_requests.countDeadline(request, false);
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
    // A pooled connection may have gone silent or been closed by the other end; a library may then send again by
    // itself.
    action.freshConnection = !request.repeatable || resumeFrom.has_value();
    action.resumeFrom = resumeFrom;
    const config::Service defaults;
    action.tokenGapLimit = service ? service->tokenGapLimit : defaults.tokenGapLimit;
    action.answerLimit = service ? service->answerLimit : defaults.answerLimit;
    m_outbox.add(std::move(action));
}

void Core::on(TimePoint now, CallerGone& event)
{
    Request* request = m_requests.find(event.id);
    if (!request)
        return;
    request->callerGone = true;
    if (request->phase == RequestPhase::Forwarded)
        return;
    if (request->phase == RequestPhase::Attached) {
        forget(event.id);
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
        if (m_attached.contains(request->id))
            return; // A resend waits for this one's end.
        owner->abandon(now, *request);
        if (remembers(*request) && !request->everSent)
            m_memory->endedNotRun(now, *request->arrival.resend, request->id);
    }
    forget(event.id);
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
    request->relayed = std::max(request->relayed, event.nextPosition);
    request->soFar = std::max(request->soFar, event.cost);
    request->everSent |= event.end != AttemptEnd::NothingSent;
    if (event.end == AttemptEnd::Completed)
        completed(now, *request, event);
    else
        failed(now, *request, event);
}

void Core::completed(TimePoint now, Request& request, AttemptEnded& event)
{
    pool(request.pool)->ended(now, request, event.cost, wire::TargetHealth::Good);
    event.answer.outcome = Outcome::Completed;
    event.answer.requestId = toString(request.id);
    answer(now, request, std::move(event.answer), std::move(event.usage));
}

void Core::answer(TimePoint now, Request& request, delivery::KeptAnswer kept, std::string usage)
{
    if (remembers(request))
        m_memory->ended(now, *request.arrival.resend, kept.httpStatus ? kept : answerNotKept(request.id));
    if (auto it = m_attached.find(request.id); it != m_attached.end()) {
        for (const RequestId& waiting : it->second) {
            m_outbox.add(Answer { waiting, kept });
            m_requests.remove(waiting);
        }
        m_attached.erase(it);
    }
    const bool streamed = request.arrival.streamed && request.mode == config::TargetMode::Engine;
    if (streamed)
        m_outbox.add(EndStream { request.id, Outcome::Completed, absl::OkStatus(), std::move(usage) });
    else
        m_outbox.add(Answer { request.id, std::move(kept) });
    m_requests.remove(request.id);
}

// The other router's word stands: its answer carries the outcome. Without an answer nobody here knows what became of
// the request. But where no byte left, the holder may just be handing its memory to a successor, who will answer.
void Core::forwardEnded(TimePoint now, Request& request, AttemptEnded& event)
{
    if (event.end == AttemptEnd::Completed) {
        m_outbox.add(Answer { request.id, std::move(event.answer) });
        forget(request.id);
        return;
    }
    if (event.end == AttemptEnd::NothingSent && now < request.forwardUntil) {
        request.phase = RequestPhase::Backoff;
        request.forwarding = true;
        request.retryAt = now + forwardPause;
        return;
    }
    refuse(now, request, Outcome::Unknown,
        makeError(ErrorKind::OutcomeLost, "the router that holds this session did not answer",
            "send the same request and number again to learn its outcome"),
        retrySoon);
}

void Core::failed(TimePoint now, Request& request, const AttemptEnded& event)
{
    if (resume(request, event))
        return;
    PoolRouter* owner = pool(request.pool);
    owner->ended(now, request, request.soFar, healthOf(event.end));
    if (event.end == AttemptEnd::Silent && request.repeatable && request.mode == config::TargetMode::Engine)
        m_outbox.add(CancelAttempt { request.id, true, request.targetAddress });
    if (retry(now, request, event.end))
        return;
    giveUp(now, request, ErrorKind::TargetFailed, describe(event.end),
        request.repeatable ? "send it again" : "check its effect before sending it again");
}

// Taking a stream up again runs nothing anew: the engine refuses a position of a stream that it does not know.
bool Core::resume(Request& request, const AttemptEnded& event)
{
    const bool streamed = request.arrival.streamed && request.mode == config::TargetMode::Engine;
    const bool broken
        = event.end == AttemptEnd::Broken || event.end == AttemptEnd::Silent || event.end == AttemptEnd::Crossed;
    const bool retryable = request.repeatable && request.relayed == 0 && event.end != AttemptEnd::Broken;
    if (!streamed || !broken || retryable || request.resumes >= mostResumes)
        return false;
    ++request.resumes;
    beginAttempt(request, request.relayed);
    return true;
}

bool Core::retry(TimePoint now, Request& request, AttemptEnd end)
{
    // That nothing was sent is certain of this attempt only. One that takes up a broken stream and finds nobody says
    // nothing about the run that broke: starting anew would run the request twice, or splice two answers.
    const bool neverRan = end == AttemptEnd::NothingSent && !request.everSent;
    const bool safe = neverRan || (request.repeatable && request.relayed == 0);
    if (!safe || request.callerGone || !m_freshness.fresh(now, *m_gossip))
        return false;
    const auto delay = m_retries->takeRetry(request.arrival.customer, request.attempt, *m_random);
    if (!delay)
        return false;
    request.avoid.push_back(request.target);
    request.phase = RequestPhase::Backoff;
    request.retryAt = now + *delay;
    request.soFar = 0;
    m_requests.countDeadline(request, true);
    return true;
}

void Core::giveUp(TimePoint now, Request& request, ErrorKind kind, std::string_view message, std::string_view remedy)
{
    Outcome outcome = Outcome::NotRun;
    if (request.relayed > 0)
        outcome = Outcome::Incomplete;
    else if (request.everSent || request.forwarding) // An earlier send may have run where the session is held.
        outcome = Outcome::Unknown;
    refuse(now, request, outcome, makeError(kind, message, remedy), retrySoon);
}

void Core::refuse(
    TimePoint now, Request& request, Outcome outcome, const absl::Status& status, std::optional<seconds> retryAfter)
{
    if (PoolRouter* owner = pool(request.pool); owner && request.phase == RequestPhase::Offered)
        owner->abandon(now, request);
    const bool mayHaveBegun = request.phase != RequestPhase::Forwarded && request.phase != RequestPhase::Attached;
    if (remembers(request) && mayHaveBegun && errorKind(status) != ErrorKind::Conflict
        && errorKind(status) != ErrorKind::OutcomeLost) {
        if (outcome == Outcome::NotRun)
            m_memory->endedNotRun(now, *request.arrival.resend, request.id);
        else
            m_memory->ended(now, *request.arrival.resend,
                { outcome, httpStatus(errorKind(status)), "application/json", errorDocument(status).dump(),
                    toString(request.id) });
    }
    if (auto it = m_attached.find(request.id); it != m_attached.end()) {
        for (const RequestId& waiting : it->second) {
            m_outbox.add(Refuse { waiting, outcome, status, retryAfter });
            m_requests.remove(waiting);
        }
        m_attached.erase(it);
    }
    if (request.relayed > 0)
        m_outbox.add(EndStream { request.id, outcome, status, {} });
    else
        m_outbox.add(Refuse { request.id, outcome, status, retryAfter });
    m_requests.remove(request.id);
}

void Core::forget(const RequestId& id)
{
    for (auto& entry : m_attached)
        std::erase(entry.second, id);
    m_requests.remove(id);
}

// A router that is cut off can't know when it will be in touch again: those who wait are told at once, so that they can
// go elsewhere.
void Core::refuseAllWaiting(TimePoint now)
{
    for (std::uint64_t serial : m_requests.serials()) {
        Request* request = m_requests.findSerial(serial);
        if (!request)
            continue;
        const bool waits = request->phase == RequestPhase::Waiting || request->phase == RequestPhase::Offered
            || request->phase == RequestPhase::Backoff;
        if (waits)
            giveUp(now, *request, ErrorKind::CutOff, "this router is cut off from the log and the other routers",
                "send it to another address from /v1/locate");
    }
}

} // namespace sagechute::routing
