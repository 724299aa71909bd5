#pragma once

/// Tables of the fields that a resource's spec may have: one table serves parsing, canonical form and `explain`.

#include <sagechute/Config.h>

#include <variant>

namespace sagechute::config {

/// What a text field may hold.
enum class TextRule { Name, Address, Label };

/// Smallest and largest value of a number, in the field's own unit.
struct Range {
    double least = 0;
    double most = 0;
};

/// One field of S, tied to the member that holds it.
template <typename S> struct Field {
    using Member = std::variant<bool S::*, double S::*, std::uint32_t S::*, std::uint64_t S::*,
        std::chrono::milliseconds S::*, std::string S::*, PoolId S::*, ZoneId S::*, TargetMode S::*, TargetState S::*>;

    std::string_view name;
    Member member;
    std::string_view meaning;
    Range range {};
    std::string_view unit {};
    TextRule rule = TextRule::Name;
    bool required = false;
};

/// @return the fields of S, in the order in which people expect them.
template <typename S> const std::vector<Field<S>>& fieldsOf();

template <> const std::vector<Field<Customer>>& fieldsOf<Customer>();
template <> const std::vector<Field<Service>>& fieldsOf<Service>();
template <> const std::vector<Field<Target>>& fieldsOf<Target>();
template <> const std::vector<Field<Fleet>>& fieldsOf<Fleet>();
template <> const std::vector<Field<Vm>>& fieldsOf<Vm>();

/// @return the error of a field: "customer/tellers: spec.weight must be ...".
absl::Status fieldError(
    std::string_view resource, std::string_view field, std::string_view problem, std::string_view remedy);

/// Reads @p spec strictly.
/// @param resource "kind/name", for messages.
template <typename S> absl::StatusOr<S> readFields(std::string_view resource, const nlohmann::json& spec);

/// @return the canonical form: every field, defaults included.
template <typename S> nlohmann::json writeFields(const S& value);

/// @return one line of help for each field.
template <typename S> std::vector<FieldHelp> helpFields();

} // namespace sagechute::config
