#include "steward/OrderedTarget.h"

#include <array>

namespace sagechute::steward {
namespace {

    constexpr std::array<std::string_view, 3> kindTexts { "load", "version", "role" };
    constexpr std::array<std::string_view, 5> phaseTexts { "idle", "asking", "granted", "ordering", "confirming" };

} // namespace

std::string_view toString(OrderKind kind) { return kindTexts[static_cast<std::size_t>(kind)]; }

std::string_view toString(OrderPhase phase) { return phaseTexts[static_cast<std::size_t>(phase)]; }

std::optional<OrderKind> OrderedTarget::requiredOrder() const
{
    if (!observed)
        return std::nullopt;
    if (!desired.model.empty() && observed->model != desired.model)
        return OrderKind::Load;
    if (!desired.version.empty() && observed->version != desired.version)
        return OrderKind::Version;
    if (!desired.role.empty() && observed->role != desired.role)
        return OrderKind::Role;
    return std::nullopt;
}

bool OrderedTarget::serves(TimePoint now, Duration maxAge) const
{
    const bool isOrderUnderWay = phase != OrderPhase::Idle;
    if (leaving || isOrderUnderWay || !isStateFresh(now, maxAge) || observed->loading)
        return false;
    return desired.model.empty() || !observed->model.empty();
}

void OrderedTarget::resetOrder()
{
    phase = OrderPhase::Idle;
    observed.reset();
    nextReadAt = {};
}

void applyDeclaration(OrderedTarget& target, const config::Target& declared)
{
    target.name = declared.name;
    target.pool = declared.pool;
    target.checksFencing = declared.checksFencing;
    target.leaving = declared.state == config::TargetState::Leaving;
    const DesiredState desired { declared.model, declared.version, declared.role };
    if (target.address != declared.address || target.desired != desired)
        target.resetOrder();
    target.address = declared.address;
    target.desired = desired;
}

} // namespace sagechute::steward
