#pragma once

#include <sagechute/Config.h>

#include <variant>

namespace sagechute::config {

/// Longest record that is looked at.
inline constexpr std::size_t longestRecord = 64 << 10;

/// Longest texts of an audit line, in bytes.
inline constexpr std::size_t longestPersonText = 64;
inline constexpr std::size_t longestResourceText = 96;
inline constexpr std::size_t longestDifference = 400;
inline constexpr std::size_t longestReason = 240;

/// What a record of the configuration stream says.
using RecordContent = std::variant<Change, AuditEntry>;

/// @return the content, or BadRequest. Never accepts anything beside what encodeChange() and encodeAudit() write.
absl::StatusOr<RecordContent> decodeRecord(std::string_view data);

/// @return a hash of what a change asks for, whoever asks and however often; a fresh salt of the same key makes no
/// difference.
std::uint64_t fingerprintOf(const Change&);

/// @return an audit line as a document, and back. The offset is left to the caller.
nlohmann::json auditDocument(const AuditEntry&);
absl::StatusOr<AuditEntry> parseAuditDocument(nlohmann::json document);

/// @return @p document as text; text that is not UTF-8 is replaced, never thrown upon.
std::string dumpSafely(const nlohmann::json& document);

} // namespace sagechute::config
