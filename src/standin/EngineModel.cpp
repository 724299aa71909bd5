#include "standin/EngineParts.h"

#include <algorithm>
#include <utility>

namespace sagechute::standin {
namespace {

    constexpr std::uint64_t tokensPerPrefix = prefixBlockBytes / bytesPerInputToken;
    constexpr Cost costPerInputToken = 0.25;

    /// All that the engine knows of one run.
    struct Run {
        EngineRun seen;
        EngineRequest request;
        std::vector<std::string> hashes;
        std::uint64_t prefillLeft = 0; ///< Input tokens.
        std::uint64_t prefillInStep = 0;
        std::optional<TimePoint> detachedAt; ///< Since when nobody listens.
        bool changed = false;
    };

    /// A run that nobody listened to from @c at on; out of date when somebody has come back since.
    struct Detached {
        RunNumber run = 0;
        TimePoint at;
    };

} // namespace

struct EngineModel::Impl {
    Impl(const EngineOptions&, TimePoint now);

    void advance(TimePoint now);
    void startStep(TimePoint at);
    void finishStep(TimePoint at);
    void admit(TimePoint at);
    void finishPrefill(Run&, TimePoint at);
    void produce(Run&, TimePoint at);
    void endRun(Run&, RunState, TimePoint at);
    void forgetDetached(TimePoint now);
    void forget(const Run&);
    void noteLoad(TimePoint at);
    void markChanged(Run&);
    Run* find(RunNumber) const;

    EngineOptions options;
    PrefixCache cache;
    CacheEventFeed events;
    LoadHistory load;
    Ledger ledger;
    RunNumber lastNumber = 0;
    std::unordered_map<RunNumber, std::unique_ptr<Run>> runs;
    std::unordered_map<std::string, RunNumber> latest;
    std::deque<Run*> waiting;
    std::vector<Run*> running;
    std::optional<TimePoint> stepEnds;
    std::deque<Detached> detached;
    std::vector<RunNumber> changed;
};

EngineModel::Impl::Impl(const EngineOptions& engineOptions, TimePoint now)
    : options(engineOptions)
    , cache(engineOptions.cachePrefixes)
    , events(engineOptions.eventLag, engineOptions.eventGapEvery)
    , load(engineOptions.reportLag)
    , ledger(now)
{
}

void EngineModel::Impl::advance(TimePoint now)
{
    while (stepEnds && *stepEnds <= now) {
        // The next step starts where this one ended, however late the timer came: the engine's speed mustn't depend on
        // it.
        const TimePoint end = *stepEnds;
        finishStep(end);
        startStep(end);
    }
    forgetDetached(now);
}

void EngineModel::Impl::startStep(TimePoint at)
{
    admit(at);
    stepEnds.reset();
    if (running.empty())
        return;
    Duration length = options.stepBase + options.stepPerRunning * static_cast<std::int64_t>(running.size());
    std::uint64_t budget = options.prefillChunk;
    Duration slowest {};
    for (Run* run : running) {
        run->prefillInStep = std::min(run->prefillLeft, budget);
        budget -= run->prefillInStep;
        length += options.prefillPerToken * static_cast<std::int64_t>(run->prefillInStep);
        slowest = std::max(slowest, run->request.slowBy);
    }
    stepEnds = at + std::max(length + slowest, Duration(1));
}

void EngineModel::Impl::admit(TimePoint at)
{
    bool admitted = false;
    while (!waiting.empty() && running.size() < options.slots) {
        Run& run = *waiting.front();
        waiting.pop_front();
        running.push_back(&run);
        admitted = true;
        run.seen.state = RunState::Running;
        RunUsage& usage = run.seen.usage;
        usage.cachedTokens = std::min(cache.lookUp(run.hashes) * tokensPerPrefix, usage.inputTokens);
        // A whole hit still costs one token: the last one has to pass through the model to yield the first of the
        // answer.
        run.prefillLeft = std::max<std::uint64_t>(1, usage.inputTokens - usage.cachedTokens);
        ledger.start(run.request.requestId, run.request.callerTag, run.request.customer, at);
    }
    if (admitted)
        noteLoad(at);
}

void EngineModel::Impl::finishStep(TimePoint at)
{
    const std::vector<Run*> batch = running;
    for (Run* run : batch) {
        const bool prefilling = run->prefillLeft > 0;
        run->prefillLeft -= run->prefillInStep;
        run->prefillInStep = 0;
        if (run->prefillLeft > 0)
            continue;
        if (prefilling)
            finishPrefill(*run, at);
        produce(*run, at);
    }
}

void EngineModel::Impl::finishPrefill(Run& run, TimePoint at)
{
    cache.store(run.hashes, events, at);
    const Cost cost = static_cast<Cost>(run.seen.usage.inputTokens) * costPerInputToken;
    run.seen.usage.cost = cost;
    ledger.charge(run.request.customer, cost);
}

void EngineModel::Impl::produce(Run& run, TimePoint at)
{
    RunUsage& usage = run.seen.usage;
    const std::uint64_t tokens = std::min(options.tokensPerStep, run.request.maxTokens - usage.outputTokens);
    usage.outputTokens += tokens;
    usage.cost += static_cast<Cost>(tokens);
    ledger.charge(run.request.customer, static_cast<Cost>(tokens));
    markChanged(run);
    if (usage.outputTokens == run.request.maxTokens)
        endRun(run, RunState::Done, at);
}

void EngineModel::Impl::endRun(Run& run, RunState state, TimePoint at)
{
    std::erase(running, &run);
    std::erase(waiting, &run);
    run.seen.state = state;
    markChanged(run);
    noteLoad(at);
}

void EngineModel::Impl::forgetDetached(TimePoint now)
{
    while (!detached.empty() && detached.front().at + options.resumeKeep <= now) {
        const Detached due = detached.front();
        detached.pop_front();
        Run* run = find(due.run);
        if (!run || run->detachedAt != due.at)
            continue;
        if (run->seen.state == RunState::Waiting || run->seen.state == RunState::Running)
            endRun(*run, RunState::Cancelled, now);
        forget(*run);
    }
}

void EngineModel::Impl::forget(const Run& run)
{
    const auto it = latest.find(run.request.requestId);
    if (it != latest.end() && it->second == run.seen.number)
        latest.erase(it);
    runs.erase(run.seen.number);
}

void EngineModel::Impl::noteLoad(TimePoint at)
{
    ledger.setRunning(running.size(), at);
    load.record({ running.size(), waiting.size(), at });
}

void EngineModel::Impl::markChanged(Run& run)
{
    if (run.changed)
        return;
    run.changed = true;
    changed.push_back(run.seen.number);
}

Run* EngineModel::Impl::find(RunNumber number) const
{
    const auto it = runs.find(number);
    return it == runs.end() ? nullptr : it->second.get();
}

EngineModel::EngineModel(const EngineOptions& options, TimePoint now)
    : m_impl(std::make_unique<Impl>(options, now))
{
}

EngineModel::~EngineModel() = default;

RunNumber EngineModel::submit(EngineRequest request, TimePoint now)
{
    m_impl->advance(now);
    auto run = std::make_unique<Run>();
    const RunNumber number = ++m_impl->lastNumber;
    run->seen.number = number;
    run->seen.prompt = std::make_shared<const std::string>(std::move(request.prompt));
    run->seen.usage.inputTokens = (run->seen.prompt->size() + bytesPerInputToken - 1) / bytesPerInputToken;
    run->hashes = prefixHashes(*run->seen.prompt);
    run->request = std::move(request);
    m_impl->latest[run->request.requestId] = number;
    m_impl->waiting.push_back(run.get());
    m_impl->runs.emplace(number, std::move(run));
    if (!m_impl->stepEnds)
        m_impl->startStep(now);
    else
        m_impl->noteLoad(now);
    return number;
}

bool EngineModel::cancel(const std::string& requestId, TimePoint now)
{
    m_impl->advance(now);
    std::vector<Run*> open;
    for (Run* run : m_impl->running) {
        if (run->request.requestId == requestId)
            open.push_back(run);
    }
    for (Run* run : m_impl->waiting) {
        if (run->request.requestId == requestId)
            open.push_back(run);
    }
    for (Run* run : open)
        m_impl->endRun(*run, RunState::Cancelled, now);
    return !open.empty();
}

void EngineModel::detach(RunNumber number, TimePoint now)
{
    m_impl->advance(now);
    Run* run = m_impl->find(number);
    if (!run || run->detachedAt)
        return;
    run->detachedAt = now;
    m_impl->detached.push_back({ number, now });
}

void EngineModel::attach(RunNumber number, TimePoint now)
{
    m_impl->advance(now);
    if (Run* run = m_impl->find(number))
        run->detachedAt.reset();
}

const EngineRun* EngineModel::latest(const std::string& requestId) const
{
    const auto it = m_impl->latest.find(requestId);
    if (it == m_impl->latest.end())
        return nullptr;
    const Run* run = m_impl->find(it->second);
    return run && run->seen.state != RunState::Cancelled ? &run->seen : nullptr;
}

void EngineModel::advance(TimePoint now) { m_impl->advance(now); }

std::optional<TimePoint> EngineModel::nextAt() const
{
    std::optional<TimePoint> next = m_impl->stepEnds;
    if (m_impl->detached.empty())
        return next;
    const TimePoint expiry = m_impl->detached.front().at + m_impl->options.resumeKeep;
    return next ? std::min(*next, expiry) : expiry;
}

std::vector<RunNumber> EngineModel::takeChanged()
{
    for (const RunNumber number : m_impl->changed) {
        if (Run* run = m_impl->find(number))
            run->changed = false;
    }
    return std::exchange(m_impl->changed, {});
}

const EngineRun* EngineModel::run(RunNumber number) const
{
    const Run* run = m_impl->find(number);
    return run ? &run->seen : nullptr;
}

LoadReport EngineModel::loadReport(TimePoint now) const { return m_impl->load.report(now); }

std::uint64_t EngineModel::waiting() const { return m_impl->waiting.size(); }

const CacheEventFeed& EngineModel::cacheEvents() const { return m_impl->events; }

const Ledger& EngineModel::ledger() const { return m_impl->ledger; }

} // namespace sagechute::standin
