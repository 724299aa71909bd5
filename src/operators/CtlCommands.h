#pragma once

#include "operators/CtlClient.h"
#include "operators/CtlOptions.h"
#include "operators/Table.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::operators {

/// The commands of sagechutectl.
class Ctl {
public:
    /// @param client, out, err outlive this object.
    Ctl(const CtlOptions&, CtlClient& client, std::ostream& out, std::ostream& err);

    /// Runs the command that the options name.
    /// @return the exit code.
    int run();

    /// One command.
    struct Command {
        std::string_view name;
        std::string_view arguments; ///< For the help: "KIND NAME".
        std::size_t least; ///< Arguments needed.
        std::size_t most;
        std::string_view help;
        int (Ctl::*handler)();
    };
    static const std::vector<Command>& commands();

    /// @return whether a command works without the API.
    static bool isLocal(std::string_view command) { return command == "help" || command == "completion"; }

private:
    int apply();
    int diff();
    int remove();
    int drain();
    int showChange();
    int get();
    int describe();
    int watch();
    int status();
    int whoIsBehind();
    int audit();
    int auditBlocks(const nlohmann::json&);
    int explain();
    int completion();
    int help();

    std::optional<std::vector<DeclaredResource>> readFile();
    int printApplied(const std::vector<DeclaredResource>&, const std::vector<CtlResult>&);
    int finish(const std::string& what, const CtlResult&);
    int awaitAndReport(LogOffset);
    int drainTarget(const std::string& name);
    int drainVm(const std::string& name);
    int changeField(const std::string& kind, const std::string& name, const std::string& field,
        const nlohmann::json& value, bool mayCreate);

    int fail(const CtlResult&);
    int usage(const std::string& problem);
    void print(const Table&);
    void printLine(std::string_view line);
    bool printJson(const nlohmann::json&);
    const std::string& word(std::size_t i) const { return m_options.words.at(i); }
    bool hasWord(std::size_t i) const { return m_options.words.size() > i; }

    const CtlOptions m_options;
    CtlClient& m_client;
    std::ostream& m_out;
    std::ostream& m_err;
};

/// Reads what `apply` and `diff` take: {"resources":[...]}, as `get -o json` prints it, or one resource.
/// @return the resources in the order in which they can be declared, or BadRequest with the remedy.
absl::StatusOr<std::vector<DeclaredResource>> parseDeclaration(std::string_view text);

/// @return the completion script of a shell ("bash" or "zsh"), empty for another.
std::string completionScript(std::string_view shell);

/// @return a JSON value as people read it: texts without quotes, null as "-".
std::string valueText(const nlohmann::json&);

/// @return a member of an object as valueText(), "-" when it is missing.
std::string memberText(const nlohmann::json& object, const char* name);

} // namespace sagechute::operators
