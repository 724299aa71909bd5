#include "steward/OrderedTarget.h"

#include <array>

namespace sagechute::steward {
namespace {

    constexpr std::array<std::string_view, 3> kindTexts { "load", "version", "role" };
    constexpr std::array<std::string_view, 5> phaseTexts { "idle", "asking", "granted", "ordering", "confirming" };

} // namespace

std::string_view toString(OrderKind kind) { return kindTexts[static_cast<std::size_t>(kind)]; }

std::string_view toString(OrderPhase phase) { return phaseTexts[static_cast<std::size_t>(phase)]; }

std::optional<OrderKind> OrderedTarget::need() const
{
    if (!observed)
        return std::nullopt;
    if (!wanted.model.empty() && observed->model != wanted.model)
        return OrderKind::Load;
    if (!wanted.version.empty() && observed->version != wanted.version)
        return OrderKind::Version;
    if (!wanted.role.empty() && observed->role != wanted.role)
        return OrderKind::Role;
    return std::nullopt;
}

bool OrderedTarget::serves(TimePoint now, Duration keep) const
{
    const bool isOrderUnderWay = phase != OrderPhase::Idle;
    if (leaving || isOrderUnderWay || !isKnown(now, keep) || observed->loading)
        return false;
    return wanted.model.empty() || !observed->model.empty();
}

void OrderedTarget::forgetOrder()
{
    phase = OrderPhase::Idle;
    observed.reset();
    readAt = {};
}

void declare(OrderedTarget& target, const config::Target& declared)
{
    target.name = declared.name;
    target.pool = declared.pool;
    target.checksFencing = declared.checksFencing;
    target.leaving = declared.state == config::TargetState::Leaving;
    const WantedState wanted { declared.model, declared.version, declared.role };
    if (target.address != declared.address || target.wanted != wanted)
        target.forgetOrder();
    target.address = declared.address;
    target.wanted = wanted;
}

} // namespace sagechute::steward
