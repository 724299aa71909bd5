#pragma once

/// @file
/// How two processes show each other that they know the fleet's secret.

#include <sagechute/Core.h>

#include <string>
#include <string_view>

namespace sagechute::peer {

/// What one handshake is about: both lives and the fresh number that each side drew.
struct Handshake {
    RouterLife opener;
    RouterLife acceptor;
    std::string openerNonce;
    std::string acceptorNonce;
};

/// @return a fresh number that no one can guess, as hexadecimal text.
std::string makeNonce();

/// @return what only someone with the secret should be able to compute for this handshake.
///
/// It keeps out a process of another fleet, a stray client, and an address that was given to another VM, and as both
/// sides draw a nonce, an answer recorded earlier is of no use. It does not protect against an attacker on the network:
/// the hash is not a cryptographic one, and the connection after the handshake is neither encrypted nor authenticated.
/// The VMs' network has to be private. An empty secret on both sides is allowed and proves nothing but the protocol.
/// @param side "opener" or "acceptor", so that one side's proof can't be reflected as the other's.
std::string fleetProof(std::string_view secret, std::string_view side, const Handshake&);

/// @return "VM.INCARNATION", the header text of a life.
std::string lifeText(const RouterLife&);

/// @return the life, or BadRequest.
absl::StatusOr<RouterLife> parseLife(std::string_view text);

} // namespace sagechute::peer
