#include "AnswerChecker.h"

#include <sagechute/Standin.h>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace sagechute::load {

namespace {

    using nlohmann::json;

    constexpr std::string_view streamingOutcome = "streaming";

    /// @return the member's text, or an empty one when it is missing or no text.
    std::string memberText(const json& object, const char* name)
    {
        if (!object.is_object() || !object.contains(name) || !object[name].is_string())
            return {};
        return object[name].get<std::string>();
    }

    double memberNumber(const json& object, const char* name)
    {
        if (!object.is_object() || !object.contains(name) || !object[name].is_number())
            return -1;
        return object[name].get<double>();
    }

    json parseOrNull(std::string_view text) { return json::parse(text, nullptr, false); }

    std::optional<SendEnd> endOfOutcome(std::string_view outcome)
    {
        if (outcome == toString(Outcome::Completed))
            return SendEnd::Completed;
        if (outcome == toString(Outcome::NotRun))
            return SendEnd::NotRun;
        if (outcome == toString(Outcome::Unknown))
            return SendEnd::Unknown;
        if (outcome == toString(Outcome::Incomplete))
            return SendEnd::Incomplete;
        return std::nullopt;
    }

} // namespace

std::string_view toString(SendEnd end)
{
    constexpr std::array<std::string_view, 9> names { "completed", "not-run", "unknown", "incomplete", "cut-off",
        "unreachable", "crossed", "malformed", "lost" };
    return names.at(static_cast<std::size_t>(end));
}

std::vector<SseEvent> SseReader::read(std::string_view bytes)
{
    std::vector<SseEvent> events;
    for (;;) {
        const std::size_t newline = bytes.find('\n');
        if (newline == std::string_view::npos) {
            m_partialLine += bytes;
            return events;
        }
        m_partialLine += bytes.substr(0, newline);
        bytes.remove_prefix(newline + 1);
        readLine(m_partialLine, events);
        m_partialLine.clear();
    }
}

void SseReader::readLine(std::string_view line, std::vector<SseEvent>& out)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (!m_event.data.empty() || !m_event.event.empty())
            out.push_back(std::move(m_event));
        m_event = {};
        return;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id")
        m_event.id = value;
    else if (name == "event")
        m_event.event = value;
    else if (name == "data")
        m_event.data += m_event.data.empty() ? std::string(value) : "\n" + std::string(value);
}

AnswerChecker::AnswerChecker(Expectation expectation)
    : m_expectation(std::move(expectation))
{
}

void AnswerChecker::headers(int status, const std::vector<net::Field>& fields)
{
    m_status = status;
    m_outcomeHeader = net::findField(fields, "Sagechute-Outcome").value_or("");
    m_verdict.requestId = net::findField(fields, "Sagechute-Request-Id").value_or("");
    if (const auto text = net::findField(fields, "Retry-After")) {
        std::int64_t seconds = 0;
        std::from_chars(text->data(), text->data() + text->size(), seconds);
        m_verdict.retryAfter = std::chrono::seconds(seconds);
    }
}

unsigned AnswerChecker::body(std::string_view bytes)
{
    if (m_outcomeHeader != streamingOutcome) {
        m_wholeBody += bytes;
        return 0;
    }
    const std::uint64_t before = m_nextPosition;
    for (const SseEvent& it : m_sse.read(bytes)) {
        if (it.event == "outcome")
            checkOutcomeEvent(it);
        else if (it.event.empty() || it.event == "message")
            checkToken(it);
        else
            fail(SendEnd::Malformed, "an event named " + it.event);
    }
    return static_cast<unsigned>(m_nextPosition - before);
}

Verdict AnswerChecker::finish(const net::TransferResult& result)
{
    if (!m_ended) {
        if (result.end == net::TransferEnd::NothingSent)
            fail(SendEnd::Unreachable, result.detail);
        else if (result.end == net::TransferEnd::TimedOut)
            fail(SendEnd::Lost, result.detail);
        else if (!net::isUncut(result.end))
            fail(SendEnd::CutOff, result.detail);
        else if (m_outcomeHeader == streamingOutcome)
            fail(SendEnd::CutOff, "the stream ended without an outcome event");
        else
            checkWholeAnswer();
    }
    m_verdict.tokens = std::max(m_verdict.tokens, m_nextPosition);
    return m_verdict;
}

void AnswerChecker::checkToken(const SseEvent& event)
{
    if (m_ended)
        return fail(SendEnd::Malformed, "a token after the outcome");
    const std::string expectedId = m_verdict.requestId + ":" + std::to_string(m_nextPosition);
    if (event.id != expectedId)
        return fail(SendEnd::Crossed, "event id " + event.id + " in place of " + expectedId);
    const std::string text = memberText(parseOrNull(event.data), "text");
    if (text != standin::tokenText(m_expectation.prompt, m_nextPosition))
        return fail(SendEnd::Crossed, "token " + expectedId + " has the text " + text);
    ++m_nextPosition;
}

void AnswerChecker::checkOutcomeEvent(const SseEvent& event)
{
    const json document = parseOrNull(event.data);
    const auto end = endOfOutcome(memberText(document, "outcome"));
    if (!end)
        return fail(SendEnd::Malformed, "an outcome event without a known outcome: " + event.data);
    if (memberText(document, "requestId") != m_verdict.requestId)
        return fail(SendEnd::Crossed, "the outcome of request " + memberText(document, "requestId"));
    if (*end != SendEnd::Completed) {
        m_verdict.kind = memberText(document, "kind");
        return fail(*end, memberText(document, "message"));
    }
    const json usage = document.value("usage", json::object());
    m_verdict.cost = std::max(0.0, memberNumber(usage, "cost"));
    // A stream that lacks its last tokens looks complete unless the count is compared.
    if (memberNumber(usage, "outputTokens") != static_cast<double>(m_nextPosition))
        return fail(SendEnd::Crossed, std::to_string(m_nextPosition) + " tokens, but the usage is " + usage.dump());
    if (m_nextPosition == 0 || m_nextPosition > m_expectation.maxTokens)
        return fail(SendEnd::Crossed,
            std::to_string(m_nextPosition) + " tokens of at most " + std::to_string(m_expectation.maxTokens));
    m_verdict.end = SendEnd::Completed;
    m_ended = true;
}

void AnswerChecker::checkWholeAnswer()
{
    const auto end = endOfOutcome(m_outcomeHeader);
    if (!end)
        return fail(SendEnd::Malformed,
            "status " + std::to_string(m_status) + " with outcome header '" + m_outcomeHeader + "'");
    if (*end != SendEnd::Completed) {
        readRefusal();
        return fail(*end, m_verdict.detail);
    }
    if (m_status != 200)
        return fail(SendEnd::Malformed, "completed with status " + std::to_string(m_status));
    if (m_expectation.mode == ServiceMode::Engine)
        checkWholeEngineAnswer();
    else
        checkWholeApplicationAnswer();
    if (!m_ended)
        m_verdict.end = SendEnd::Completed;
    m_ended = true;
}

void AnswerChecker::checkWholeEngineAnswer()
{
    const json document = parseOrNull(m_wholeBody);
    const json usage = document.is_object() ? document.value("usage", json::object()) : json::object();
    const double tokens = memberNumber(usage, "outputTokens");
    if (tokens < 1 || tokens > m_expectation.maxTokens)
        return fail(SendEnd::Crossed, "the usage is " + usage.dump());
    m_verdict.tokens = static_cast<std::uint64_t>(tokens);
    m_verdict.cost = std::max(0.0, memberNumber(usage, "cost"));
    if (memberText(document, "requestId") != m_verdict.requestId)
        return fail(SendEnd::Crossed, "the answer of request " + memberText(document, "requestId"));
    if (memberText(document, "text") != standin::wholeText(m_expectation.prompt, m_verdict.tokens))
        return fail(SendEnd::Crossed, "the text belongs to another prompt");
}

void AnswerChecker::checkWholeApplicationAnswer()
{
    const json document = parseOrNull(m_wholeBody);
    m_verdict.cost = std::max(0.0, memberNumber(document, "cost"));
    if (memberText(document, "requestId") != m_verdict.requestId)
        return fail(SendEnd::Crossed, "the answer of request " + memberText(document, "requestId"));
    if (memberText(document, "echo") != standin::echoHash(m_expectation.body))
        return fail(SendEnd::Crossed, "the echo belongs to another body");
}

void AnswerChecker::readRefusal()
{
    const json document = parseOrNull(m_wholeBody);
    m_verdict.kind = memberText(document, "kind");
    m_verdict.detail = memberText(document, "message");
}

void AnswerChecker::fail(SendEnd end, std::string detail)
{
    // The first finding stands, but for one: bytes after a proper end still make the answer wrong.
    if (m_ended && !(m_verdict.end == SendEnd::Completed && end == SendEnd::Malformed))
        return;
    m_verdict.end = end;
    m_verdict.detail = std::move(detail);
    m_ended = true;
}

} // namespace sagechute::load
