#include "routing/Outbox.h"

namespace sagechute::routing {

void Outbox::message(
    const membership::MembershipView& view, const VmId& to, Purpose purpose, const wire::Message& message)
{
    const membership::Member* member = view.find(to);
    if (!member)
        return;
    add(SendMessage { to, member->summary.peerAddress, purpose, wire::encode(message) });
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
