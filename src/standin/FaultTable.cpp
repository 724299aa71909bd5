#include <sagechute/Standin.h>

#include <algorithm>
#include <array>

namespace sagechute::standin {
namespace {

    struct FaultName {
        std::string_view name;
        FaultKind kind;
    };

    constexpr std::array<FaultName, 8> faultNames { {
        { "none", FaultKind::None },
        { "hang", FaultKind::Hang },
        { "late", FaultKind::Late },
        { "crossed", FaultKind::Crossed },
        { "drop-reply", FaultKind::DropReply },
        { "slow", FaultKind::Slow },
        { "refuse", FaultKind::Refuse },
        { "break-stream", FaultKind::BreakStream },
    } };

} // namespace

absl::StatusOr<FaultKind> FaultTable::kindOf(std::string_view name)
{
    std::string names;
    for (const FaultName& it : faultNames) {
        if (it.name == name)
            return it.kind;
        names += (names.empty() ? "" : ", ") + std::string(it.name);
    }
    return makeError(ErrorKind::BadRequest, "\"" + std::string(name) + "\" is not a fault", "choose one of " + names);
}

void FaultTable::set(const Fault& fault)
{
    if (fault.kind == FaultKind::None) {
        m_faults.clear();
        return;
    }
    std::erase_if(m_faults, [&](const Fault& it) { return it.kind == fault.kind; });
    if (fault.count > 0)
        m_faults.push_back(fault);
}

Fault FaultTable::take(bool streamed)
{
    const auto it = std::find_if(m_faults.begin(), m_faults.end(),
        [&](const Fault& fault) { return streamed || fault.kind != FaultKind::BreakStream; });
    if (it == m_faults.end())
        return {};
    Fault taken = *it;
    if (--it->count == 0)
        m_faults.erase(it);
    return taken;
}

} // namespace sagechute::standin
