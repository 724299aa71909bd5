// What a request's flow must keep whatever transport and targets do: src/relay, played by tests/RelayWorld.h.

#include "RelayWorld.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sagechute;
using namespace sagechute::relay;
using namespace std::chrono_literals;
using dispatch::AttemptEnd;
using dispatch::AttemptFacts;
using dispatch::NextStep;
using dispatch::RequestKind;

namespace {

constexpr unsigned requestsPerTrial = 120;
constexpr unsigned trialsOfFaultyRules = 12;

/// @return what a flow with these rules breaks within some trials.
std::set<Breach> breachesOf(const FlowRules& rules)
{
    std::set<Breach> all;
    for (unsigned seed = 1; seed <= trialsOfFaultyRules; ++seed)
        all.merge(RelayWorld(seed, Troubles {}, rules).play(requestsPerTrial));
    return all;
}

// ---- Deliberate faults, each with the breach that it must lead to.

NextStep repeatsAlways(const AttemptFacts& facts)
{
    const bool hasEnded = facts.end == AttemptEnd::Answered || facts.end == AttemptEnd::CallerGone;
    return hasEnded ? dispatch::nextStep(facts) : NextStep::TryElsewhere;
}

NextStep callsUnknownNotRun(const AttemptFacts& facts)
{
    const NextStep next = dispatch::nextStep(facts);
    return next == NextStep::Fail && !facts.hasStarted ? NextStep::Refuse : next;
}

NextStep ignoresTheBoundOfRuns(const AttemptFacts& facts)
{
    AttemptFacts unbounded = facts;
    unbounded.maxAttempts = 100;
    return dispatch::nextStep(unbounded);
}

bool takesAnyAnswer(const edge::TargetAnswerHead&, const std::string&) { return true; }

AttemptEnd takesBrokenForWhole(const AnswerEnd& end, const std::optional<edge::TargetAnswerHead>& head)
{
    const bool isBroken = end.transfer == net::TransferEnd::BrokenAfterSend;
    return FlowRules::standard().judge(isBroken ? AnswerEnd { net::TransferEnd::Completed } : end, head);
}

AttemptEnd takesBrokenForUnsent(const AnswerEnd& end, const std::optional<edge::TargetAnswerHead>& head)
{
    return end.transfer == net::TransferEnd::BrokenAfterSend ? AttemptEnd::Unreachable
                                                             : FlowRules::standard().judge(end, head);
}

AttemptEnd takesAnyCloseForTheEnd(const AnswerEnd& end, const std::optional<edge::TargetAnswerHead>& head)
{
    const bool isClosed = end.transfer == net::TransferEnd::Closed;
    return FlowRules::standard().judge(isClosed ? AnswerEnd { net::TransferEnd::Completed } : end, head);
}

} // namespace

TEST_CASE("no request runs twice, is falsely called not run, or gets another's answer, whatever fails")
{
    rc::prop("random troubles", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const double scale = *rc::gen::element(0.2, 1.0, 2.5);
        Troubles it;
        for (double* probability : { &it.unreachable, &it.lostRequest, &it.lostAnswer, &it.silent, &it.refused,
                 &it.otherTarget, &it.failed, &it.foreign, &it.closedInEvent, &it.leaves })
            *probability *= scale;
        RelayWorld world(seed, it, FlowRules::standard());
        const std::set<Breach> breaches = world.play(requestsPerTrial);
        for (const Breach breach : breaches)
            RC_LOG() << toString(breach) << "\n";
        RC_ASSERT(breaches.empty());
        RC_ASSERT(world.completed() > requestsPerTrial / 4);
    });
}

TEST_CASE("each deliberate fault in the rules is caught")
{
    const FlowRules standard = FlowRules::standard();
    const auto with = [&](auto&& change) {
        FlowRules rules = standard;
        change(rules);
        return breachesOf(rules);
    };
    CHECK(breachesOf(standard).empty());
    const auto repeated = with([](FlowRules& it) { it.next = repeatsAlways; });
    CHECK(repeated.contains(Breach::RunTwice));
    CHECK(with([](FlowRules& it) { it.next = callsUnknownNotRun; }).contains(Breach::FalseNotRun));
    CHECK(with([](FlowRules& it) { it.next = ignoresTheBoundOfRuns; }).contains(Breach::TooManyRuns));
    CHECK(with([](FlowRules& it) { it.isAnswerTo = takesAnyAnswer; }).contains(Breach::Mixed));
    const auto cut = with([](FlowRules& it) { it.judge = takesBrokenForWhole; });
    CHECK(cut.contains(Breach::Mixed));
    CHECK(cut.contains(Breach::Disorder));
    CHECK(with([](FlowRules& it) { it.judge = takesBrokenForUnsent; }).contains(Breach::RunTwice));
    CHECK(with([](FlowRules& it) { it.judge = takesAnyCloseForTheEnd; }).contains(Breach::Disorder));
}

namespace {

/// A port that counts.
struct CountingPort final : FlowPort {
    dispatch::Decision place(TimePoint, const dispatch::PlacementRequest&, dispatch::AttemptKind round) override
    {
        rounds.push_back(round);
        return placement;
    }
    void firstAnswer(TimePoint, dispatch::AttemptId) override { }
    void attemptEnded(TimePoint, dispatch::AttemptId, AttemptEnd end, const AnswerEnd& how) override
    {
        ends.push_back(end);
        answerEnds.push_back(how);
    }
    void targetSaid(TimePoint, const dispatch::TargetIncarnation& life, const dispatch::TargetSignals& signals) override
    {
        said.emplace_back(life, signals);
    }
    dispatch::Refusal giveUp(TimePoint, const ServiceId&) override { return lastRefusal; }
    void send(const AttemptOrder& order) override { orders.push_back(order); }
    void cancel() override { ++cancels; }
    void startStream(int, const std::vector<net::Field>&) override { }
    void write(std::string_view bytes) override { written += bytes; }
    void finish() override { ++finishes; }
    void abort() override { ++aborts; }
    void respond(const edge::TargetAnswerHead&, std::string) override { ++responses; }
    void refuse(int status, std::string_view, std::optional<Duration> told) override
    {
        refused = status;
        comeBack = told;
    }

    dispatch::Placement placement { 1, { { "t" }, { "s" }, "127.0.0.1:1", { "z" }, 8, false }, 0, 50ms };
    dispatch::Refusal lastRefusal;
    std::vector<dispatch::AttemptKind> rounds;
    std::vector<AttemptOrder> orders;
    std::vector<AttemptEnd> ends;
    std::vector<AnswerEnd> answerEnds;
    std::vector<std::pair<dispatch::TargetIncarnation, dispatch::TargetSignals>> said;
    unsigned cancels = 0;
    unsigned aborts = 0;
    unsigned finishes = 0;
    unsigned responses = 0;
    int refused = 0;
    std::optional<Duration> comeBack;
    std::string written;
};

constexpr TimePoint start { 100s };

RequestFacts factsOf(const dispatch::Route& route)
{
    return { "id", &route, { "s" }, { "c" }, {}, 0, start, start + 3s };
}

/// A flow that has begun, on a route of its own.
struct BegunFlow {
    explicit BegunFlow(RequestKind kind, bool isResumable = false, unsigned attempts = 1)
        : flow(port, factsOf(route))
    {
        route.kind = kind;
        route.isResumable = isResumable;
        route.attempts = attempts;
        flow.begin(start);
    }

    dispatch::Route route;
    CountingPort port;
    RequestFlow flow;
};

} // namespace

// Symptom: the fleet's picture of a target shows requests that ended long ago, and it gets fewer and fewer.
// Sequence: a caller leaves a request that must not be repeated; the request goes on at the target and ends.
// Cause: what a flow without a caller hears was ignored.
TEST_CASE("a request that goes on without its caller is counted as ended when it ends")
{
    BegunFlow begun(RequestKind::Once);
    auto& [route, port, flow] = begun;
    flow.callerGone(start + 10ms);
    CHECK(flow.isDone());
    CHECK(port.cancels == 0);
    flow.ended(start + 50ms, 1, net::TransferEnd::Completed);
    CHECK(port.ends.size() == 1);
    CHECK(port.orders.size() == 1);
}

TEST_CASE("a caller that leaves ends its stream at the target at once")
{
    BegunFlow begun(RequestKind::Stream);
    auto& [route, port, flow] = begun;
    flow.callerGone(start + 10ms);
    CHECK(port.cancels == 1);
    CHECK(port.ends == std::vector<AttemptEnd> { AttemptEnd::CallerGone });
}

TEST_CASE("a request that is still unanswered at its end is ended then, and not called not run")
{
    BegunFlow begun(RequestKind::Once);
    auto& [route, port, flow] = begun;
    CHECK(flow.nextWake() == start + 3s);
    flow.wake(start + 3s);
    CHECK(port.refused == 504);
    CHECK(port.cancels == 1);
}

TEST_CASE("a silent target's idempotent request goes elsewhere with what time is left")
{
    BegunFlow begun(RequestKind::Idempotent, false, 2);
    auto& [route, port, flow] = begun;
    REQUIRE(flow.nextWake() < start + 2s);
    const TimePoint at = flow.nextWake();
    flow.wake(at);
    REQUIRE(port.orders.size() == 2);
    CHECK(port.orders[1].left == start + 3s - at);
    CHECK(port.cancels == 1);
    // The first target's late answer is nobody's.
    flow.head(at + 1ms, 1, { 200, "id", false, false, true, {} });
    CHECK_FALSE(flow.isDone());
}

TEST_CASE("what a target says of itself is passed on though nobody waits for its answer any more")
{
    BegunFlow begun(GENERATE(RequestKind::Once, RequestKind::Stream));
    auto& [route, port, flow] = begun;
    flow.callerGone(start + 10ms);
    edge::TargetAnswerHead head { 200, "id", false, false, true, {} };
    head.signals.isDraining = true;
    flow.head(start + 20ms, 1, head);
    REQUIRE(port.said.size() == 1);
    CHECK(port.said.front().first == dispatch::TargetIncarnation { { "t" } });
    CHECK(port.said.front().second.isDraining);
}

TEST_CASE("what a target says of itself counts for that one, in whichever answer on its connection it comes")
{
    BegunFlow begun(RequestKind::Idempotent, false, 2);
    auto& [route, port, flow] = begun;
    port.placement.target.id = { "other" };
    flow.wake(flow.nextWake());
    REQUIRE(port.orders.size() == 2);
    edge::TargetAnswerHead head { 503, "of another request", true, false, false, {} };
    head.signals.backoff = 3s;
    flow.head(start + 2s, 1, head);
    flow.head(start + 2s, 2, head);
    flow.head(start + 2s, 3, head);
    REQUIRE(port.said.size() == 2);
    CHECK(port.said[0].first.id.value == "t");
    CHECK(port.said[1].first.id.value == "other");
}

TEST_CASE("an attempt that is withdrawn before it is sent goes elsewhere as if it had not been made")
{
    BegunFlow begun(RequestKind::Once);
    auto& [route, port, flow] = begun;
    flow.withdrawn(start + 5ms, 1);
    CHECK(port.ends == std::vector { AttemptEnd::Withdrawn });
    CHECK(port.orders.size() == 2);
    CHECK(port.rounds == std::vector { dispatch::AttemptKind::First, dispatch::AttemptKind::RetryUnsent });
    // Its transfer ends after that, and means nothing.
    flow.ended(start + 6ms, 1, net::TransferEnd::NothingSent);
    CHECK(port.orders.size() == 2);
}

TEST_CASE("a request that all its targets turned away is refused as the dispatcher says")
{
    dispatch::Route route;
    route.kind = RequestKind::Once;
    CountingPort port;
    port.lastRefusal = { dispatch::RefusalReason::Backoff, 2s, {} };
    RequestFlow flow(port, factsOf(route));
    flow.begin(start);
    for (unsigned number = 1; number <= dispatch::maxTries; ++number) {
        flow.head(start + 5ms, number, { 503, "id", true, false, false, {} });
        flow.ended(start + 5ms, number, net::TransferEnd::Completed);
    }
    CHECK(port.refused == 503);
    CHECK(port.comeBack == Duration(2s));
    CHECK(flow.record().refusal.reason == dispatch::RefusalReason::Backoff);
}

// Guards against half an event in an answer that looks whole.
TEST_CASE("a stream that ends inside an event is broken, whatever ended it, and half an event goes to nobody")
{
    const auto transferEnd = GENERATE(net::TransferEnd::Closed, net::TransferEnd::Completed);
    BegunFlow begun(RequestKind::Stream, GENERATE(false, true), 2);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, true, {} });
    flow.bytes(start + 6ms, 1, "id: 1\ndata: a\n\nid: 2\nda");
    flow.ended(start + 7ms, 1, transferEnd);
    CHECK(port.ends == std::vector { AttemptEnd::Broken });
    CHECK(port.written == "id: 1\ndata: a\n\n");
    CHECK(port.finishes == 0);
    CHECK(port.aborts == (route.isResumable ? 0 : 1));
    REQUIRE(port.orders.size() == (route.isResumable ? 2 : 1));
    CHECK(port.orders.back().resumeAfter == (route.isResumable ? "1" : ""));
}

TEST_CASE("a stream that ends inside its first event is no success")
{
    BegunFlow begun(RequestKind::Stream);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, true, {} });
    flow.bytes(start + 6ms, 1, GENERATE("id: 1\nda", ""));
    flow.ended(start + 7ms, 1, net::TransferEnd::Closed);
    CHECK(port.refused == 502);
    CHECK(port.comeBack == std::nullopt);
}

TEST_CASE("a stream is whole that ends with comments, or is framed as empty")
{
    const auto [bytes, transferEnd] = GENERATE(table<std::string, net::TransferEnd>({
        { "id: 1\ndata: a\n\n", net::TransferEnd::Closed },
        { "id: 1\ndata: a\n\n: bye", net::TransferEnd::Closed },
        { ": nothing\n", net::TransferEnd::Completed },
        { "", net::TransferEnd::Completed },
    }));
    BegunFlow begun(RequestKind::Stream);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, true, {} });
    flow.bytes(start + 6ms, 1, bytes);
    flow.ended(start + 7ms, 1, transferEnd);
    CHECK(port.ends == std::vector { AttemptEnd::Answered });
    CHECK(port.written == bytes);
    CHECK(port.finishes == 1);
}

// Guards against a success that reaches its caller before it is known not to be the target's.
TEST_CASE("a stream without the target's signature goes to nobody")
{
    BegunFlow begun(RequestKind::Stream);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, false, {} });
    flow.bytes(start + 6ms, 1, "id: 1\ndata: a\n\n");
    flow.ended(start + 7ms, 1, net::TransferEnd::Cancelled);
    CHECK(port.cancels == 1);
    CHECK(port.written.empty());
    CHECK(port.refused == 502);
    CHECK(flow.record().trace.ends_with("+unsound:head"));
}

// Guards against a caller that sends a posting again, as a status told it that it had not run.
TEST_CASE("a status that promises that nothing has run is not passed on from a target that doesn't say so")
{
    BegunFlow begun(RequestKind::Once);
    auto& [route, port, flow] = begun;
    const int status = GENERATE(408, 429, 503);
    flow.head(start + 5ms, 1, { status, "id", false, false, GENERATE(false, true), {} });
    flow.ended(start + 7ms, 1, net::TransferEnd::Completed);
    CHECK(port.responses == 0);
    CHECK(port.refused == 502);
    CHECK(port.comeBack == std::nullopt);
    CHECK(flow.record().trace.ends_with("+unsound:status"));
}

// Guards against events that are looked for in an answer that has none.
TEST_CASE("an answer of another type on a route of streams is passed on as it is")
{
    const auto [transferEnd, responses] = GENERATE(table<net::TransferEnd, unsigned>({
        { net::TransferEnd::Completed, 1U },
        { net::TransferEnd::Closed, 1U },
        { net::TransferEnd::BrokenAfterSend, 0U },
    }));
    BegunFlow begun(RequestKind::Stream);
    auto& [route, port, flow] = begun;
    edge::TargetAnswerHead head { 200, "id", false, false, true, {} };
    head.isEventStream = false;
    flow.head(start + 5ms, 1, head);
    flow.bytes(start + 6ms, 1, "{}");
    flow.ended(start + 7ms, 1, transferEnd);
    CHECK(port.responses == responses);
    CHECK(port.refused == (responses ? 0 : 502));
    CHECK(port.written.empty());
}

// Guards against a stream that begins anew in the middle, as nothing says which events its caller has.
TEST_CASE("a stream whose events have no identity is not resumed")
{
    BegunFlow begun(RequestKind::Stream, true, 2);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, true, {} });
    flow.bytes(start + 6ms, 1, GENERATE("data: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\n"));
    SECTION("broken")
    {
        flow.ended(start + 7ms, 1, net::TransferEnd::BrokenAfterSend);
        CHECK(port.aborts == 1);
    }
    SECTION("silent")
    {
        for (TimePoint now = start; now < start + 2900ms; now = std::max(now + 1ms, flow.nextWake()))
            flow.wake(now);
        CHECK_FALSE(flow.isDone());
        CHECK(port.cancels == 0);
    }
    CHECK(port.orders.size() == 1);
}

// Guards against events that a caller never gets, as the stream was resumed behind one that came too early.
TEST_CASE("a stream whose events go back behind one of its own is not resumed")
{
    BegunFlow begun(RequestKind::Stream, true, 2);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, true, {} });
    const std::string first = "id: 10\ndata: a\n\n";
    SECTION("back")
    {
        flow.bytes(start + 6ms, 1, first + "id: 2\ndata: b\n\n");
        flow.ended(start + 7ms, 1, net::TransferEnd::Cancelled);
        CHECK(port.orders.size() == 1);
        CHECK(port.aborts == 1);
    }
    SECTION("the same again, which says where the caller is")
    {
        flow.bytes(start + 6ms, 1, first + first);
        flow.ended(start + 7ms, 1, net::TransferEnd::Cancelled);
        CHECK(port.orders.size() == 2);
        CHECK(port.aborts == 0);
    }
    CHECK(port.written == first);
}

TEST_CASE("a request's record says what ended the answer of its attempt")
{
    BegunFlow begun(RequestKind::Stream);
    auto& [route, port, flow] = begun;
    flow.head(start + 5ms, 1, { 200, "id", false, false, true, {} });
    flow.bytes(start + 6ms, 1, "id: 1\ndata: a\n\nid: 2\nda");
    const auto [transferEnd, text] = GENERATE(table<net::TransferEnd, std::string>({
        { net::TransferEnd::Closed, "+closed+cut:8" },
        { net::TransferEnd::Completed, "+cut:8" },
        { net::TransferEnd::BrokenAfterSend, "+cut:8" },
    }));
    flow.ended(start + 7ms, 1, transferEnd);
    REQUIRE(port.answerEnds.size() == 1);
    CHECK(port.answerEnds.front().cutBytes == 8);
    CHECK_THAT(flow.record().trace, Catch::EndsWith(text));
}
