#include "process/SettingValue.h"

#include <sagechute/Process.h>

#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

namespace sagechute::process {
namespace {

    using Texts = std::vector<std::string>;

    SettingValue base(std::string_view name, std::string_view help, SettingRole role)
    {
        SettingValue value;
        value.name = std::string(name);
        value.help = std::string(help);
        value.role = role;
        return value;
    }

    absl::Status bad(std::string_view text, std::string_view what, std::string_view remedy)
    {
        return makeError(ErrorKind::BadRequest, "\"" + std::string(text) + "\" " + std::string(what), remedy);
    }

    std::string realText(double number)
    {
        std::ostringstream text;
        text << number;
        return text.str();
    }

    std::string joined(const Texts& texts, char separator)
    {
        std::string line;
        for (const std::string& text : texts) {
            if (!line.empty())
                line += separator;
            line += text;
        }
        return line;
    }

    void appendParts(Texts& out, const std::string& text)
    {
        std::istringstream stream(text);
        std::string part;
        while (std::getline(stream, part, ',')) {
            if (!part.empty())
                out.push_back(part);
        }
    }

    absl::Status outOfRange(std::string_view text, const std::string& least, const std::string& most)
    {
        return bad(text, "is out of range", "choose a value from " + least + " to " + most);
    }

    absl::Status assignSwitch(bool& out, const std::string& text)
    {
        struct Word {
            std::string_view text;
            bool value;
        };
        static constexpr std::array<Word, 6> words { { { "yes", true }, { "true", true }, { "1", true },
            { "no", false }, { "false", false }, { "0", false } } };
        for (const Word& word : words) {
            if (word.text != text)
                continue;
            out = word.value;
            return absl::OkStatus();
        }
        return bad(text, "is neither yes nor no", "write yes or no");
    }

    absl::Status assignCount(std::uint64_t& out, const std::string& text, std::uint64_t least, std::uint64_t most)
    {
        std::uint64_t number = 0;
        const char* const last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, number);
        const bool tooLarge = ec == std::errc::result_out_of_range;
        if (!tooLarge && (ec != std::errc {} || end != last))
            return bad(text, "is not a whole number", "write a whole number without a sign or unit");
        if (tooLarge || number < least || number > most)
            return outOfRange(text, std::to_string(least), std::to_string(most));
        out = number;
        return absl::OkStatus();
    }

    absl::Status assignReal(double& out, const std::string& text, double least, double most)
    {
        double number = 0;
        const char* const last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, number);
        if (ec != std::errc {} || end != last || !std::isfinite(number))
            return bad(text, "is not a number", "write a decimal number such as 0.5");
        if (number < least || number > most)
            return outOfRange(text, realText(least), realText(most));
        out = number;
        return absl::OkStatus();
    }

    absl::Status assignDuration(Duration& out, const std::string& text, Duration least, Duration most)
    {
        const absl::StatusOr<Duration> duration = parseDuration(text);
        if (!duration.ok())
            return duration.status();
        if (*duration < least || *duration > most)
            return outOfRange(text, formatDuration(least), formatDuration(most));
        out = *duration;
        return absl::OkStatus();
    }

} // namespace

SettingValue textValue(std::string_view name, std::string& out, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::Single);
    value.assign = [&out](const Texts& texts) {
        out = texts.front();
        return absl::OkStatus();
    };
    value.show = [&out] { return out; };
    return value;
}

SettingValue secretValue(std::string_view name, std::string& out, std::string_view help)
{
    SettingValue value = textValue(name, out, help);
    value.role = SettingRole::Secret;
    value.show = [&out] { return std::string(out.empty() ? "" : "********"); };
    return value;
}

SettingValue switchValue(std::string_view name, bool& out, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::Switch);
    value.assign = [&out](const Texts& texts) { return assignSwitch(out, texts.front()); };
    value.show = [&out] { return std::string(out ? "yes" : "no"); };
    return value;
}

SettingValue countValue(
    std::string_view name, std::uint64_t& out, std::uint64_t least, std::uint64_t most, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::Single);
    value.assign = [&out, least, most](const Texts& texts) { return assignCount(out, texts.front(), least, most); };
    value.show = [&out] { return std::to_string(out); };
    return value;
}

SettingValue realValue(std::string_view name, double& out, double least, double most, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::Single);
    value.assign = [&out, least, most](const Texts& texts) { return assignReal(out, texts.front(), least, most); };
    value.show = [&out] { return realText(out); };
    return value;
}

SettingValue durationValue(std::string_view name, Duration& out, Duration least, Duration most, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::Single);
    value.assign = [&out, least, most](const Texts& texts) { return assignDuration(out, texts.front(), least, most); };
    value.show = [&out] { return formatDuration(out); };
    return value;
}

SettingValue listValue(std::string_view name, std::vector<std::string>& out, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::List);
    value.assign = [&out](const Texts& texts) {
        out.clear();
        for (const std::string& text : texts)
            appendParts(out, text);
        return absl::OkStatus();
    };
    value.show = [&out] { return joined(out, ','); };
    return value;
}

SettingValue positionalValue(std::string_view name, std::vector<std::string>& out, std::string_view help)
{
    SettingValue value = base(name, help, SettingRole::Positional);
    value.assign = [&out](const Texts& texts) {
        out = texts;
        return absl::OkStatus();
    };
    value.show = [&out] { return joined(out, ' '); };
    return value;
}

} // namespace sagechute::process
