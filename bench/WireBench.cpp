// Costs of the messages between routers: bytes and time of each kind, and time of the streams that carry them.

#include <sagechute/Peer.h>
#include <sagechute/Wire.h>

#include <benchmark/benchmark.h>

#include <atomic>
#include <functional>
#include <thread>

namespace sagechute::wire {
namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t serial = 1'234'567;

    CellKey cell() { return cellKey({ PoolId { "appraisal" }, 17 }); }

    Message offer(std::int64_t)
    {
        OfferMessage message { cell(), serial, CustomerId { "customer-1034" }, 480 };
        message.deadlineIn = 30s;
        return message;
    }

    Message offerWithPrefixes(std::int64_t)
    {
        OfferMessage message = std::get<OfferMessage>(offer(0));
        for (std::uint64_t n = 1; n <= 4; ++n)
            message.prefixes.push_back(stableHash("prefix", n));
        return message;
    }

    Message grant(std::int64_t) { return GrantMessage { cell(), serial, TargetId { "worker-512" }, 480, 500ms }; }
    Message withdraw(std::int64_t) { return WithdrawMessage { cell(), serial }; }
    Message settle(std::int64_t) { return SettleMessage { cell(), serial, 471 }; }
    Message progress(std::int64_t) { return ProgressMessage { cell(), { { serial, 500 } } }; }

    Message resync(std::int64_t running)
    {
        ResyncMessage message { cell(), {} };
        for (std::int64_t n = 0; n < running; ++n)
            message.running.push_back(
                { serial + std::uint64_t(n), CustomerId { "customer-1034" }, TargetId { "worker-512" }, 480 });
        return message;
    }

    Message summary(std::int64_t customers)
    {
        SummaryMessage message;
        message.summary = { PoolId { "appraisal" }, { VmId { "vm-1234" }, 1764700000000 }, 12345, false, 1234567 };
        for (std::int64_t n = 0; n < customers; ++n)
            message.summary.customers.push_back(
                { CustomerId { "customer-" + std::to_string(1000 + n) }, 123456.0 + double(n), 23456, n % 10 == 0 });
        message.summary.cells.push_back({ 17, 2, 40, 123456 });
        return message;
    }

    void encodeMessage(benchmark::State& state, Message (*make)(std::int64_t))
    {
        const Message message = make(state.range(0));
        std::size_t bytes = 0;
        for (auto _ : state)
            bytes = encode(message).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }

    void decodeMessage(benchmark::State& state, Message (*make)(std::int64_t))
    {
        const std::string bytes = encode(make(state.range(0)));
        for (auto _ : state) {
            if (!decode(bytes).ok())
                state.SkipWithError("a message did not decode");
        }
    }

    /// Counts what arrives and answers each message when asked to.
    class Listener final : public peer::StreamListener {
    public:
        std::atomic<std::uint64_t> messages = 0;
        std::function<void()> answer {};

        void await(std::uint64_t count) const
        {
            for (auto seen = messages.load(); seen < count; seen = messages.load())
                messages.wait(seen);
        }

    private:
        void onMessage(const RouterLife&, std::string_view) override
        {
            ++messages;
            messages.notify_all();
            if (answer)
                answer();
        }
        void onUp(const RouterLife&) override { }
        void onDown(const RouterLife&) override { }
    };

    std::unique_ptr<peer::MessageStreams> makeStreams(const std::string& vm, Duration flushDelay, Listener& listener)
    {
        peer::StreamOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.self = { VmId { vm }, 1 };
        options.flushDelay = flushDelay;
        return peer::MessageStreams::make(options, listener).value();
    }

    /// So many messages leave together. Processor time is that of both ends.
    void streamMessages(benchmark::State& state)
    {
        const auto together = static_cast<std::uint64_t>(state.range(0));
        Listener sender;
        Listener receiver;
        const auto from = makeStreams("kokura-1", 0ms, sender);
        const auto to = makeStreams("yahata-1", 0ms, receiver);
        const std::string message = encode(offer(0));
        std::uint64_t sent = 0;
        for (auto _ : state) {
            for (std::uint64_t n = 0; n < together; ++n)
                from->send(VmId { "yahata-1" }, to->listenAddress(), message);
            sent += together;
            receiver.await(sent);
        }
        const peer::ByteCount bytes = from->bytes();
        state.counters["bytesPerMessage"]
            = static_cast<double>(bytes.sent + bytes.received) / static_cast<double>(sent);
        state.SetItemsProcessed(static_cast<std::int64_t>(sent));
    }

    /// From send() at one router to its answer there, with the router's own batching.
    void roundTrip(benchmark::State& state)
    {
        const Duration flushDelay = std::chrono::milliseconds(state.range(0));
        Listener asker;
        Listener answerer;
        const auto from = makeStreams("kokura-1", flushDelay, asker);
        const auto to = makeStreams("yahata-1", flushDelay, answerer);
        const std::string question = encode(offer(0));
        const std::string reply = encode(grant(0));
        answerer.answer = [&] { to->send(VmId { "kokura-1" }, from->listenAddress(), reply); };
        std::uint64_t asked = 0;
        for (auto _ : state) {
            from->send(VmId { "yahata-1" }, to->listenAddress(), question);
            asker.await(++asked);
        }
    }

    BENCHMARK_CAPTURE(encodeMessage, offer, offer)->Arg(0);
    BENCHMARK_CAPTURE(encodeMessage, offerWithPrefixes, offerWithPrefixes)->Arg(0);
    BENCHMARK_CAPTURE(encodeMessage, grant, grant)->Arg(0);
    BENCHMARK_CAPTURE(encodeMessage, withdraw, withdraw)->Arg(0);
    BENCHMARK_CAPTURE(encodeMessage, settle, settle)->Arg(0);
    BENCHMARK_CAPTURE(encodeMessage, progress, progress)->Arg(0);
    BENCHMARK_CAPTURE(encodeMessage, resync, resync)->Arg(1)->Arg(10)->Arg(100);
    BENCHMARK_CAPTURE(encodeMessage, summary, summary)->Arg(1)->Arg(10)->Arg(100)->Arg(1100);
    BENCHMARK_CAPTURE(decodeMessage, offer, offer)->Arg(0);
    BENCHMARK_CAPTURE(decodeMessage, grant, grant)->Arg(0);
    BENCHMARK_CAPTURE(decodeMessage, settle, settle)->Arg(0);
    BENCHMARK_CAPTURE(decodeMessage, summary, summary)->Arg(1)->Arg(10)->Arg(100)->Arg(1100);
    BENCHMARK(streamMessages)
        ->Arg(1)
        ->Arg(8)
        ->Arg(64)
        ->MeasureProcessCPUTime()
        ->UseRealTime()
        ->Unit(benchmark::kMicrosecond);
    BENCHMARK(roundTrip)
        ->Arg(0)
        ->Arg(2)
        ->ArgName("flushDelayMs")
        ->MeasureProcessCPUTime()
        ->UseRealTime()
        ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace sagechute::wire
