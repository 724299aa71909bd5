#include "config/Difference.h"

#include "config/Records.h"
#include "config/Text.h"
#include "core/Concat.h"

namespace sagechute::config {
namespace {

    using nlohmann::json;

    bool isKeyField(const std::string& name) { return name.starts_with("key"); }

    std::string valueText(const json& value)
    {
        if (value.is_number_float())
            return shortNumber(value.get<double>());
        if (value.is_string() && !value.get_ref<const std::string&>().empty())
            return value.get<std::string>();
        return dumpSafely(value);
    }

    void addPart(std::string& text, const std::string& part) { text += concat(text.empty() ? "" : "; ", part); }

    std::string createdText(const json& after)
    {
        std::string text;
        for (const auto& [name, value] : after.items()) {
            if (!isKeyField(name))
                addPart(text, concat(name, " ", valueText(value)));
        }
        return concat("created: ", text);
    }

    std::string changedText(const json& before, const json& after)
    {
        std::string text;
        bool isKeyReplaced = false;
        for (const auto& [name, value] : after.items()) {
            const auto it = before.find(name);
            if (it != before.end() && *it == value)
                continue;
            if (isKeyField(name))
                isKeyReplaced = true;
            else
                addPart(text, concat(name, " ", it == before.end() ? "-" : valueText(*it), " -> ", valueText(value)));
        }
        if (isKeyReplaced)
            addPart(text, "key replaced");
        return text.empty() ? "nothing" : text;
    }

} // namespace

std::string differenceText(const json& before, const json& after)
{
    if (after.is_null())
        return "deleted";
    return clip(before.is_null() ? createdText(after) : changedText(before, after), longestDifference);
}

} // namespace sagechute::config
