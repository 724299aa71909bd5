#pragma once

#include <sagechute/Delivery.h>

namespace sagechute::delivery {

/// One thing that a successor takes over: with a number an entry, with a serial alone a session's mark, else a
/// customer's.
struct OutcomeItem {
    std::size_t life = 0; ///< Index into OutcomePart::lives.
    CustomerId customer;
    std::optional<std::uint64_t> serial;
    std::optional<std::uint64_t> number;
    std::optional<std::uint64_t> forgotten; ///< Marks: what is unlisted up to this may have run.
    std::uint64_t bodyHash = 0; ///< Entries.
    std::optional<KeptAnswer> answer; ///< Entries; without it the entry answers Forgotten.
};

/// A life that an export tells about.
struct ExportedLife {
    RouterLife life;
    bool closed = false; ///< Nothing began in it after the export was made.
};

/// One part of an export. Every part names all lives, so that parts may come in any order.
struct OutcomePart {
    std::uint64_t exportHash = 0; ///< The same in all parts of one export, and in no other export.
    std::size_t index = 0;
    std::size_t count = 1;
    std::vector<ExportedLife> lives;
    std::vector<OutcomeItem> items;
};

/// The most parts and lives that an export may have; a peer that claims more is refused.
inline constexpr std::size_t kMostParts = 65536;
inline constexpr std::size_t kMostLives = 1024;

/// @return the encoded parts of at most @p mostBytes each. An item's encoding has to fit.
std::vector<std::string> encodeParts(
    const std::vector<ExportedLife>&, const std::vector<OutcomeItem>&, std::size_t mostBytes);

/// @return the part, or BadRequest naming the field.
absl::StatusOr<OutcomePart> decodePart(std::string_view bytes);

} // namespace sagechute::delivery
