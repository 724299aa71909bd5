#include "config/DocumentReader.h"

#include "config/Text.h"
#include "core/Concat.h"

namespace sagechute::config {

using nlohmann::json;

DocumentReader::DocumentReader(json document)
    : m_document(std::move(document))
{
    if (m_document.is_object())
        return;
    m_document = json::object();
    fail("it is not an object");
}

void DocumentReader::fail(std::string problem)
{
    if (m_problem.empty())
        m_problem = std::move(problem);
}

json DocumentReader::take(std::string_view name, bool (json::*isRight)() const noexcept, std::string_view type)
{
    const auto it = m_document.find(name);
    if (it == m_document.end() || !((*it).*isRight)()) {
        fail(concat(name, it == m_document.end() ? " is missing" : " is not ", it == m_document.end() ? "" : type));
        return {};
    }
    json value = std::move(*it);
    m_document.erase(it);
    return value;
}

std::string DocumentReader::text(std::string_view name, std::size_t most)
{
    const json value = take(name, &json::is_string, "a text");
    if (!value.is_string())
        return {};
    if (value.get_ref<const std::string&>().size() > most) {
        fail(concat(name, " is longer than ", most, " bytes"));
        return {};
    }
    return value.get<std::string>();
}

std::uint64_t DocumentReader::number(std::string_view name)
{
    const json value = take(name, &json::is_number_unsigned, "a whole number from 0");
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

bool DocumentReader::flag(std::string_view name)
{
    const json value = take(name, &json::is_boolean, "true or false");
    return value.is_boolean() && value.get<bool>();
}

json DocumentReader::array(std::string_view name)
{
    json value = take(name, &json::is_array, "an array");
    return value.is_array() ? value : json::array();
}

json DocumentReader::optional(std::string_view name)
{
    const auto it = m_document.find(name);
    if (it == m_document.end())
        return json(json::value_t::discarded);
    json value = std::move(*it);
    m_document.erase(it);
    return value;
}

void DocumentReader::expectText(std::string_view name, std::string_view wanted)
{
    if (text(name, 64) != wanted)
        fail(concat(name, " is not \"", wanted, "\""));
}

void DocumentReader::expectNumber(std::string_view name, std::uint64_t wanted)
{
    if (number(name) != wanted)
        fail(concat(name, " is not ", wanted));
}

absl::Status DocumentReader::finish(std::string_view what)
{
    if (m_problem.empty() && !m_document.empty())
        fail(concat("\"", clip(m_document.begin().key(), 60), "\" is not a member of it"));
    if (m_problem.empty())
        return absl::OkStatus();
    return makeError(
        ErrorKind::BadRequest, concat("Not a ", what, ": ", m_problem), "See who wrote it; readers skip it");
}

} // namespace sagechute::config
