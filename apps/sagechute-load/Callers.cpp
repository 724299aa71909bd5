#include "Request.h"

#include <nlohmann/json.hpp>

namespace sagechute::load {

namespace {

    /// @return @p bytes of text that depends on @p seed alone.
    std::string fillerText(std::uint64_t seed, std::size_t bytes)
    {
        constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz .,;ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
        SeededRandom random(seed);
        std::string text(bytes, ' ');
        for (char& it : text)
            it = letters[random.below(letters.size())];
        return text;
    }

} // namespace

Callers::Callers(const Plan& plan, EventLoop& loop, net::HttpClient& http)
    : m_plan(plan)
    , m_loop(loop)
    , m_http(http)
    , m_random(plan.seed)
{
    for (const FlowPlan& it : plan.flows) {
        auto flow = std::make_unique<Flow>(
            Flow { it, *plan.service(it.service), *plan.customer(it.customer), m_flows.size(), {}, {}, 0 });
        flow->sharedPrefix = fillerText(stableHash(it.service, flow->index), it.sharedPrefixBytes);
        for (unsigned n = 0; n < it.clients; ++n) {
            flow->clients.push_back(std::make_unique<Client>(
                loop, http, flow->customer.key, it.zone, it.service, plan.entries, it.pinnedTo, m_random.next()));
        }
        m_demand[{ flow->service.pool, it.customer }];
        m_flows.push_back(std::move(flow));
    }
}

Callers::~Callers() = default;

void Callers::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_startedAt = steadyNow();
    for (const auto& flow : m_flows)
        m_loop.after(flow->plan.start, [this, &it = *flow] { beginFlow(it); });
    m_loop.after(m_plan.duration, [this] {
        m_durationPassed = true;
        endIfDone();
    });
    constexpr Duration beyondPatience = std::chrono::seconds(10);
    m_loop.after(m_plan.duration + m_plan.patience + beyondPatience, [this] { giveUp(); });
}

void Callers::beginFlow(Flow& flow)
{
    if (flow.plan.arrival == Arrival::Open)
        return arriveOpen(flow);
    for (unsigned n = 0; n < flow.plan.callers; ++n)
        beginRequest(flow, n % flow.clients.size());
}

void Callers::arriveOpen(Flow& flow)
{
    if (!flowOpen(flow))
        return;
    if (flow.outstanding < flow.plan.maxOutstanding)
        beginRequest(flow, m_random.below(flow.clients.size()));
    else
        ++m_findings.arrivalsLeftOut;
    const std::chrono::duration<double> gap(-std::log(1 - m_random.fraction()) / flow.plan.perSecond);
    m_loop.after(std::chrono::duration_cast<Duration>(gap), [this, &flow] { arriveOpen(flow); });
}

bool Callers::flowOpen(const Flow& flow) const
{
    const bool stopped = flow.plan.stop.count() > 0 && steadyNow() >= m_startedAt + flow.plan.stop;
    return !m_durationPassed && !stopped;
}

void Callers::beginRequest(Flow& flow, std::size_t client)
{
    if (!flowOpen(flow))
        return;
    const Serial serial = m_nextSerial++;
    auto request = std::make_unique<Request>(Request { serial, flow, client });
    request->record.tag
        = "load-" + std::to_string(m_plan.seed) + "-" + flow.customer.id.value + "-" + std::to_string(serial);
    request->record.customer = flow.customer.id;
    request->record.service = flow.service.name;
    request->record.repeatable = flow.plan.repeatable;
    prepare(*request);
    m_requests[serial] = std::move(request);
    ++flow.outstanding;
    flow.clients[client]->locate([this, serial](const Location& location) { sendFirst(serial, location); });
}

void Callers::prepare(Request& request)
{
    const FlowPlan& plan = request.flow.plan;
    const std::string start = request.flow.sharedPrefix + request.record.tag + " ";
    const std::size_t rest = plan.promptBytes > start.size() ? plan.promptBytes - start.size() : 0;
    const std::string text = start + fillerText(m_random.next(), rest);
    request.expectation.mode = request.flow.service.mode;
    request.expectation.streamed = plan.streamed;
    if (request.flow.service.mode == ServiceMode::Application) {
        constexpr double workUnit = 0.01;
        const double work = plan.maxTokensGiven ? plan.maxTokens.draw(m_random) * workUnit : 1;
        request.expectation.body = nlohmann::json { { "text", text }, { "work", work } }.dump();
    } else {
        request.expectation.prompt = text;
        request.expectation.maxTokens = plan.maxTokens.draw(m_random);
        request.expectation.body
            = nlohmann::json { { "prompt", text }, { "maxTokens", request.expectation.maxTokens } }.dump();
    }
    request.costHint = hintFor(request);
}

std::string Callers::hintFor(const Request& request)
{
    if (request.flow.plan.hint == HintQuality::None || request.flow.service.mode == ServiceMode::Application)
        return {};
    constexpr double bytesPerCostUnit = 16; // Four bytes a token, four input tokens a unit: docs/design/protocols.md.
    const double right
        = static_cast<double>(request.expectation.prompt.size()) / bytesPerCostUnit + request.expectation.maxTokens;
    if (request.flow.plan.hint == HintQuality::Right)
        return std::to_string(right);
    constexpr double wrongBy = 20;
    return std::to_string(m_random.below(2) ? right * wrongBy : right / wrongBy);
}

void Callers::measure(const Request& request, const SendResult& result)
{
    if (result.verdict.end != SendEnd::Completed || request.begun < m_startedAt + m_plan.warmUp)
        return;
    m_findings.waits[request.record.customer].add(result.firstToken.value_or(result.ended) - request.begun);
    if (result.firstToken)
        m_findings.firstToken.add(*result.firstToken - request.begun);
    m_findings.tokenGap.add(result.tokenGaps);
}

void Callers::finish(Request& request, const SendResult& result)
{
    measure(request, result);
    request.record.last = result.verdict;
    // An address that cannot be reached says nothing of an earlier send whose reply was lost.
    if (request.mayHaveRun && result.verdict.end == SendEnd::Unreachable)
        request.record.last.end = SendEnd::CutOff;
    m_findings.records.push_back(std::move(request.record));
    Flow& flow = request.flow;
    const std::size_t client = request.client;
    --flow.outstanding;
    m_requests.erase(request.serial);
    if (flow.plan.arrival == Arrival::Closed)
        m_loop.after(pauseAfter(result.verdict), [this, &flow, client] { beginRequest(flow, client); });
    endIfDone();
}

Duration Callers::pauseAfter(const Verdict& verdict)
{
    if (verdict.end == SendEnd::Completed)
        return {};
    constexpr Duration leastPause = std::chrono::milliseconds(50);
    return jittered(std::max<Duration>(verdict.retryAfter, leastPause));
}

Duration Callers::jittered(Duration duration)
{
    return std::chrono::duration_cast<Duration>(duration * (0.5 + m_random.fraction()));
}

Callers::Request* Callers::find(Serial serial)
{
    const auto it = m_requests.find(serial);
    return it == m_requests.end() ? nullptr : it->second.get();
}

/// Without a last moment, a fleet whose every router hangs would keep the trial running for ever, and no report would
/// say so.
void Callers::giveUp()
{
    std::vector<Serial> left;
    for (const auto& it : m_requests)
        left.push_back(it.first);
    for (const Serial it : left) {
        SendResult result;
        result.verdict.end = find(it)->record.sends > 0 ? SendEnd::Lost : SendEnd::Unreachable;
        result.verdict.detail = "no end when the trial was over";
        finish(*find(it), result);
    }
}

void Callers::endIfDone()
{
    if (!m_durationPassed || !m_requests.empty() || !m_done)
        return;
    const auto done = std::move(m_done);
    m_done = nullptr;
    done();
}

} // namespace sagechute::load
