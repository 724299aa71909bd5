#include "config/Fields.h"

#include "config/Text.h"

#include "core/Concat.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sagechute::config {
namespace {

    using nlohmann::json;

    constexpr std::size_t longestLabel = 128;

    /// A value that an enum member takes, and its text.
    template <typename E> struct EnumText {
        E value;
        std::string_view text;
    };

    constexpr std::array modeTexts { EnumText<TargetMode> { TargetMode::Engine, "engine" },
        EnumText<TargetMode> { TargetMode::Application, "application" } };
    constexpr std::array stateTexts { EnumText<TargetState> { TargetState::Serving, "serving" },
        EnumText<TargetState> { TargetState::Leaving, "leaving" } };

    constexpr const auto& textsOf(TargetMode) { return modeTexts; }
    constexpr const auto& textsOf(TargetState) { return stateTexts; }

    template <typename E> std::string_view textOf(E value)
    {
        for (const auto& entry : textsOf(value)) {
            if (entry.value == value)
                return entry.text;
        }
        return "?";
    }

    template <typename E> std::string allTexts()
    {
        std::string texts;
        for (const auto& entry : textsOf(E {}))
            texts += concat(texts.empty() ? "" : "|", entry.text);
        return texts;
    }

    /// Where a value stands, for messages, and what it may be.
    struct Place {
        std::string_view resource;
        std::string_view field;
        Range range;
        TextRule rule;
    };

    std::string shown(const json& value)
    {
        return clip(value.dump(-1, ' ', false, json::error_handler_t::replace), 60);
    }

    absl::Status wrongValue(const Place& place, const json& value, std::string_view wanted)
    {
        return fieldError(place.resource, place.field, concat("is ", shown(value), ", but must be ", wanted),
            concat("Give spec.", place.field, " as ", wanted));
    }

    std::string rangeText(const Place& place, std::string_view what)
    {
        return concat(what, " from ", shortNumber(place.range.least), " to ", shortNumber(place.range.most));
    }

    absl::Status readValue(const Place& place, const json& value, bool& out)
    {
        if (!value.is_boolean())
            return wrongValue(place, value, "true or false");
        out = value.get<bool>();
        return absl::OkStatus();
    }

    absl::Status readValue(const Place& place, const json& value, double& out)
    {
        // NaN compares false with everything: it is asked for by name, or it would pass any range test written the
        // other way round.
        if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < place.range.least
            || value.get<double>() > place.range.most)
            return wrongValue(place, value, rangeText(place, "a number"));
        out = value.get<double>();
        return absl::OkStatus();
    }

    absl::Status readWhole(const Place& place, const json& value, std::uint64_t& out)
    {
        const bool isNegative
            = value.is_number_integer() && !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
        if (!value.is_number_integer() || isNegative
            || static_cast<double>(value.get<std::uint64_t>()) < place.range.least
            || static_cast<double>(value.get<std::uint64_t>()) > place.range.most)
            return wrongValue(place, value, rangeText(place, "a whole number"));
        out = value.get<std::uint64_t>();
        return absl::OkStatus();
    }

    absl::Status readValue(const Place& place, const json& value, std::uint64_t& out)
    {
        return readWhole(place, value, out);
    }

    absl::Status readValue(const Place& place, const json& value, std::uint32_t& out)
    {
        std::uint64_t whole = 0;
        absl::Status status = readWhole(place, value, whole);
        out = static_cast<std::uint32_t>(whole);
        return status;
    }

    absl::Status readValue(const Place& place, const json& value, std::chrono::milliseconds& out)
    {
        std::uint64_t whole = 0;
        absl::Status status = readWhole(place, value, whole);
        out = std::chrono::milliseconds(static_cast<std::int64_t>(whole));
        return status;
    }

    bool isLabel(std::string_view text)
    {
        return text.size() <= longestLabel && std::all_of(text.begin(), text.end(), [](char c) {
            return c > ' ' && c <= '~' && c != '"' && c != '\\';
        });
    }

    /// What a text rule tests, and how it is told to people.
    struct TextTest {
        bool (*passes)(const std::string&);
        std::string_view wanted;
    };

    const TextTest& testOf(TextRule rule)
    {
        static const std::array tests {
            TextTest { [](const std::string& text) { return isName(text); },
                "a name of 1 to 63 characters of a-z, 0-9, '-' and '.'" },
            TextTest { [](const std::string& text) { return isEndpoint(text); },
                "a numeric address with a port, such as \"10.0.0.7:8000\" or \"[fd00::7]:8000\"" },
            TextTest { [](const std::string& text) { return isLabel(text); },
                "a text of at most 128 printable ASCII characters without spaces, quotes and backslashes" },
        };
        return tests[static_cast<std::size_t>(rule)];
    }

    absl::Status readValue(const Place& place, const json& value, std::string& out)
    {
        const TextTest& test = testOf(place.rule);
        if (!value.is_string() || !test.passes(value.get_ref<const std::string&>()))
            return wrongValue(place, value, test.wanted);
        out = value.get<std::string>();
        return absl::OkStatus();
    }

    template <typename Tag> absl::Status readValue(const Place& place, const json& value, Id<Tag>& out)
    {
        return readValue(place, value, out.value);
    }

    template <typename E>
    requires std::is_enum_v<E> absl::Status readValue(const Place& place, const json& value, E& out)
    {
        if (value.is_string()) {
            for (const auto& entry : textsOf(E {})) {
                if (entry.text != value.get_ref<const std::string&>())
                    continue;
                out = entry.value;
                return absl::OkStatus();
            }
        }
        return wrongValue(place, value, concat("one of ", allTexts<E>()));
    }

    json writeValue(std::chrono::milliseconds value) { return value.count(); }
    template <typename Tag> json writeValue(const Id<Tag>& value) { return value.value; }
    template <typename T> json writeValue(const T& value)
    {
        if constexpr (std::is_enum_v<T>)
            return std::string(textOf(value));
        else
            return value;
    }

    std::string typeName(bool) { return "true|false"; }
    std::string typeName(double) { return "number"; }
    std::string typeName(std::uint32_t) { return "whole number"; }
    std::string typeName(std::uint64_t) { return "whole number"; }
    std::string typeName(std::chrono::milliseconds) { return "whole number"; }
    template <typename Tag> std::string typeName(const Id<Tag>&) { return "name"; }
    template <typename E>
    requires std::is_enum_v<E> std::string typeName(E) { return allTexts<E>(); }

    template <typename S> std::string fieldNames()
    {
        std::string names;
        for (const Field<S>& field : fieldsOf<S>())
            names += concat(names.empty() ? "" : ", ", field.name);
        return names;
    }

    template <typename S> const Field<S>* findField(std::string_view name)
    {
        for (const Field<S>& field : fieldsOf<S>()) {
            if (field.name == name)
                return &field;
        }
        return nullptr;
    }

} // namespace

absl::Status fieldError(
    std::string_view resource, std::string_view field, std::string_view problem, std::string_view remedy)
{
    return makeError(
        ErrorKind::BadRequest, concat(resource, ": spec", field.empty() ? "" : ".", field, " ", problem), remedy);
}

template <typename S> absl::StatusOr<S> readFields(std::string_view resource, const json& spec)
{
    if (!spec.is_object())
        return fieldError(
            resource, "", concat("is ", shown(spec), ", but must be an object"), "Give the spec as a JSON object");
    S value;
    for (auto it = spec.begin(); it != spec.end(); ++it) {
        const Field<S>* field = findField<S>(it.key());
        if (!field)
            return fieldError(
                resource, clip(it.key(), 60), "is not a field of this kind", "Use only " + fieldNames<S>());
        const Place place { resource, field->name, field->range, field->rule };
        absl::Status status
            = std::visit([&](auto member) { return readValue(place, *it, value.*member); }, field->member);
        if (!status.ok())
            return status;
    }
    for (const Field<S>& field : fieldsOf<S>()) {
        if (field.required && !spec.contains(field.name))
            return fieldError(
                resource, field.name, "is missing", concat("Add spec.", field.name, ", the ", field.meaning));
    }
    return value;
}

template <typename S> json writeFields(const S& value)
{
    json spec = json::object();
    for (const Field<S>& field : fieldsOf<S>())
        std::visit([&](auto member) { spec[std::string(field.name)] = writeValue(value.*member); }, field.member);
    return spec;
}

template <typename S> std::vector<FieldHelp> helpFields()
{
    static const S defaults {};
    std::vector<FieldHelp> lines;
    for (const Field<S>& field : fieldsOf<S>()) {
        FieldHelp& line = lines.emplace_back();
        line.name = field.name;
        line.unit = field.unit;
        line.meaning = field.meaning;
        std::visit(
            [&](auto member) {
                if constexpr (std::is_same_v<decltype(member), std::string S::*>)
                    line.type = field.rule == TextRule::Address ? "ADDRESS:PORT" : "text";
                else
                    line.type = typeName(defaults.*member);
                line.defaultValue = field.required ? "(required)" : writeValue(defaults.*member).dump();
            },
            field.member);
    }
    return lines;
}

#define INSTANTIATE(S)                                                                                                 \
    template absl::StatusOr<S> readFields<S>(std::string_view, const json&);                                           \
    template json writeFields<S>(const S&);                                                                            \
    template std::vector<FieldHelp> helpFields<S>();
INSTANTIATE(Customer)
INSTANTIATE(Service)
INSTANTIATE(Target)
INSTANTIATE(Fleet)
INSTANTIATE(Vm)
#undef INSTANTIATE

} // namespace sagechute::config
