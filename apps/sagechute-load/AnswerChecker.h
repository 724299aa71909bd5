#pragma once

/// @file
/// Checks every byte of an answer against the request that it claims to answer.

#include "Plan.h"

#include <sagechute/Net.h>

#include <optional>

namespace sagechute::load {

/// One event of a text/event-stream.
struct SseEvent {
    std::string id;
    std::string event;
    std::string data;
};

/// Splits a text/event-stream into events, whatever the chunks it comes in.
class SseReader {
public:
    /// @return the events that @p bytes complete.
    std::vector<SseEvent> read(std::string_view bytes);

private:
    void readLine(std::string_view line, std::vector<SseEvent>& out);

    std::string m_partialLine;
    SseEvent m_event;
};

/// What was asked, as far as the answer depends on it.
struct Expectation {
    ServiceMode mode = ServiceMode::Engine;
    bool streamed = false;
    std::string prompt; ///< Engine only.
    std::string body;
    unsigned maxTokens = 0; ///< Engine only.
};

/// How one send of a request ended, as its caller sees it.
enum class SendEnd {
    Completed, ///< Whole, and every byte right.
    NotRun,
    Unknown,
    Incomplete,
    CutOff, ///< The connection ended without an outcome; the caller has to take it as unknown.
    Unreachable, ///< No byte of the request left.
    Crossed, ///< Bytes that are not of this request's answer, or a gap in the positions.
    Malformed, ///< Against docs/design/protocols.md: no outcome header, or one that does not fit the answer.
    Lost, ///< No end within the caller's patience.
};

/// @return a name for reports: "completed", "not-run", ...
std::string_view toString(SendEnd);

/// What a caller knows at the end of one send.
struct Verdict {
    SendEnd end = SendEnd::Lost;
    std::string requestId;
    std::string kind; ///< Of a refusal: the error's kind.
    std::string detail; ///< For people.
    std::chrono::seconds retryAfter { 0 }; ///< 0: none was given.
    Cost cost = 0; ///< As the answer's usage says.
    std::uint64_t tokens = 0;
};

/// Takes one answer as it arrives.
class AnswerChecker {
public:
    explicit AnswerChecker(Expectation);

    void headers(int status, const std::vector<net::Field>&);

    /// @return how many tokens of a streamed answer @p bytes completed.
    unsigned body(std::string_view bytes);

    Verdict finish(const net::TransferResult&);

private:
    void checkToken(const SseEvent&);
    void checkOutcomeEvent(const SseEvent&);
    void checkWholeEngineAnswer();
    void checkWholeApplicationAnswer();
    void checkWholeAnswer();
    void readRefusal();
    void fail(SendEnd, std::string detail);

    Expectation m_expectation;
    Verdict m_verdict;
    SseReader m_sse;
    std::string m_outcomeHeader;
    std::string m_wholeBody;
    std::uint64_t m_nextPosition = 0;
    int m_status = 0;
    bool m_ended = false; ///< The outcome is known: nothing later changes it.
};

} // namespace sagechute::load
