#pragma once

#include <sagechute/Net.h>
#include <sagechute/Standin.h>

#include <memory>
#include <optional>
#include <string>

namespace sagechute::standin {

/// Names one answer: a run may be answered again after its first connection broke.
struct DeliveryId {
    RunNumber run = 0;
    std::uint64_t serial = 0;
};

/// How an answer is given, and how a fault makes it depart from that.
struct AnswerPlan {
    std::string requestId; ///< As shown to the caller; another request's after the fault "crossed".
    std::shared_ptr<const std::string> otherPrompt; ///< The prompt that the text is made of, if not the run's own.
    bool streamed = false;
    std::uint64_t from = 0; ///< Position of the first token to send.
    Duration late {};
    bool mute = false;
    bool dropAtEnd = false;
    std::optional<std::uint64_t> breakAt; ///< Position before which the stream is cut.
};

/// Writes the answer of one run to one caller. Used by the timer's thread only.
class Delivery {
public:
    enum class Progress { Going, Over };

    Delivery(DeliveryId, std::shared_ptr<net::ServerExchange>, AnswerPlan, TimePoint now);

    DeliveryId id() const { return m_id; }

    /// Sends what the run has produced and the caller has room for.
    Progress advance(const EngineRun&, TimePoint now);

    /// The caller has taken what was queued.
    void drained() { m_blocked = false; }

    /// @return when advance() must be called even if the run hasn't changed.
    std::optional<TimePoint> dueAt() const { return m_dueAt; }

    /// Closes the connection.
    void abort() { m_exchange->abort(); }

private:
    Progress advanceWhole(const EngineRun&, TimePoint now);
    Progress advanceStream(const EngineRun&, TimePoint now);
    void start();
    void writeTokens(std::string_view prompt, std::uint64_t end);
    void writeDone(const RunUsage&);
    bool held(TimePoint since, TimePoint now);

    DeliveryId m_id;
    std::shared_ptr<net::ServerExchange> m_exchange;
    AnswerPlan m_plan;
    TimePoint m_began;
    std::optional<TimePoint> m_ended;
    std::optional<TimePoint> m_dueAt;
    std::uint64_t m_next;
    bool m_started = false;
    bool m_blocked = false;
};

} // namespace sagechute::standin
