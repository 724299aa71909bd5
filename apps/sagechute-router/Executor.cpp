#include "Executor.h"

namespace sagechute::router {

Executor::Executor(Outlets outlets, VmId self)
    : m_outlets(std::move(outlets))
    , m_self(std::move(self))
{
}

void Executor::adopt(std::shared_ptr<CallerRequest> caller)
{
    const RequestId id = caller->id();
    m_entries[id].caller = std::move(caller);
}

void Executor::execute(routing::Actions actions)
{
    for (routing::Action& action : actions)
        std::visit([this](auto& it) { run(it); }, action);
}

Executor::Entry* Executor::find(const RequestId& id)
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::vector<routing::AttemptProgressed> Executor::takeProgress()
{
    std::vector<routing::AttemptProgressed> result;
    for (auto& [id, entry] : m_entries) {
        const std::uint64_t positions = entry.caller->positions.load(std::memory_order_relaxed);
        if (positions == entry.positionsTold)
            continue;
        entry.positionsTold = positions;
        result.push_back({ id, static_cast<Cost>(positions) });
    }
    return result;
}

void Executor::run(routing::SendMessage& action)
{
    m_outlets.board.countMessage(action.kind, action.bytes.size());
    m_outlets.sendMessage(action);
}

void Executor::run(routing::SendDatagram& action) { m_outlets.sendDatagram(action); }
void Executor::run(routing::ForgetPeer& action) { m_outlets.forgetPeer(action.vm); }
void Executor::run(routing::Publish& action) { m_outlets.snapshot.publish(std::move(action.snapshot)); }
void Executor::run(routing::StopListening&) { m_outlets.stopListening(); }
void Executor::run(routing::Exit&) { m_outlets.exit(); }

void Executor::run(routing::StartAttempt& action)
{
    Entry* entry = find(action.id);
    if (!entry)
        return;
    entry->caller->leaveQueue();
    entry->transfer = m_outlets.attempts.start(entry->caller, action);
}

void Executor::run(routing::StartForward& action)
{
    Entry* entry = find(action.id);
    if (!entry)
        return;
    entry->caller->leaveQueue();
    entry->transfer = m_outlets.attempts.start(entry->caller, action, m_self);
}

// The caller is gone or the attempt is given up; its late report is dropped by the core, which knows the attempt's
// number.
void Executor::run(routing::CancelAttempt& action)
{
    Entry* entry = find(action.id);
    if (!entry)
        return;
    m_outlets.attempts.cancel(entry->transfer);
    if (action.notifyTarget)
        m_outlets.attempts.cancelAtTarget(action.address, entry->caller->idText());
}

void Executor::run(routing::Answer& action)
{
    if (Entry* entry = find(action.id))
        entry->caller->answer(action.answer);
    m_outlets.board.countOutcome(action.answer.outcome);
    m_entries.erase(action.id);
}

void Executor::run(routing::Refuse& action)
{
    if (Entry* entry = find(action.id))
        entry->caller->refuse(action.outcome, action.error, action.retryAfter);
    m_outlets.board.countOutcome(action.outcome);
    m_entries.erase(action.id);
}

void Executor::run(routing::EndStream& action)
{
    if (Entry* entry = find(action.id))
        entry->caller->endStream(action.outcome, action.error, action.usage);
    m_outlets.board.countOutcome(action.outcome);
    m_entries.erase(action.id);
}

} // namespace sagechute::router
