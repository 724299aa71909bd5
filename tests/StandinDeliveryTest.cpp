#include "../apps/sagechute-standin-target/Delivery.h"

#include <catch2/catch.hpp>

using namespace sagechute;
using namespace sagechute::standin;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration since) { return TimePoint(since); }

/// Records what is sent; its caller takes nothing until told to.
class RecordedExchange final : public net::ServerExchange {
public:
    const net::ServerRequest& request() const override { return m_request; }
    void respond(net::ServerResponse response) override { body = std::move(response.body); }
    void startRaw() override { }
    void startStream(int, std::vector<net::Field> fields) override { headers = std::move(fields); }
    std::size_t write(std::string_view bytes) override
    {
        body += bytes;
        queued += bytes.size();
        return queued;
    }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    void onDrained(std::function<void()>) override { }
    void onClosed(std::function<void()>) override { }

    std::vector<net::Field> headers;
    std::string body;
    std::size_t queued = 0;
    bool finished = false;
    bool aborted = false;

private:
    net::ServerRequest m_request;
};

/// One run of "hello" and its answer.
struct Answered {
    std::shared_ptr<RecordedExchange> exchange = std::make_shared<RecordedExchange>();
    std::unique_ptr<Delivery> delivery;
    EngineRun run;

    explicit Answered(AnswerPlan plan)
    {
        run.prompt = std::make_shared<const std::string>("hello");
        run.state = RunState::Running;
        plan.requestId = plan.requestId.empty() ? "a.1.1" : plan.requestId;
        delivery = std::make_unique<Delivery>(DeliveryId { 1, 1 }, exchange, std::move(plan), at(0s));
    }

    Delivery::Progress advance(std::uint64_t produced, RunState state, Duration now = 0s)
    {
        run.usage.outputTokens = produced;
        run.state = state;
        return delivery->advance(run, at(now));
    }

    bool holds(std::string_view text) const { return exchange->body.find(text) != std::string::npos; }
};

AnswerPlan streamed()
{
    AnswerPlan plan;
    plan.streamed = true;
    return plan;
}

} // namespace

TEST_CASE("a stream sends each token once, from its position on, and then its end")
{
    AnswerPlan plan = streamed();
    plan.from = 1;
    Answered answered(plan);
    CHECK(answered.advance(2, RunState::Running) == Delivery::Progress::Going);
    CHECK(answered.exchange->body == "id: a.1.1:1\ndata: {\"text\":\"" + tokenText("hello", 1) + "\"}\n\n");
    CHECK(answered.advance(3, RunState::Done) == Delivery::Progress::Over);
    CHECK(answered.holds("id: a.1.1:2\n"));
    CHECK(answered.holds("event: done\nid: a.1.1:3\n"));
    CHECK(answered.exchange->finished);
}

TEST_CASE("a caller that takes nothing bounds what is queued for it")
{
    // Symptom: the emulator's memory grows with a slow caller. Sequence: a long answer, a caller that reads nothing.
    // Cause: tokens are written as they are produced, whatever is still queued.
    Answered answered(streamed());
    CHECK(answered.advance(1'000'000, RunState::Done) == Delivery::Progress::Going);
    CHECK(answered.exchange->queued < (512U << 10));
    const std::size_t before = answered.exchange->queued;
    answered.advance(1'000'000, RunState::Done);
    CHECK(answered.exchange->queued == before);
    answered.exchange->queued = 0;
    answered.delivery->drained();
    answered.advance(1'000'000, RunState::Done);
    CHECK(answered.exchange->queued > 0);
}

TEST_CASE("a stream that is to break is cut half-way, after its caller took the first half")
{
    AnswerPlan plan = streamed();
    plan.breakAt = 2;
    Answered answered(plan);
    CHECK(answered.advance(4, RunState::Done) == Delivery::Progress::Going);
    CHECK_FALSE(answered.exchange->aborted);
    answered.delivery->drained();
    CHECK(answered.advance(4, RunState::Done) == Delivery::Progress::Over);
    CHECK(answered.exchange->aborted);
    CHECK(answered.holds("a.1.1:1\n"));
    CHECK_FALSE(answered.holds("a.1.1:2\n"));
}

TEST_CASE("faults of an answer")
{
    AnswerPlan plan;
    SECTION("crossed: another request's identity and text")
    {
        plan.requestId = "b.1.1";
        plan.otherPrompt = std::make_shared<const std::string>("other");
        Answered answered(plan);
        CHECK(answered.advance(2, RunState::Done) == Delivery::Progress::Over);
        CHECK(answered.holds("b.1.1"));
        CHECK(answered.holds(wholeText("other", 2)));
    }
    SECTION("late: held until the delay has passed")
    {
        plan.late = 30ms;
        Answered answered(plan);
        CHECK(answered.advance(2, RunState::Done, 10ms) == Delivery::Progress::Going);
        CHECK(answered.delivery->dueAt() == at(40ms));
        CHECK(answered.exchange->body.empty());
        CHECK(answered.advance(2, RunState::Done, 40ms) == Delivery::Progress::Over);
        CHECK(answered.holds(wholeText("hello", 2)));
    }
    SECTION("hang: nothing, and the connection stays open")
    {
        plan.mute = true;
        Answered answered(plan);
        CHECK(answered.advance(2, RunState::Done, 1h) == Delivery::Progress::Going);
        CHECK(answered.exchange->body.empty());
        CHECK_FALSE(answered.exchange->aborted);
    }
    SECTION("drop-reply: closed without an answer, but only when the run has ended")
    {
        plan.dropAtEnd = true;
        Answered answered(plan);
        CHECK(answered.advance(1, RunState::Running) == Delivery::Progress::Going);
        CHECK_FALSE(answered.exchange->aborted);
        CHECK(answered.advance(2, RunState::Done) == Delivery::Progress::Over);
        CHECK(answered.exchange->aborted);
        CHECK(answered.exchange->body.empty());
    }
}

TEST_CASE("a cancelled run closes its connection")
{
    Answered answered(streamed());
    answered.advance(1, RunState::Running);
    CHECK(answered.advance(1, RunState::Cancelled) == Delivery::Progress::Over);
    CHECK(answered.exchange->aborted);
    CHECK_FALSE(answered.exchange->finished);
}
