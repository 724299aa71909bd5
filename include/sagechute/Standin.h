#pragma once

/// @file
/// The stand-ins' logic apart from HTTP: answers that a caller can check byte for byte, the engine and application
/// emulators, faults on command, and the platform's log, VM list and weight store. Time is always passed in.

#include <sagechute/Core.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace sagechute::standin {

/// Bytes of a prompt that make one more cacheable prefix.
inline constexpr std::size_t prefixBlockBytes = 256;

/// Bytes of a prompt that count as one input token.
inline constexpr std::size_t bytesPerInputToken = 4;

/// @return token @p index of the answer to @p prompt: eight hexadecimal digits.
std::string tokenText(std::string_view prompt, std::uint64_t index);

/// @return the whole answer: @p tokens tokens joined by one space.
std::string wholeText(std::string_view prompt, std::uint64_t tokens);

/// @return the "echo" member of an application's answer to @p body: sixteen hexadecimal digits.
std::string echoHash(std::string_view body);

/// @return the hashes of the first 256, 512, ... bytes of @p prompt, sixteen hexadecimal digits each.
std::vector<std::string> prefixHashes(std::string_view prompt);

/// Misbehaviour that a tester asks a target for.
enum class FaultKind {
    None,
    Hang, ///< Take the request and run it, never answer, keep the connection open.
    Late, ///< Answer only after a delay.
    Crossed, ///< Answer with another request's identity and text.
    DropReply, ///< Run it to its end, then close without an answer.
    Slow, ///< Every step that it takes part in lasts longer.
    Refuse, ///< Close at once, or answer 503; it doesn't run.
    BreakStream, ///< Cut the stream half-way; the run goes on and can be taken up.
};

/// One fault and the requests that it still meets.
struct Fault {
    FaultKind kind = FaultKind::None;
    std::uint64_t count = 0; ///< Requests still to be met.
    std::chrono::milliseconds delay { 0 }; ///< For Late and Slow.
    int status = 0; ///< For Refuse: the HTTP status to answer with; 0 closes the connection.
};

/// The faults that are set; each new request meets at most one, those set first going first.
class FaultTable {
public:
    /// @return the kind of a name such as "drop-reply", or BadRequest that lists the names.
    static absl::StatusOr<FaultKind> kindOf(std::string_view name);

    /// Replaces the fault of that kind; None clears the table, and a count of 0 clears the kind.
    void set(const Fault&);

    /// @param streamed whether the request asked for a stream; BreakStream meets only such requests.
    /// @return the fault that the next request meets; None when there is none.
    Fault take(bool streamed);

private:
    std::vector<Fault> m_faults;
};

/// Counts runs by a text key, in bounded memory: keys that ran once are forgotten oldest first, those that ran twice
/// never.
class RunCounter {
public:
    using Counts = std::unordered_map<std::string, std::uint64_t>;

    /// @param singlesKept how many keys that ran once are remembered at least.
    explicit RunCounter(std::size_t singlesKept = 2'000'000);

    void add(const std::string& key);

    /// @return the keys that ran @p least times or more.
    std::map<std::string, std::uint64_t> atLeast(std::uint64_t least) const;

private:
    std::size_t m_singlesKept;
    Counts m_recent;
    Counts m_older;
    Counts m_repeated;
};

/// What a target did for one customer.
struct CustomerServed {
    std::uint64_t started = 0;
    Cost cost = 0; ///< Counted as it is produced, not at the end of a run.
};

/// A target's own account of its work, for testers: it never passes through the product.
class Ledger {
public:
    explicit Ledger(TimePoint since);

    void start(const std::string& requestId, const std::string& callerTag, const std::string& customer, TimePoint at);
    void charge(const std::string& customer, Cost);
    void setRunning(std::uint64_t running, TimePoint at);

    const RunCounter& runs() const { return m_runs; }
    const RunCounter& tags() const { return m_tags; }
    const std::map<std::string, CustomerServed>& customers() const { return m_customers; }
    std::uint64_t total() const { return m_total; }
    std::uint64_t running() const { return m_running; }
    TimePoint since() const { return m_since; }
    std::optional<TimePoint> lastStarted() const { return m_lastStarted; }

    /// @return the integral over time of the running requests, up to @p now.
    std::chrono::duration<double> busySlotTime(TimePoint now) const;

private:
    RunCounter m_runs;
    RunCounter m_tags;
    std::map<std::string, CustomerServed> m_customers;
    std::uint64_t m_total = 0;
    std::uint64_t m_running = 0;
    TimePoint m_since;
    TimePoint m_runningSince;
    std::chrono::duration<double> m_busy { 0 };
    std::optional<TimePoint> m_lastStarted;
};

/// What an engine emulator is like.
struct EngineOptions {
    std::uint64_t slots = 16; ///< Largest batch; further requests wait inside, first come first served.
    Duration stepBase { 5000 };
    Duration stepPerRunning { 100 };
    std::uint64_t tokensPerStep = 1; ///< Per running request.
    Duration prefillPerToken { 20 };
    std::uint64_t prefillChunk = 2048; ///< Most input tokens of the whole batch in one step.
    std::uint64_t cachePrefixes = 4096;
    Duration eventLag { 200'000 };
    std::uint64_t eventGapEvery = 0; ///< Every n-th cache event is lost; 0: none.
    Duration reportLag { 100'000 };
    Duration resumeKeep { 10'000'000 };
};

/// A change of the prefix cache as the engine reports it.
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false; ///< Else evicted.
    std::string prefix;
    TimePoint visibleAt;
};

/// Cache events in sequence, visible late, some lost.
class CacheEventFeed {
public:
    CacheEventFeed(Duration lag, std::uint64_t gapEvery);

    void add(bool stored, const std::string& prefix, TimePoint now);

    /// @return up to @p most visible events whose sequence is @p from or later.
    std::vector<CacheEvent> read(std::uint64_t from, TimePoint now, std::size_t most) const;

    /// @return when an event with sequence @p from or later is visible, or nullopt when there is none yet.
    std::optional<TimePoint> visibleAt(std::uint64_t from) const;

private:
    Duration m_lag;
    std::uint64_t m_gapEvery;
    std::uint64_t m_sequence = 0;
    std::deque<CacheEvent> m_events;
};

/// A load report.
struct LoadReport {
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    TimePoint at;
};

/// What a run consumed.
struct RunUsage {
    std::uint64_t inputTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t cachedTokens = 0;
    Cost cost = 0; ///< inputTokens / 4 + outputTokens.
};

/// A request to an engine.
struct EngineRequest {
    std::string requestId;
    std::string callerTag;
    std::string customer;
    std::string prompt;
    std::uint64_t maxTokens = 1;
    Duration slowBy {}; ///< Makes each step that it takes part in longer.
};

/// Names one run in one engine; a resend of the same request is another run.
using RunNumber = std::uint64_t;

/// How far a run has come.
enum class RunState { Waiting, Running, Done, Cancelled };

/// What a listener sees of one run.
struct EngineRun {
    RunNumber number = 0;
    RunState state = RunState::Waiting;
    RunUsage usage; ///< outputTokens counts the tokens produced so far.
    /// Shared, for whoever writes the answer may still need it after the run has been forgotten.
    std::shared_ptr<const std::string> prompt;
};

/// An engine with continuous batching: all running requests advance together, one step after the other.
/// Not thread-safe. Every call first brings the emulation up to its @c now.
class EngineModel {
public:
    EngineModel(const EngineOptions&, TimePoint now);
    ~EngineModel();

    /// Takes a request; it runs when the batch has room. Somebody listens to it until detach().
    RunNumber submit(EngineRequest, TimePoint now);

    /// Ends all runs of a request. @return whether there was one that had not ended.
    bool cancel(const std::string& requestId, TimePoint now);

    /// Says that nobody listens to a run any more: it is cancelled and forgotten when resumeKeep has passed.
    void detach(RunNumber, TimePoint now);

    /// Listens to a run again, so that it isn't forgotten.
    void attach(RunNumber, TimePoint now);

    /// @return the latest run of a request, or nullptr when it isn't known any more or was cancelled.
    const EngineRun* latest(const std::string& requestId) const;

    void advance(TimePoint now);

    /// @return when advance() has something to do next.
    std::optional<TimePoint> nextAt() const;

    /// @return the runs with new tokens or a new state since the last call.
    std::vector<RunNumber> takeChanged();

    /// @return a run, or nullptr when it has been forgotten.
    const EngineRun* run(RunNumber) const;

    /// @return the load as it was a report lag before @p now.
    LoadReport loadReport(TimePoint now) const;
    std::uint64_t waiting() const;
    const CacheEventFeed& cacheEvents() const;
    const Ledger& ledger() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// What an application emulator is like.
struct ApplicationOptions {
    std::uint64_t slots = 8;
    Duration serviceTime { 20'000 };
    double jitter = 0.2; ///< Share of the service time by which a call may last longer or shorter.
    double costPerSecond = 100;
    std::uint64_t seed = 1;
};

/// A call of an application.
struct ApplicationCall {
    std::string requestId;
    std::string callerTag;
    std::string customer;
    double work = 1; ///< Multiplies the service time.
    Duration slowBy {};
};

/// A call that has ended.
struct ApplicationResult {
    std::uint64_t call = 0; ///< What submit() returned.
    Cost cost = 0;
};

/// An application: independent slots, each call holds one for its service time, further calls wait first come first
/// served.
class ApplicationModel {
public:
    ApplicationModel(const ApplicationOptions&, TimePoint now);

    std::uint64_t submit(ApplicationCall, TimePoint now);

    /// @return the calls that ended by @p now.
    std::vector<ApplicationResult> advance(TimePoint now);
    std::optional<TimePoint> nextAt() const;
    std::uint64_t waiting() const { return m_waiting.size(); }
    const Ledger& ledger() const { return m_ledger; }

private:
    struct Call {
        std::uint64_t number = 0;
        ApplicationCall call;
        Duration duration {};
    };

    void finishUntil(TimePoint now);
    void startWaiting(TimePoint at);

    ApplicationOptions m_options;
    SeededRandom m_random;
    Ledger m_ledger;
    std::uint64_t m_lastNumber = 0;
    std::deque<Call> m_waiting;
    std::multimap<TimePoint, Call> m_running; ///< By end.
    std::vector<ApplicationResult> m_results;
};

/// An order of the product to a target.
struct Order {
    std::uint64_t fencing = 0;
    std::string order; ///< "load", "version" or "role".
    std::string model; ///< Empty: as it is.
    std::string version;
    std::string role;
};

/// Weights that an order asks for.
struct WeightLoad {
    std::uint64_t number = 0;
    std::string model;
    std::string version;
};

/// What a target serves.
struct TargetState {
    std::string model;
    std::string version;
    std::string role;
    std::uint64_t fencing = 0;
    bool loading = false;
};

/// Takes orders, with or without a check of the fencing number.
class OrderDesk {
public:
    OrderDesk(bool checkFencing, TargetState initial);

    /// @return the load to carry out, if any; Conflict when the number is lower than one seen and the check is on;
    /// BadRequest for another order.
    absl::StatusOr<std::optional<WeightLoad>> accept(const Order&);

    /// Puts loaded weights into service, unless a later order asked for others.
    void finishLoad(const WeightLoad&);

    const TargetState& state() const { return m_state; }

private:
    bool m_checkFencing;
    TargetState m_state;
    std::uint64_t m_lastLoad = 0;
};

/// One append-only stream with bounded retention.
class LogStream {
public:
    /// @return the record's offset.
    LogOffset append(std::string data, std::uint64_t retention);

    LogOffset first() const { return m_first; }
    LogOffset next() const { return m_first + m_records.size(); }

    /// @return up to @p most records from @p from on, at least one if there is one, else up to @p mostBytes;
    /// RetentionExceeded when @p from is older than first().
    absl::StatusOr<std::vector<std::string_view>> read(LogOffset from, std::size_t most, std::size_t mostBytes) const;

private:
    LogOffset m_first = 1;
    std::deque<std::string> m_records;
};

/// The weight store's rate limit: a bucket of @p burst loads that fills with @p loadsPerMinute.
class WeightStore {
public:
    WeightStore(double loadsPerMinute, double burst, TimePoint now);

    /// @return zero when a load is granted now, else the time until it is worth asking again.
    Duration ask(TimePoint now);

private:
    double m_perMinute;
    double m_burst;
    double m_loads;
    TimePoint m_filledAt;
};

/// Calls a function on one thread at the times that it asks for.
class TimerLoop {
public:
    /// @param turn does what is due at the time given and returns when it wants to be called next, if at all.
    explicit TimerLoop(std::function<std::optional<TimePoint>(TimePoint now)> turn);
    ~TimerLoop();
    TimerLoop(const TimerLoop&) = delete;
    TimerLoop& operator=(const TimerLoop&) = delete;

    /// Has the function called soon; from any thread, also under locks that the function takes.
    void wake();

private:
    void run();

    std::function<std::optional<TimePoint>(TimePoint)> m_turn;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_ending = false;
    std::thread m_thread;
};

} // namespace sagechute::standin
