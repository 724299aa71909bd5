#pragma once

/// @file
/// Carries out the decisions of the core.

#include "Attempt.h"
#include "RcuSnapshot.h"
#include "StatusBoard.h"

#include <sagechute/Peer.h>

#include <functional>
#include <unordered_map>

namespace sagechute::router {

/// What the executor acts on. Everything outlives it.
struct Outlets {
    Attempts& attempts;
    RcuSnapshot& snapshot;
    StatusBoard& board;
    std::function<void(const routing::SendMessage&)> sendMessage;
    std::function<void(const VmId&)> forgetPeer;
    std::function<void(const routing::SendDatagram&)> sendDatagram;
    std::function<void()> stopListening;
    std::function<void()> exit;
};

/// Used by the deciding thread only, so it needs no lock.
class Executor {
public:
    Executor(Outlets, VmId self);

    /// A request has come in: its answer goes to @p caller.
    void adopt(std::shared_ptr<CallerRequest> caller);
    void execute(routing::Actions);

    /// @return the service relayed so far of each streamed answer that has moved since the last call.
    std::vector<routing::AttemptProgressed> takeProgress();

private:
    struct Entry {
        std::shared_ptr<CallerRequest> caller;
        net::TransferId transfer = 0;
        std::uint64_t positionsTold = 0;
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
    Entry* find(const RequestId&);

    Outlets m_outlets;
    VmId m_self;
    std::unordered_map<RequestId, Entry> m_entries;
};

} // namespace sagechute::router
