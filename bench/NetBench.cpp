#include <sagechute/Net.h>

#include <benchmark/benchmark.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

// Server and client in one process over loopback sockets. Figures are reported, never asserted.

namespace {

using namespace sagechute::net;

constexpr std::size_t eventBytes = 30;
constexpr std::size_t writerLimit = 64 << 10;

std::unique_ptr<HttpServer> makeServer(unsigned threads, HttpServer::Handler handler)
{
    ServerOptions options;
    options.listen.address = "127.0.0.1";
    options.threads = threads;
    return HttpServer::make(options, std::move(handler)).value();
}

std::unique_ptr<HttpClient> makeClient(unsigned threads)
{
    ClientOptions options;
    options.threads = threads;
    return HttpClient::make(options).value();
}

/// Counts ends and lets the benchmark wait for them.
class Countdown {
public:
    explicit Countdown(std::size_t count)
        : m_count(count)
    {
    }

    void down()
    {
        std::lock_guard lock(m_mutex);
        if (--m_count == 0)
            m_changed.notify_all();
    }

    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_count == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count;
};

/// Sends the next request from the end of the one before, so that a fixed number is always under way.
class RequestLoop {
public:
    RequestLoop(HttpClient& client, std::string url, std::size_t requests, bool fresh)
        : m_client(client)
        , m_url(std::move(url))
        , m_left(requests)
        , m_ended(requests)
        , m_fresh(fresh)
    {
    }

    void run(unsigned concurrency)
    {
        for (unsigned i = 0; i < concurrency; ++i)
            next();
        wait();
    }

    /// Sends one request, unless all have been sent.
    void next()
    {
        if (m_left.fetch_sub(1) <= 0)
            return;
        ClientRequest request;
        request.method = "POST";
        request.url = m_url;
        request.body = "{\"prompt\":\"short\"}";
        request.freshConnection = m_fresh;
        m_client.start(std::move(request), std::make_unique<Sink>(*this));
    }

    void wait() { m_ended.wait(); }

    std::size_t failures() const { return m_failures; }

private:
    class Sink final : public TransferSink {
    public:
        explicit Sink(RequestLoop& loop)
            : m_loop(loop)
        {
        }

    private:
        void onHeaders(int, const std::vector<Field>&) override { }
        bool onBody(std::string_view) override { return true; }
        void onEnd(const TransferResult& result) override
        {
            if (!isUncut(result.end))
                ++m_loop.m_failures;
            m_loop.next();
            m_loop.m_ended.down();
        }

        RequestLoop& m_loop;
    };

    HttpClient& m_client;
    const std::string m_url;
    std::atomic<std::int64_t> m_left;
    std::atomic<std::size_t> m_failures = 0;
    Countdown m_ended;
    const bool m_fresh;
};

void requests(benchmark::State& state, bool fresh)
{
    constexpr std::size_t perRound = 5000;
    auto server = makeServer(2, [](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->respond({ 200, { { "Content-Type", "application/json" } }, "{\"text\":\"an answer\"}" });
    });
    auto client = makeClient(2);
    auto url = "http://" + toString(server->endpoint()) + "/v1/call";
    std::size_t failures = 0;
    for (auto round : state) {
        RequestLoop loop(*client, url, perRound, fresh);
        loop.run(static_cast<unsigned>(state.range(0)));
        failures += loop.failures();
    }
    state.counters["requests/s"]
        = benchmark::Counter(static_cast<double>(state.iterations() * perRound), benchmark::Counter::kIsRate);
    state.counters["failures"] = static_cast<double>(failures);
}

void pooledRequests(benchmark::State& state) { requests(state, false); }
void freshRequests(benchmark::State& state) { requests(state, true); }

/// Requests answered by another thread, beside many whose answers are still awaited.
void deferredRequests(benchmark::State& state)
{
    constexpr std::size_t perRound = 5000;
    constexpr unsigned concurrency = 16;
    auto waitingCount = static_cast<std::size_t>(state.range(0));
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::shared_ptr<ServerExchange>> waiting;
    std::vector<std::shared_ptr<ServerExchange>> toAnswer;
    bool stop = false;
    auto server = makeServer(2, [&](const std::shared_ptr<ServerExchange>& exchange) {
        std::lock_guard lock(mutex);
        (exchange->request().path == "/wait" ? waiting : toAnswer).push_back(exchange);
        changed.notify_all();
    });
    std::thread answering([&] {
        std::unique_lock lock(mutex);
        std::vector<std::shared_ptr<ServerExchange>> batch;
        while (!stop) {
            changed.wait(lock, [&] { return stop || !toAnswer.empty(); });
            batch.swap(toAnswer);
            lock.unlock();
            for (const auto& exchange : batch)
                exchange->respond({ 200, {}, "late" });
            batch.clear();
            lock.lock();
        }
    });
    auto client = makeClient(2);
    auto url = "http://" + toString(server->endpoint());
    // A client of its own, so that the others' connections play no part.
    auto waitingClient = makeClient(2);
    RequestLoop waitingLoop(*waitingClient, url + "/wait", waitingCount, false);
    for (std::size_t i = 0; i < waitingCount; ++i)
        waitingLoop.next();
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return waiting.size() == waitingCount; });
    }
    for (auto round : state) {
        RequestLoop loop(*client, url + "/v1/call", perRound, false);
        loop.run(concurrency);
    }
    for (const auto& exchange : waiting)
        exchange->respond({});
    waitingLoop.wait();
    {
        std::lock_guard lock(mutex);
        stop = true;
        changed.notify_all();
    }
    answering.join();
    state.counters["requests/s"]
        = benchmark::Counter(static_cast<double>(state.iterations() * perRound), benchmark::Counter::kIsRate);
}

void latencyOfOne(benchmark::State& state, bool fresh)
{
    auto server = makeServer(2, [](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->respond({ 200, {}, "ok" });
    });
    auto client = makeClient(1);
    ClientRequest request;
    request.url = "http://" + toString(server->endpoint()) + "/";
    request.freshConnection = fresh;
    for (auto round : state)
        benchmark::DoNotOptimize(client->perform(request));
}

void latencyPooled(benchmark::State& state) { latencyOfOne(state, false); }
void latencyFresh(benchmark::State& state) { latencyOfOne(state, true); }

/// Counts the bytes of many streams, and lets the benchmark wait for a number of them.
class ByteCount {
public:
    void add(std::size_t bytes)
    {
        if (m_bytes.fetch_add(bytes) + bytes == m_awaited)
            m_bytes.notify_all();
    }

    /// @param total the number, to be hit exactly and set before the last bytes are sent.
    void await(std::size_t total) { m_awaited = total; }

    void wait() const
    {
        for (auto bytes = m_bytes.load(); bytes < m_awaited; bytes = m_bytes.load())
            m_bytes.wait(bytes);
    }

    std::size_t value() const { return m_bytes; }

private:
    std::atomic<std::size_t> m_bytes = 0;
    std::atomic<std::size_t> m_awaited = 0;
};

class StreamSink final : public TransferSink {
public:
    StreamSink(ByteCount& bytes, Countdown& ended)
        : m_bytes(bytes)
        , m_ended(ended)
    {
    }

private:
    void onHeaders(int, const std::vector<Field>&) override { }
    bool onBody(std::string_view bytes) override
    {
        m_bytes.add(bytes.size());
        return true;
    }
    void onEnd(const TransferResult&) override { m_ended.down(); }

    ByteCount& m_bytes;
    Countdown& m_ended;
};

/// Opens streams between a server and a client of the same process and keeps the writing ends.
class OpenStreams {
public:
    explicit OpenStreams(std::size_t count)
        : m_ended(count)
        , m_server(makeServer(2,
              [this](const std::shared_ptr<ServerExchange>& exchange) {
                  exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
                  std::lock_guard lock(m_mutex);
                  m_exchanges.push_back(exchange);
                  m_arrived.notify_all();
              }))
        , m_client(makeClient(2))
    {
        for (std::size_t i = 0; i < count; ++i) {
            ClientRequest request;
            request.url = "http://" + toString(m_server->endpoint()) + "/stream";
            m_client->start(std::move(request), std::make_unique<StreamSink>(m_bytes, m_ended));
        }
        std::unique_lock lock(m_mutex);
        m_arrived.wait(lock, [&] { return m_exchanges.size() == count; });
    }

    /// Ends all streams and waits until all their bytes have arrived.
    void finish()
    {
        for (const auto& exchange : m_exchanges)
            exchange->finish();
        m_ended.wait();
    }

    ServerExchange& stream(std::size_t i) { return *m_exchanges[i % m_exchanges.size()]; }
    ByteCount& bytes() { return m_bytes; }

private:
    ByteCount m_bytes;
    Countdown m_ended;
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<std::shared_ptr<ServerExchange>> m_exchanges;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpClient> m_client;
};

/// One thread writes an event to each of many streams in turn, as a relay of many engines' tokens does.
void streamedEvents(benchmark::State& state)
{
    constexpr std::size_t eventsPerRound = 400'000;
    const std::string event(eventBytes, 'x');
    std::size_t received = 0;
    for (auto round : state) {
        OpenStreams streams(static_cast<std::size_t>(state.range(0)));
        for (std::size_t i = 0; i < eventsPerRound; ++i) {
            while (streams.stream(i).write(event) > writerLimit)
                std::this_thread::yield();
        }
        streams.finish();
        received += streams.bytes().value();
    }
    state.counters["events/s"]
        = benchmark::Counter(static_cast<double>(received) / eventBytes, benchmark::Counter::kIsRate);
}

/// As above, but no stream gets its next event before all have received theirs, so that no two travel together. With
/// one stream this is the time of one event from write() to the sink.
void eventsInStep(benchmark::State& state)
{
    auto count = static_cast<std::size_t>(state.range(0));
    OpenStreams streams(count);
    const std::string event(eventBytes, 'x');
    std::size_t expected = 0;
    for (auto step : state) {
        expected += count * event.size();
        streams.bytes().await(expected);
        for (std::size_t i = 0; i < count; ++i)
            streams.stream(i).write(event);
        streams.bytes().wait();
    }
    streams.finish();
    state.counters["events/s"]
        = benchmark::Counter(static_cast<double>(state.iterations() * count), benchmark::Counter::kIsRate);
}

BENCHMARK(pooledRequests)
    ->Arg(1)
    ->Arg(16)
    ->Arg(128)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK(freshRequests)->Arg(16)->MeasureProcessCPUTime()->UseRealTime()->Unit(benchmark::kMillisecond);
BENCHMARK(deferredRequests)
    ->Arg(0)
    ->Arg(1000)
    ->Arg(3000)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK(latencyPooled)->MeasureProcessCPUTime()->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(latencyFresh)->MeasureProcessCPUTime()->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(streamedEvents)
    ->Arg(16)
    ->Arg(256)
    ->Arg(1000)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK(eventsInStep)
    ->Arg(1)
    ->Arg(100)
    ->Arg(1000)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);

} // namespace
