#include "Executor.h"

namespace sagechute::router {

Executor::Executor(ExecutorDependencies dependencies, VmId self)
    : m_dependencies(std::move(dependencies))
    , m_self(std::move(self))
{
}

void Executor::addRequest(std::shared_ptr<CallerRequest> caller)
{
    const RequestId id = caller->id();
    m_entries[id].caller = std::move(caller);
}

void Executor::execute(routing::Actions actions)
{
    for (routing::Action& action : actions)
        std::visit([this](auto& it) { run(it); }, action);
}

Executor::Entry* Executor::findEntry(const RequestId& id)
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::vector<routing::AttemptProgressed> Executor::collectProgress()
{
    std::vector<routing::AttemptProgressed> result;
    for (auto& [id, entry] : m_entries) {
        const std::uint64_t positions = entry.caller->positions.load(std::memory_order_relaxed);
        if (positions == entry.reportedPositions)
            continue;
        entry.reportedPositions = positions;
        result.push_back({ id, static_cast<Cost>(positions) });
    }
    return result;
}

void Executor::run(routing::SendMessage& action)
{
    m_dependencies.statusExporter.countMessage(action.kind, action.bytes.size());
    m_dependencies.sendMessage(action);
}

void Executor::run(routing::SendDatagram& action) { m_dependencies.sendDatagram(action); }
void Executor::run(routing::ForgetPeer& action) { m_dependencies.forgetPeer(action.vm); }
void Executor::run(routing::Publish& action) { m_dependencies.snapshot.publish(std::move(action.snapshot)); }
void Executor::run(routing::StopListening&) { m_dependencies.stopListening(); }
void Executor::run(routing::Exit&) { m_dependencies.exit(); }

void Executor::run(routing::StartAttempt& action)
{
    Entry* entry = findEntry(action.id);
    if (!entry)
        return;
    entry->caller->leaveQueue();
    entry->transfer = m_dependencies.attemptSender.start(entry->caller, action);
}

void Executor::run(routing::StartForward& action)
{
    Entry* entry = findEntry(action.id);
    if (!entry)
        return;
    entry->caller->leaveQueue();
    entry->transfer = m_dependencies.attemptSender.start(entry->caller, action, m_self);
}

// The attempt's AttemptEnded event may still arrive after the cancellation. The core discards it by its attempt number.
void Executor::run(routing::CancelAttempt& action)
{
    Entry* entry = findEntry(action.id);
    if (!entry)
        return;
    m_dependencies.attemptSender.cancel(entry->transfer);
    if (action.notifyTarget)
        m_dependencies.attemptSender.cancelAtTarget(action.address, entry->caller->idText());
}

void Executor::run(routing::Answer& action)
{
    if (Entry* entry = findEntry(action.id))
        entry->caller->answer(action.answer);
    m_dependencies.statusExporter.countOutcome(action.answer.outcome);
    m_entries.erase(action.id);
}

void Executor::run(routing::Refuse& action)
{
    if (Entry* entry = findEntry(action.id))
        entry->caller->refuse(action.outcome, action.error, action.retryAfter);
    m_dependencies.statusExporter.countOutcome(action.outcome);
    m_entries.erase(action.id);
}

void Executor::run(routing::EndStream& action)
{
    if (Entry* entry = findEntry(action.id))
        entry->caller->endStream(action.outcome, action.error, action.usage);
    m_dependencies.statusExporter.countOutcome(action.outcome);
    m_entries.erase(action.id);
}

} // namespace sagechute::router
