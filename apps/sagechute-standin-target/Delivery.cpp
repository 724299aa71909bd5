#include "Delivery.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sagechute::standin {
namespace {

    using nlohmann::json;

    // Above the server's drain mark, so that the server always tells when to go on.
    constexpr std::size_t mostQueuedBytes = 256 << 10;
    constexpr std::uint64_t tokensPerWrite = 1024;
    constexpr std::size_t typicalEventBytes = 64;

    json usageDocument(const RunUsage& usage)
    {
        return { { "inputTokens", usage.inputTokens }, { "outputTokens", usage.outputTokens },
            { "cachedTokens", usage.cachedTokens }, { "cost", usage.cost } };
    }

} // namespace

Delivery::Delivery(DeliveryId id, std::shared_ptr<net::ServerExchange> exchange, AnswerPlan plan, TimePoint now)
    : m_id(id)
    , m_exchange(std::move(exchange))
    , m_plan(std::move(plan))
    , m_began(now)
    , m_next(m_plan.from)
{
}

Delivery::Progress Delivery::advance(const EngineRun& run, TimePoint now)
{
    m_dueAt.reset();
    if (run.state == RunState::Cancelled) {
        m_exchange->abort();
        return Progress::Over;
    }
    if (m_plan.mute)
        return Progress::Going;
    if (m_plan.dropAtEnd) {
        if (run.state != RunState::Done)
            return Progress::Going;
        m_exchange->abort();
        return Progress::Over;
    }
    return m_plan.streamed ? advanceStream(run, now) : advanceWhole(run, now);
}

bool Delivery::held(TimePoint since, TimePoint now)
{
    if (now >= since + m_plan.late)
        return false;
    m_dueAt = since + m_plan.late;
    return true;
}

Delivery::Progress Delivery::advanceWhole(const EngineRun& run, TimePoint now)
{
    if (run.state != RunState::Done)
        return Progress::Going;
    if (!m_ended)
        m_ended = now;
    if (held(*m_ended, now))
        return Progress::Going;
    const std::string& prompt = m_plan.otherPrompt ? *m_plan.otherPrompt : *run.prompt;
    net::ServerResponse response = net::jsonResponse(200,
        { { "requestId", m_plan.requestId }, { "text", wholeText(prompt, run.usage.outputTokens) },
            { "usage", usageDocument(run.usage) } });
    response.headers.push_back({ "Sagechute-Request-Id", m_plan.requestId });
    m_exchange->respond(std::move(response));
    return Progress::Over;
}

Delivery::Progress Delivery::advanceStream(const EngineRun& run, TimePoint now)
{
    if (held(m_began, now))
        return Progress::Going;
    start();
    const std::string& prompt = m_plan.otherPrompt ? *m_plan.otherPrompt : *run.prompt;
    const std::uint64_t end = std::min(run.usage.outputTokens, m_plan.breakAt.value_or(run.usage.outputTokens));
    while (m_next < end && !m_blocked)
        writeTokens(prompt, std::min(end, m_next + tokensPerWrite));
    if (m_blocked || m_next < end)
        return Progress::Going;
    if (m_next == m_plan.breakAt) {
        m_exchange->abort();
        return Progress::Over;
    }
    if (run.state != RunState::Done || m_next < run.usage.outputTokens)
        return Progress::Going;
    writeDone(run.usage);
    return Progress::Over;
}

void Delivery::start()
{
    if (m_started)
        return;
    m_started = true;
    m_exchange->startStream(200,
        { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" },
            { "Sagechute-Request-Id", m_plan.requestId } });
}

void Delivery::writeTokens(std::string_view prompt, std::uint64_t end)
{
    std::string events;
    events.reserve((end - m_next) * typicalEventBytes);
    for (; m_next < end; ++m_next) {
        events += "id: ";
        events += m_plan.requestId;
        events += ':';
        events += std::to_string(m_next);
        events += "\ndata: {\"text\":\"";
        events += tokenText(prompt, m_next);
        events += "\"}\n\n";
    }
    // What is queued when a connection is aborted is thrown away, so a stream that is to break waits for it to be
    // taken: otherwise it would break before its first token rather than half-way.
    m_blocked = m_exchange->write(events) > mostQueuedBytes || m_next == m_plan.breakAt;
}

void Delivery::writeDone(const RunUsage& usage)
{
    m_exchange->write("event: done\nid: " + m_plan.requestId + ":" + std::to_string(m_next)
        + "\ndata: " + usageDocument(usage).dump() + "\n\n");
    m_exchange->finish();
}

} // namespace sagechute::standin
