#include <sagechute/Delivery.h>

#include <charconv>

namespace sagechute::delivery {
namespace {

    absl::Status badSession(std::string_view text)
    {
        constexpr std::size_t kMostShown = 80;
        return makeError(ErrorKind::BadRequest, "\"" + std::string(text.substr(0, kMostShown)) + "\" is not a session",
            "send the session text of /v1/locate unchanged");
    }

    // Only the form that makeSession() writes: were "a.1.07" taken for "a.1.7", one session would have two names.
    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        const bool leadingZero = text.size() > 1 && text.front() == '0';
        std::uint64_t number = 0;
        const char* const last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, number);
        if (ec != std::errc {} || end != last || leadingZero)
            return std::nullopt;
        return number;
    }

} // namespace

std::string makeSession(const RouterLife& life, std::uint64_t serial)
{
    return life.vm.value + "." + std::to_string(life.incarnation) + "." + std::to_string(serial);
}

absl::StatusOr<SessionName> parseSession(std::string_view session)
{
    // From the right, since a VM's name may hold dots itself.
    const std::size_t second = session.rfind('.');
    if (second == std::string_view::npos || second == 0)
        return badSession(session);
    const std::size_t first = session.rfind('.', second - 1);
    if (first == std::string_view::npos || first == 0)
        return badSession(session);
    const auto incarnation = parseNumber(session.substr(first + 1, second - first - 1));
    const auto serial = parseNumber(session.substr(second + 1));
    if (!incarnation || !serial)
        return badSession(session);
    return SessionName { { VmId { std::string(session.substr(0, first)) }, *incarnation }, *serial };
}

absl::StatusOr<RouterLife> sessionHolder(std::string_view session)
{
    auto name = parseSession(session);
    if (!name.ok())
        return name.status();
    return std::move(name->holder);
}

} // namespace sagechute::delivery
