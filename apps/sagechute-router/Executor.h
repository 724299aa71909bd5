#pragma once

/// @file
/// Executes the actions that the router core returns.

#include "AttemptSender.h"
#include "RcuSnapshot.h"
#include "StatusExporter.h"

#include <sagechute/Peer.h>

#include <functional>
#include <unordered_map>

namespace sagechute::router {

/// Objects and callbacks through which the executor performs actions. All must outlive the executor.
struct ExecutorDependencies {
    AttemptSender& attemptSender;
    RcuSnapshot& snapshot;
    StatusExporter& statusExporter;
    std::function<void(const routing::SendMessage&)> sendMessage;
    std::function<void(const VmId&)> forgetPeer;
    std::function<void(const routing::SendDatagram&)> sendDatagram;
    std::function<void()> stopListening;
    std::function<void()> exit;
};

/// Executes core actions. Not thread-safe: used on the core thread only, so it needs no lock.
class Executor {
public:
    Executor(ExecutorDependencies, VmId self);

    /// Registers a new request, whose response is sent through @p caller.
    void addRequest(std::shared_ptr<CallerRequest> caller);
    void execute(routing::Actions);

    /// @return the stream position reached by each streamed response that has advanced since the last call.
    std::vector<routing::AttemptProgressed> collectProgress();

private:
    struct Entry {
        std::shared_ptr<CallerRequest> caller;
        net::TransferId transfer = 0;
        std::uint64_t reportedPositions = 0;
    };

    void run(routing::SendMessage&);
    void run(routing::SendDatagram&);
    void run(routing::ForgetPeer&);
    void run(routing::StartAttempt&);
    void run(routing::StartForward&);
    void run(routing::CancelAttempt&);
    void run(routing::Answer&);
    void run(routing::Refuse&);
    void run(routing::EndStream&);
    void run(routing::Publish&);
    void run(routing::StopListening&);
    void run(routing::Exit&);
    Entry* findEntry(const RequestId&);

    ExecutorDependencies m_dependencies;
    VmId m_self;
    std::unordered_map<RequestId, Entry> m_entries;
};

} // namespace sagechute::router
