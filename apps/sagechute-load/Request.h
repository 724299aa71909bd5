#pragma once

/// @file
/// Private parts of Callers: a flow, a request, and the sink that checks one answer.

#include "Callers.h"

namespace sagechute::load {

struct Callers::Flow {
    const FlowPlan& plan;
    const ServicePlan& service;
    const CustomerPlan& customer;
    std::size_t index = 0;
    std::string sharedPrefix;
    std::vector<std::unique_ptr<Client>> clients;
    std::size_t outstanding = 0;
};

struct Callers::Request {
    Serial serial = 0;
    Flow& flow;
    std::size_t client = 0;
    RequestRecord record;
    Expectation expectation;
    std::string costHint; ///< Empty: none.
    std::vector<std::string> addresses; ///< In order of preference.
    std::size_t address = 0; ///< Which one is tried now.
    unsigned addressesTried = 0; ///< Since the last send of which a byte left.
    std::string session;
    std::uint64_t sequence = 0;
    TimePoint begun;
    bool mayHaveRun = false; ///< An earlier send ended without an outcome.
};

/// Checks one answer on a client thread and posts how it ended.
class Callers::RequestSink final : public net::TransferSink {
public:
    RequestSink(Callers& callers, Serial serial, Expectation expectation)
        : m_callers(callers)
        , m_serial(serial)
        , m_checker(std::move(expectation))
    {
    }

private:
    void onHeaders(int status, const std::vector<net::Field>& fields) override { m_checker.headers(status, fields); }
    bool onBody(std::string_view) override;
    void onEnd(const net::TransferResult&) override;

    Callers& m_callers;
    Serial m_serial;
    AnswerChecker m_checker;
    SendResult m_result;
    TimePoint m_lastToken;
};

} // namespace sagechute::load
