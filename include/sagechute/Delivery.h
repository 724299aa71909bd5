#pragma once

/// @file
/// Keeping promises to callers: checking answers, remembering outcomes of requests that may not be repeated, bounding
/// retries and admission. Decision logic without I/O, threads or clock, except that AdmissionCounters may be used from
/// several threads.

#include <sagechute/Core.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::delivery {

/// What a target's streamed answer holds, event by event.
enum class StreamEventKind {
    Token, ///< The next position of the answer.
    Done, ///< The proper end, with the usage document.
    Repeated, ///< A position already relayed (after a resume): to be dropped.
};

struct StreamEvent {
    StreamEventKind kind = StreamEventKind::Token;
    std::uint64_t position = 0;
    std::string_view data; ///< The event's data line; valid until the next call.
};

/// Why a stream can't be trusted any more.
enum class StreamFault {
    None,
    Crossed, ///< An event of another request.
    Gap, ///< A position is missing, or the answer ended at another position than what was relayed.
    Malformed, ///< Not an event of the protocol, an event above kMostEventBytes, or an event after the end.
};

/// The longest event that a stream may hold, its id and event lines included.
inline constexpr std::size_t kMostEventBytes = 1 << 20;

/// Reads a target's event stream incrementally and checks that each event belongs to the request and follows the one
/// before. A crossed or late answer shows as a foreign identity; a lost part shows as a gap in positions.
class StreamChecker {
public:
    /// @param identity text of the request's identity, as sent to the target.
    /// @param from first position expected: 0, or where a broken stream is resumed.
    StreamChecker(std::string identity, std::uint64_t from);

    /// Appends bytes as they came from the socket.
    void feed(std::string_view bytes);

    /// @return the next complete event, or nullopt when more bytes are needed or fault() is set.
    std::optional<StreamEvent> next();

    StreamFault fault() const { return m_fault; }
    bool done() const { return m_done; }
    std::uint64_t nextPosition() const { return m_nextPosition; }
    std::size_t bufferedBytes() const { return m_buffer.size() - m_consumed; }

private:
    /// What the lines of the event being read have said so far; offsets count from m_consumed.
    struct PartialEvent {
        std::optional<std::uint64_t> position;
        std::size_t dataBegin = 0;
        std::size_t dataSize = 0;
        bool hasData = false;
        bool isDone = false;
        bool empty() const { return !position && !hasData && !isDone; }
    };

    std::string_view unread() const { return std::string_view(m_buffer).substr(m_consumed); }
    std::optional<StreamEvent> fail(StreamFault);
    StreamFault readLine(std::size_t begin, std::size_t end);
    StreamFault readId(std::string_view value);
    StreamFault readName(std::string_view value);
    void readData(std::size_t begin, std::size_t end);
    std::optional<StreamEvent> finishEvent();
    std::optional<StreamEvent> finishAnswer(const PartialEvent&, std::string_view data);

    std::string m_identity;
    std::uint64_t m_nextPosition;
    std::string m_buffer;
    std::size_t m_consumed = 0; ///< Start of the event being read.
    std::size_t m_lineBegin = 0; ///< Start of the line being read, counted from m_consumed.
    std::size_t m_searched = 0; ///< Up to where no line end was found, counted from m_consumed.
    PartialEvent m_partial;
    StreamFault m_fault = StreamFault::None;
    bool m_done = false;
};

/// Names a request that a caller may send again: its customer, the session it got with "which address" and its own
/// number in it.
struct ResendKey {
    CustomerId customer;
    std::string session;
    std::uint64_t sequence = 0;

    auto operator<=>(const ResendKey&) const = default;
};

/// The parts of a session text.
struct SessionName {
    RouterLife holder; ///< The router life that issued it, and that alone may run its requests.
    std::uint64_t serial = 0; ///< Rises with every session that the holder issues.

    auto operator<=>(const SessionName&) const = default;
};

/// @return the parts, or BadRequest unless @p session is exactly a text of makeSession().
absl::StatusOr<SessionName> parseSession(std::string_view session);

/// @return the router life that alone may run requests of a session, or BadRequest.
absl::StatusOr<RouterLife> sessionHolder(std::string_view session);

/// @return a new session text, "VM.INCARNATION.SERIAL".
std::string makeSession(const RouterLife&, std::uint64_t serial);

/// An ended request's answer, as it is given again to a resend.
struct KeptAnswer {
    Outcome outcome = Outcome::Unknown;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
    std::string requestId;
};

struct OutcomeMemorySettings {
    std::size_t mostBytes = 32 << 20; ///< Answers, entries and session records, with what the containers take.
    std::size_t mostEntries = 200000;
    Duration keep = std::chrono::minutes(10); ///< How long an answer is kept after the end.
    /// A session record outlives its last use by this. So a session's first request is certain to be taken as new when
    /// it comes within this time of the session's issue, unless the customer itself pressed on the memory.
    Duration sessionKeep = std::chrono::minutes(30);
};

/// What the memory says about a request that has just come in.
enum class ResendVerdict {
    New, ///< Not seen: it is now marked as begun and may run.
    Running, ///< The first send is still waiting or running: wait for its end.
    Ended, ///< Here is the answer.
    Forgotten, ///< It may have been seen, but that was too long ago to tell: must not run.
    Different, ///< The same number with another body or service: refused.
    Closed, ///< Its holder stopped without ever beginning it: certainly not run; the caller sends it in a new session.
    Full, ///< The memory is full of requests that have not ended: not begun, certainly not run; try again later.
};

struct ResendLookup {
    ResendVerdict verdict = ResendVerdict::New;
    const KeptAnswer* answer = nullptr; ///< For Ended.
    std::optional<RequestId> running; ///< For Running.
};

/// A former router life whose sessions this memory answers for after a planned stop.
struct InheritedLife {
    RouterLife life;
    bool complete = false; ///< All parts of a closed memory came in: what they don't name was never begun.

    auto operator<=>(const InheritedLife&) const = default;
};

/// Remembers, for requests that must not run twice, that they began and how they ended. Of each session it keeps the
/// highest number that it forgot, and of each customer the highest session that it forgot, so that forgetting never
/// makes a request runnable again. Only sessions of its own router life ever get the verdict New.
/// When it is full, the customer that holds most loses its oldest answer, so that a flood costs others nothing.
class OutcomeMemory {
public:
    /// @param self the router life whose sessions this memory decides.
    static std::unique_ptr<OutcomeMemory> make(const OutcomeMemorySettings&, const RouterLife& self);
    virtual ~OutcomeMemory() = default;

    /// Looks a request up and, when it is new, marks it as begun.
    /// @return the verdict; its pointer is valid until the next call that isn't const.
    virtual ResendLookup begin(TimePoint now, const ResendKey&, std::uint64_t bodyHash, const RequestId&) = 0;

    /// It ended without running: a resend may run it. Ignored unless @p id is the request that is marked as running, so
    /// that a late or doubled report about an earlier send can't free the number under a send that runs.
    virtual void endedNotRun(TimePoint now, const ResendKey&, const RequestId& id) = 0;

    /// It ended, or may have run: the answer is kept. Ignored unless it is marked as running.
    virtual void ended(TimePoint now, const ResendKey&, KeptAnswer) = 0;

    /// Drops what is older than the settings say; to be called about once a second.
    virtual void expire(TimePoint now) = 0;

    /// From now on nothing begins: an unseen request is answered Closed. Comes before exportParts() at a planned stop,
    /// since a successor can only say "not run" of what it doesn't know when nothing began after the export.
    virtual void close() = 0;

    /// @return all entries and forgotten marks, in parts of at most @p mostBytes each, for a successor. An answer that
    ///         fits no part moves without its body, and its resend gets Forgotten there.
    /// @param mostBytes at least 4096, and 64 more for each inherited life.
    virtual std::vector<std::string> exportParts(std::size_t mostBytes) const = 0;

    /// Takes over a part, all or nothing; the same part may come again. Entries that are begun but not ended
    /// there answer Forgotten ("unknown") here.
    /// @return OK; BadRequest for a part of another form; Conflict for one about this memory's own life.
    virtual absl::Status importPart(TimePoint now, std::string_view part) = 0;

    /// @return the former lives that it answers for, in order; none is kept longer than the sessions' keep time.
    virtual std::vector<InheritedLife> inherited() const = 0;

    /// @return whether sessions of @p life are decided here: its own life or an inherited one.
    virtual bool answersFor(const RouterLife& life) const = 0;
    virtual std::size_t entries() const = 0;
    virtual std::size_t bytes() const = 0;
};

struct RetrySettings {
    double budgetFraction = 0.1; ///< Retries per first attempt.
    double burst = 10; ///< Retries that one customer may save up.
    double burstOverAll = 40; ///< Retries that all customers together may save up.
    Duration backoffLeast = std::chrono::milliseconds(20);
    Duration backoffMost = std::chrono::seconds(2);
    unsigned attemptsMost = 3;
};

/// Token buckets that keep retries a small part of all attempts, per customer and over all.
class RetryBudget {
public:
    static std::unique_ptr<RetryBudget> make(const RetrySettings&);
    virtual ~RetryBudget() = default;

    /// Counts a request's first attempt, which earns budgetFraction of a retry.
    virtual void firstAttempt(const CustomerId&) = 0;

    /// @return the jittered delay before the next attempt, or nullopt when no retry is allowed.
    /// @param attempts attempts made so far.
    virtual std::optional<Duration> takeRetry(const CustomerId&, unsigned attempts, Random&) = 0;
};

/// Bounds of one customer in one router.
struct AdmissionLimits {
    std::uint32_t maxOpen = 256;
    std::uint32_t maxQueued = 1000;
    std::uint64_t maxQueuedBytes = 64 << 20;
};

/// Counts of one customer's requests in this router, changed from several threads without a lock. No count ever exceeds
/// its bound or falls below zero.
class AdmissionCounters {
public:
    /// @return OK and counts the request in, or TooManyRequests, QueueFull or TooLarge with the remedy.
    absl::Status enter(const AdmissionLimits&, std::uint64_t bytes);

    /// The request stopped waiting (it was sent to a target).
    void leaveQueue(std::uint64_t bytes);

    /// The request's connection is done. @param waiting whether it still counted as waiting.
    void leave(std::uint64_t bytes, bool waiting);

    std::uint32_t open() const { return m_open.load(std::memory_order_relaxed); }
    std::uint32_t queued() const { return m_queued.load(std::memory_order_relaxed); }
    std::uint64_t queuedBytes() const { return m_queuedBytes.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint32_t> m_open { 0 };
    std::atomic<std::uint32_t> m_queued { 0 };
    std::atomic<std::uint64_t> m_queuedBytes { 0 };
};

} // namespace sagechute::delivery
