#pragma once

#include "operators/ChangeFeed.h"
#include "operators/FleetPicture.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace sagechute::operators {

/// Every kind of resource, in the order in which they can be declared without referring to one that is not there yet.
const std::vector<config::Kind>& allKinds();

/// @return compact JSON text; bytes that are not UTF-8 are replaced, never an exception.
std::string toText(const nlohmann::json&);

/// @return the spec without what is kept of a customer's key.
nlohmann::json publicSpec(config::Kind, nlohmann::json spec);

/// @return a customer's canonical spec with the present key filled in when it brings none, as the log's readers will
/// see it.
nlohmann::json keepKey(nlohmann::json spec, const nlohmann::json& current);

/// @return the salt of a customer's key, empty when there is none.
std::string saltOf(const nlohmann::json& spec);

nlohmann::json resourceDocument(const config::Resource&);
nlohmann::json watchDocument(const FeedEvent&, const std::optional<config::Resource>&);
nlohmann::json auditDocument(const config::AuditEntry&);
nlohmann::json progressDocument(const Progress&);
nlohmann::json appliedDocument(const config::Applied&);

/// One field that differs between two specs.
struct FieldDifference {
    std::string path; ///< "/weight".
    nlohmann::json before; ///< null when it was not there.
    nlohmann::json after;
};

/// @return what differs, in order of path. The fields of a key are named, never shown.
std::vector<FieldDifference> compareSpecs(const nlohmann::json& before, const nlohmann::json& after);
nlohmann::json differencesDocument(const std::vector<FieldDifference>&);

} // namespace sagechute::operators
