#include <sagechute/Process.h>

#include <array>
#include <charconv>
#include <limits>

namespace sagechute::process {
namespace {

    struct Unit {
        std::string_view name;
        std::int64_t microseconds;
    };

    // From the largest to the smallest, the order in which formatDuration() tries them.
    constexpr std::array<Unit, 4> units { { { "m", 60'000'000 }, { "s", 1'000'000 }, { "ms", 1'000 }, { "us", 1 } } };

    absl::Status badDuration(std::string_view text)
    {
        return makeError(ErrorKind::BadRequest, "\"" + std::string(text) + "\" is not a duration",
            "write a whole number with a unit: 250us, 200ms, 3s or 5m");
    }

} // namespace

absl::StatusOr<Duration> parseDuration(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc {} || number < 0)
        return badDuration(text);
    const std::string_view name = text.substr(static_cast<std::size_t>(end - text.data()));
    if (name.empty() && number == 0)
        return Duration::zero();
    for (const Unit& unit : units) {
        if (unit.name != name)
            continue;
        if (number > std::numeric_limits<std::int64_t>::max() / unit.microseconds)
            return badDuration(text);
        return Duration(number * unit.microseconds);
    }
    return badDuration(text);
}

std::string formatDuration(Duration duration)
{
    if (duration == Duration::zero())
        return "0s";
    for (const Unit& unit : units) {
        if (duration.count() % unit.microseconds == 0)
            return std::to_string(duration.count() / unit.microseconds) + std::string(unit.name);
    }
    return {};
}

} // namespace sagechute::process
