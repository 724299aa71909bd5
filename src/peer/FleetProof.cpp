#include "peer/FleetProof.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <random>

namespace sagechute::peer {
namespace {

    constexpr std::size_t kLongestVmId = 128;

    std::string hexText(std::uint64_t number)
    {
        char buf[17];
        std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(number));
        return buf;
    }

    bool isVisible(char c) { return std::isgraph(static_cast<unsigned char>(c)) != 0; }

} // namespace

std::string makeNonce()
{
    std::random_device device;
    const std::uint64_t high = device();
    return hexText(high << 32 | device());
}

std::string fleetProof(std::string_view secret, std::string_view side, const Handshake& handshake)
{
    std::string text(side);
    for (const std::string& part : { lifeText(handshake.opener), lifeText(handshake.acceptor), handshake.openerNonce,
             handshake.acceptorNonce, std::string(secret) }) {
        // Lengths keep parts apart: without them, bytes moved from one part to the next would give the same proof.
        text += "|" + std::to_string(part.size()) + "|" + part;
    }
    const std::uint64_t inner = stableHash(text, stableHash(secret, 1));
    return hexText(inner) + hexText(stableHash(text, stableHash(secret, inner)));
}

std::string lifeText(const RouterLife& life) { return life.vm.value + "." + std::to_string(life.incarnation); }

absl::StatusOr<RouterLife> parseLife(std::string_view text)
{
    const auto malformed = [] {
        return makeError(ErrorKind::BadRequest, "malformed router life", "send VM.INCARNATION in visible characters");
    };
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || dot > kLongestVmId)
        return malformed();
    const std::string_view vm = text.substr(0, dot);
    if (!std::all_of(vm.begin(), vm.end(), isVisible))
        return malformed();
    RouterLife life { VmId { std::string(vm) }, 0 };
    const std::string_view number = text.substr(dot + 1);
    const auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), life.incarnation);
    if (ec != std::errc {} || end != number.data() + number.size())
        return malformed();
    return life;
}

} // namespace sagechute::peer
