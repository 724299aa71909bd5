#include "routing/Outbox.h"

namespace sagechute::routing {

namespace {

    /// The end of a request frees a slot that the window's slack already covers, so the settlement can be sent together
    /// with the next offer or grant. A free-slot notice is a summary without customers; the receiver needs it at once.
    bool isLazy(const wire::Message& message)
    {
        if (const auto* summary = std::get_if<wire::SummaryMessage>(&message))
            return !summary->summary.customers.empty();
        return std::holds_alternative<wire::SettleMessage>(message)
            || std::holds_alternative<wire::ProgressMessage>(message)
            || std::holds_alternative<wire::WithdrawMessage>(message);
    }

} // namespace

bool Outbox::message(
    const membership::MembershipView& view, const VmId& to, Purpose purpose, const wire::Message& message)
{
    const membership::Member* member = view.find(to);
    if (!member && !m_streams.contains(to))
        return false;
    const std::string address = member ? member->summary.peerAddress : std::string {};
    add(SendMessage { to, address, purpose, wire::kindName(message), isLazy(message), wire::encode(message) });
    return true;
}

std::string_view toString(Purpose purpose)
{
    switch (purpose) {
    case Purpose::Scheduling:
        return "scheduling";
    case Purpose::Ledger:
        return "ledger";
    case Purpose::Configuration:
        return "configuration";
    case Purpose::Handover:
        return "handover";
    }
    return "unknown";
}

} // namespace sagechute::routing
