#include "operators/CtlOptions.h"

#include <algorithm>
#include <array>
#include <limits>
#include <ostream>

namespace sagechute::operators {
namespace {

    constexpr std::string_view summary
        = "declares resources and follows their progress (sagechutectl help lists the commands)";
    constexpr std::array<std::string_view, 4> outputNames { "table", "narrow", "json", "names" };

    struct ShortFlag {
        std::string_view letter;
        std::string_view flag;
    };
    constexpr std::array<ShortFlag, 2> shortFlags { { { "-f", "--file" }, { "-o", "--output" } } };

    std::vector<std::string> spellOut(const std::vector<std::string>& arguments)
    {
        std::vector<std::string> spelled;
        for (const std::string& argument : arguments) {
            const auto it = std::find_if(
                shortFlags.begin(), shortFlags.end(), [&](const ShortFlag& flag) { return flag.letter == argument; });
            // "-" alone is a file name, which the settings would take for a flag: bind it to its flag.
            if (argument == "-" && !spelled.empty() && spelled.back() == "--file")
                spelled.back() = "--file=-";
            else
                spelled.push_back(it == shortFlags.end() ? argument : std::string(it->flag));
        }
        return spelled;
    }

    /// Texts that become other types once all settings are read.
    struct Texts {
        std::string output = "table";
        std::string expected;
        std::string from;
    };

    absl::Status readOffset(const std::string& name, const std::string& text, std::optional<LogOffset>& out)
    {
        if (text.empty())
            return absl::OkStatus();
        const bool isNumber = text.size() <= std::numeric_limits<LogOffset>::digits10
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!isNumber)
            return makeError(ErrorKind::BadRequest, "--" + name + " is not an offset", "write a whole number");
        out = std::stoull(text);
        return absl::OkStatus();
    }

    absl::Status readOutput(const std::string& text, OutputForm& out)
    {
        const auto it = std::find(outputNames.begin(), outputNames.end(), text);
        if (it == outputNames.end())
            return makeError(
                ErrorKind::BadRequest, "--output " + text + " is unknown", "use table, narrow, json or names");
        out = static_cast<OutputForm>(it - outputNames.begin());
        return absl::OkStatus();
    }

} // namespace

std::optional<int> readCtlOptions(const std::vector<std::string>& arguments,
    const std::vector<std::string>& environment, CtlOptions& options, std::ostream& out, std::ostream& err)
{
    using namespace std::chrono_literals;
    Texts texts;
    options.api.apiUrls = { "http://127.0.0.1:8400" };
    process::Settings settings("sagechutectl", std::string(summary));
    settings.list("api", options.api.apiUrls, "base URLs of APIs, tried in this order")
        .secret("operator-key", options.api.operatorKey, "the operator's key")
        .text("output", texts.output, "-o: table, narrow (at most 60 columns), json or names")
        .text("file", options.file, "-f: document to read, - for standard input")
        .flag("wait", options.wait, "wait until the change is in force on every router")
        .flag("undo", options.undo, "with drain: take back into use")
        .duration("timeout", options.timeout, 100ms, 3600s, "longest time for a change and the wait for it")
        .text("expected", texts.expected, "with delete: the version that must be there")
        .text("from", texts.from, "with watch: the offset to go on after")
        .count("most", options.most, 1, 1000, "with audit: how many lines")
        .count("count", options.count, 0, 1'000'000'000, "with watch: end after so many changes; 0: never")
        .positional("words", options.words, "command and its arguments")
        .check([&] { return readOutput(texts.output, options.output); })
        .check([&] { return readOffset("expected", texts.expected, options.expected); })
        .check([&] { return readOffset("from", texts.from, options.from); });
    return settings.read(spellOut(arguments), environment, out, err);
}

} // namespace sagechute::operators
