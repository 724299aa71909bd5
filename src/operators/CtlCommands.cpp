#include "operators/CtlCommands.h"

#include "operators/Documents.h"

#include <algorithm>
#include <cmath>
#include <ostream>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::string_view exitCodeHelp = R"(Exit codes:
  0 done
  1 diff found differences, or a router is behind
  2 wrong usage
  3 refused as wrong; nothing changed
  4 conflict with another change or a reference;
    nothing changed
  5 not found
  6 the key is wrong or lacks the role
  7 API or log out of reach; the message says
    whether the change may have been taken
  8 accepted, not yet in force everywhere
  9 internal error
)";

    const Ctl::Command* findCommand(std::string_view name)
    {
        const auto& commands = Ctl::commands();
        const auto it = std::find_if(
            commands.begin(), commands.end(), [&](const Ctl::Command& command) { return command.name == name; });
        return it == commands.end() ? nullptr : &*it;
    }

    int failUsage(std::ostream& err, const std::string& problem)
    {
        err << "sagechutectl: " << problem << "; see: sagechutectl help" << std::endl;
        return exitWrongUsage;
    }

    std::optional<int> checkWords(const CtlOptions& options, std::ostream& err)
    {
        if (options.words.empty())
            return failUsage(err, "no command is given");
        const Ctl::Command* command = findCommand(options.words.front());
        if (!command)
            return failUsage(err, "unknown command " + printable(options.words.front()));
        const std::size_t given = options.words.size() - 1;
        if (given < command->least || given > command->most)
            return failUsage(
                err, "usage is: sagechutectl " + std::string(command->name) + " " + std::string(command->arguments));
        if (!Ctl::isLocal(command->name) && options.api.operatorKey.empty()) {
            err << "sagechutectl: no operator key; set SAGECHUTE_OPERATOR_KEY" << std::endl;
            return exitNoAccess;
        }
        return std::nullopt;
    }

    /// Stands in where a command needs no API.
    class NoApiPort final : public ApiPort {
        ApiAnswer onCall(const std::string&, const std::string&, const std::string&) override { return {}; }
        ApiAnswer onStream(const std::string&, const std::function<bool(std::string_view)>&) override { return {}; }
        void onPause(std::chrono::milliseconds) override { }
        TimePoint onNow() override { return {}; }
    };

} // namespace

int runCtl(const std::vector<std::string>& arguments, const std::vector<std::string>& environment,
    const ApiPortFactory& connect, std::ostream& out, std::ostream& err)
{
    CtlOptions options;
    if (const auto code = readCtlOptions(arguments, environment, options, out, err))
        return *code;
    if (const auto code = checkWords(options, err))
        return *code;
    const bool isLocal = Ctl::isLocal(options.words.front());
    const std::unique_ptr<ApiPort> port = isLocal ? std::make_unique<NoApiPort>() : connect(options.api);
    CtlClient client(*port, options.timeout);
    return Ctl(options, client, out, err).run();
}

Ctl::Ctl(const CtlOptions& options, CtlClient& client, std::ostream& out, std::ostream& err)
    : m_options(options)
    , m_client(client)
    , m_out(out)
    , m_err(err)
{
}

const std::vector<Ctl::Command>& Ctl::commands()
{
    static const std::vector<Command> table {
        { "apply", "-f FILE [--wait]", 0, 0, "declare the resources of a document", &Ctl::apply },
        { "diff", "-f FILE", 0, 0, "what apply would change", &Ctl::diff },
        { "get", "KIND|all [NAME]", 1, 2, "list resources, or show one", &Ctl::get },
        { "describe", "KIND NAME", 2, 2, "a resource with its status and progress", &Ctl::describe },
        { "delete", "KIND NAME [--expected V] [--wait]", 2, 2, "delete a resource", &Ctl::remove },
        { "watch", "KIND|all [--from OFFSET]", 1, 1, "print changes as they are accepted", &Ctl::watch },
        { "drain", "target|vm NAME [--undo] [--wait]", 2, 2, "take out of use without cutting anything off",
            &Ctl::drain },
        { "change", "ID", 1, 1, "what became of a change", &Ctl::showChange },
        { "status", "", 0, 0, "the fleet at a glance", &Ctl::status },
        { "who-is-behind", "", 0, 0, "routers without the latest configuration", &Ctl::whoIsBehind },
        { "audit", "[--most N]", 0, 0, "who changed what, latest first", &Ctl::audit },
        { "explain", "KIND", 1, 1, "fields of a kind with units and defaults", &Ctl::explain },
        { "completion", "bash|zsh", 1, 1, "print a completion script", &Ctl::completion },
        { "help", "", 0, 0, "this list", &Ctl::help },
    };
    return table;
}

int Ctl::run()
{
    try {
        return (this->*findCommand(word(0))->handler)();
    } catch (const json::exception&) {
        // Another release of the API, or something else that answers in JSON: not a reason to end without an exit code.
        m_err << "sagechutectl: the answer has another form than expected; check that --api names a sagechute API of "
                 "this "
                 "release"
              << std::endl;
        return exitInternal;
    }
}

int Ctl::help()
{
    m_out << "sagechutectl COMMAND [ARGUMENTS] [FLAGS]\n\n";
    for (const Command& command : commands()) {
        m_out << "  " << command.name << (command.arguments.empty() ? "" : " ") << command.arguments << "\n      "
              << command.help << "\n";
    }
    m_out << "\nKinds: customer, service, target, fleet, vm\n"
             "Flags for all: --api URL,... -o table|narrow|json|names\n"
             "  --timeout 30s; see sagechutectl --help\n"
             "The key is in SAGECHUTE_OPERATOR_KEY.\n\n"
          << exitCodeHelp;
    return exitDone;
}

int Ctl::completion()
{
    const std::string script = completionScript(word(1));
    if (script.empty())
        return usage("completion is there for bash and zsh only");
    m_out << script;
    return exitDone;
}

int Ctl::fail(const CtlResult& result)
{
    // An error is a document too for whoever reads JSON.
    if (m_options.output == OutputForm::Json && result.document.is_object())
        m_out << result.document.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
    m_err << wrap("sagechutectl: " + printable(result.message), m_options.columns() ? m_options.columns() : 1000, 2)
          << std::endl;
    return result.exitCode;
}

int Ctl::usage(const std::string& problem) { return failUsage(m_err, problem); }

void Ctl::print(const Table& table) { m_out << table.render(m_options.columns()); }

void Ctl::printLine(std::string_view line)
{
    const std::string clean = printable(line);
    m_out << (m_options.columns() ? wrap(clean, m_options.columns(), 2) : clean) << "\n";
}

bool Ctl::printJson(const json& document)
{
    if (m_options.output != OutputForm::Json)
        return false;
    m_out << document.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
    return true;
}

std::string valueText(const json& value)
{
    if (value.is_null())
        return "-";
    if (value.is_string())
        return value.get<std::string>();
    constexpr double mostExact = 1e15;
    if (value.is_number_float() && value == std::floor(value.get<double>())
        && std::abs(value.get<double>()) < mostExact)
        return std::to_string(static_cast<std::int64_t>(value.get<double>()));
    return toText(value);
}

std::string memberText(const json& object, const char* name)
{
    const auto it = object.is_object() ? object.find(name) : object.end();
    return it == object.end() ? "-" : valueText(*it);
}

} // namespace sagechute::operators
