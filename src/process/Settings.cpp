#include <sagechute/Process.h>

#include "process/SettingValue.h"

#include <boost/program_options.hpp>

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iostream>

namespace sagechute::process {
namespace {

    namespace po = boost::program_options;

    constexpr std::string_view variablePrefix = "SAGECHUTE_";
    constexpr unsigned helpColumns = 120;

    std::string variableName(std::string_view setting)
    {
        std::string name(variablePrefix);
        for (const char c : setting)
            name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return name;
    }

    absl::Status badSetting(std::string_view message, std::string_view remedy)
    {
        return makeError(ErrorKind::BadRequest, message, remedy);
    }

    std::string describe(const absl::Status& status)
    {
        const std::string remedy = errorRemedy(status);
        return std::string(status.message()) + (remedy.empty() ? "" : "; " + remedy);
    }

} // namespace

struct Settings::Impl {
    std::string program;
    std::string summary;
    std::vector<SettingValue> values;
    std::vector<std::function<absl::Status()>> checks;
    std::string fileVariable;

    void add(SettingValue value) { values.push_back(std::move(value)); }

    const SettingValue* find(std::string_view name) const
    {
        const auto it
            = std::find_if(values.begin(), values.end(), [&](const SettingValue& value) { return value.name == name; });
        return it == values.end() ? nullptr : &*it;
    }

    po::options_description describeFlags() const;
    std::vector<std::string> completeSwitches(std::vector<std::string> arguments) const;
    absl::StatusOr<po::variables_map> parse(const std::vector<std::string>& arguments) const;
    absl::Status applyFlags(const po::variables_map& flags);
    absl::Status applyEnvironment(const std::vector<std::string>& environment);
    absl::Status applyVariable(std::string_view name, const std::string& value);
    absl::Status applyFile(const std::vector<std::string>& environment);
    absl::Status applyLine(const std::string& place, std::string_view line);
    absl::Status validate() const;
    void printHelp(std::ostream& out) const;
    void printSettings(std::ostream& out) const;
    int fail(const absl::Status& status, std::ostream& err) const;
};

po::options_description Settings::Impl::describeFlags() const
{
    po::options_description description("Settings", helpColumns, helpColumns / 2);
    auto add = description.add_options();
    add("help,h", "print this text and end");
    add("version", "print the release and end");
    add("print-settings", "print every setting, secrets masked, and end");
    for (const SettingValue& value : values) {
        if (value.role == SettingRole::Secret)
            continue;
        const std::string help = value.help + " [" + variableName(value.name) + "; default: " + value.show() + "]";
        add(value.name.c_str(), po::value<std::vector<std::string>>(), help.c_str());
    }
    return description;
}

std::vector<std::string> Settings::Impl::completeSwitches(std::vector<std::string> arguments) const
{
    // The parser's own implicit values take the next word when there is one: "--dry-run FILE" would lose its file.
    for (std::string& argument : arguments) {
        if (argument == "--")
            break;
        const SettingValue* value = argument.starts_with("--") ? find(argument.substr(2)) : nullptr;
        if (value && value->role == SettingRole::Switch)
            argument += "=yes";
    }
    return arguments;
}

absl::StatusOr<po::variables_map> Settings::Impl::parse(const std::vector<std::string>& arguments) const
{
    const po::options_description description = describeFlags();
    po::positional_options_description positions;
    for (const SettingValue& value : values) {
        if (value.role == SettingRole::Positional)
            positions.add(value.name.c_str(), -1);
    }
    // Without guessing: an abbreviation would change its meaning when a later release adds a flag.
    const int style = po::command_line_style::default_style & ~po::command_line_style::allow_guessing;
    po::variables_map flags;
    try {
        po::store(po::command_line_parser(completeSwitches(arguments))
                      .options(description)
                      .positional(positions)
                      .style(style)
                      .run(),
            flags);
    } catch (const po::unknown_option& error) {
        std::string name = error.get_option_name();
        name.erase(0, name.find_first_not_of('-'));
        name.resize(std::min(name.size(), name.find('=')));
        const SettingValue* known = find(name);
        if (known && known->role == SettingRole::Secret)
            return badSetting("--" + name + " is a secret and not taken as a flag", "set " + variableName(name));
        return badSetting("unknown flag --" + name, "see " + program + " --help for those there are");
    } catch (const po::error& error) {
        return badSetting(error.what(), "see " + program + " --help");
    }
    return flags;
}

absl::Status Settings::Impl::applyFlags(const po::variables_map& flags)
{
    for (SettingValue& value : values) {
        if (value.role == SettingRole::Secret || flags.count(value.name) == 0)
            continue;
        const auto& texts = flags[value.name].as<std::vector<std::string>>();
        const bool many = value.role == SettingRole::List || value.role == SettingRole::Positional;
        if (texts.size() > 1 && !many)
            return badSetting(
                "--" + value.name + " is given " + std::to_string(texts.size()) + " times", "give it once");
        if (absl::Status status = value.assign(texts); !status.ok())
            return badSetting("--" + value.name + ": " + std::string(status.message()), errorRemedy(status));
        value.given = true;
    }
    return absl::OkStatus();
}

absl::Status Settings::Impl::applyVariable(std::string_view name, const std::string& text)
{
    for (SettingValue& value : values) {
        if (value.role == SettingRole::Positional || variableName(value.name) != name)
            continue;
        if (value.given)
            return absl::OkStatus();
        // A secret's text must not reach a terminal or a log by way of an error message.
        if (const absl::Status status = value.assign({ text }); !status.ok())
            return badSetting(std::string(name) + ": " + std::string(status.message()), errorRemedy(status));
        value.given = true;
        return absl::OkStatus();
    }
    return badSetting(
        "unknown variable " + std::string(name), "unset it, or see " + program + " --help for the variables there are");
}

absl::Status Settings::Impl::applyEnvironment(const std::vector<std::string>& environment)
{
    for (const std::string& entry : environment) {
        if (!entry.starts_with(variablePrefix))
            continue;
        const std::size_t equals = entry.find('=');
        if (equals == std::string::npos || entry.substr(0, equals) == fileVariable)
            continue;
        absl::Status status = applyVariable(std::string_view(entry).substr(0, equals), entry.substr(equals + 1));
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Settings::Impl::applyFile(const std::vector<std::string>& environment)
{
    if (fileVariable.empty())
        return absl::OkStatus();
    const std::string mark = fileVariable + "=";
    const auto entry = std::find_if(
        environment.begin(), environment.end(), [&](const std::string& it) { return it.starts_with(mark); });
    if (entry == environment.end())
        return absl::OkStatus();
    const std::string path = entry->substr(mark.size());
    std::ifstream file(path);
    if (!file)
        return badSetting("the settings file " + path + " can't be read", "check the path in " + fileVariable);
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        absl::Status status = applyLine(path + ":" + std::to_string(number), line);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Settings::Impl::applyLine(const std::string& place, std::string_view line)
{
    if (line.empty() || line.front() == '#')
        return absl::OkStatus();
    const std::size_t equals = line.find('=');
    const std::string name(line.substr(0, equals));
    const auto it = std::find_if(values.begin(), values.end(), [&](const SettingValue& value) {
        return value.name == name && value.role != SettingRole::Secret && value.role != SettingRole::Positional;
    });
    if (equals == std::string_view::npos || it == values.end())
        return badSetting(place + ": unknown setting " + name, "see " + program + " --help for those there are");
    if (it->given || (it->emptyIsDefault && equals + 1 == line.size()))
        return absl::OkStatus();
    if (const absl::Status status = it->assign({ std::string(line.substr(equals + 1)) }); !status.ok())
        return badSetting(place + ": " + name + ": " + std::string(status.message()), errorRemedy(status));
    it->given = true;
    return absl::OkStatus();
}

absl::Status Settings::Impl::validate() const
{
    for (const SettingValue& value : values) {
        if (value.required && !value.given)
            return badSetting("--" + value.name + " is missing",
                "give --" + value.name + " VALUE or set " + variableName(value.name));
    }
    for (const auto& rule : checks) {
        if (absl::Status status = rule(); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

void Settings::Impl::printHelp(std::ostream& out) const
{
    out << program << ": " << summary << "\n\n" << describeFlags();
    for (const SettingValue& value : values) {
        if (value.role == SettingRole::Secret)
            out << "  " << variableName(value.name) << ": " << value.help << " (environment only)\n";
    }
    out << "\nA flag goes before its variable. Durations have a unit: 250us, 200ms, 3s, 5m.\n";
}

void Settings::Impl::printSettings(std::ostream& out) const
{
    for (const SettingValue& value : values)
        out << value.name << "=" << value.show() << "\n";
}

int Settings::Impl::fail(const absl::Status& status, std::ostream& err) const
{
    err << program << ": " << describe(status) << std::endl;
    return exitUsage;
}

Settings::Settings(std::string program, std::string summary)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->program = std::move(program);
    m_impl->summary = std::move(summary);
}

Settings::~Settings() = default;
Settings::Settings(Settings&&) noexcept = default;
Settings& Settings::operator=(Settings&&) noexcept = default;

Settings& Settings::text(std::string_view name, std::string& out, std::string_view help)
{
    m_impl->add(textValue(name, out, help));
    return *this;
}

Settings& Settings::requiredText(std::string_view name, std::string& out, std::string_view help)
{
    m_impl->add(textValue(name, out, help));
    m_impl->values.back().required = true;
    return *this;
}

Settings& Settings::secret(std::string_view name, std::string& out, std::string_view help)
{
    m_impl->add(secretValue(name, out, help));
    return *this;
}

Settings& Settings::flag(std::string_view name, bool& out, std::string_view help)
{
    m_impl->add(switchValue(name, out, help));
    return *this;
}

Settings& Settings::count(
    std::string_view name, std::uint64_t& out, std::uint64_t least, std::uint64_t most, std::string_view help)
{
    m_impl->add(countValue(name, out, least, most, help));
    return *this;
}

Settings& Settings::real(std::string_view name, double& out, double least, double most, std::string_view help)
{
    m_impl->add(realValue(name, out, least, most, help));
    return *this;
}

Settings& Settings::duration(std::string_view name, Duration& out, Duration least, Duration most, std::string_view help)
{
    m_impl->add(durationValue(name, out, least, most, help));
    return *this;
}

Settings& Settings::list(std::string_view name, std::vector<std::string>& out, std::string_view help)
{
    m_impl->add(listValue(name, out, help));
    return *this;
}

Settings& Settings::emptyIsDefault()
{
    m_impl->values.back().emptyIsDefault = true;
    return *this;
}

Settings& Settings::positional(std::string_view name, std::vector<std::string>& out, std::string_view help)
{
    m_impl->add(positionalValue(name, out, help));
    return *this;
}

Settings& Settings::fileVariable(std::string_view variable)
{
    m_impl->fileVariable = variable;
    return *this;
}

Settings& Settings::check(std::function<absl::Status()> rule)
{
    m_impl->checks.push_back(std::move(rule));
    return *this;
}

std::optional<int> Settings::read(int argc, const char* const* argv)
{
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    std::vector<std::string> variables;
    for (char** it = environ; it && *it; ++it)
        variables.emplace_back(*it);
    return read(arguments, variables, std::cout, std::cerr);
}

std::optional<int> Settings::read(const std::vector<std::string>& arguments,
    const std::vector<std::string>& environment, std::ostream& out, std::ostream& err)
{
    const absl::StatusOr<po::variables_map> flags = m_impl->parse(arguments);
    if (!flags.ok())
        return m_impl->fail(flags.status(), err);
    if (flags->count("help") > 0) {
        m_impl->printHelp(out);
        return 0;
    }
    if (flags->count("version") > 0) {
        out << m_impl->program << " " << version() << "\n";
        return 0;
    }
    for (const absl::Status& status :
        { m_impl->applyFlags(*flags), m_impl->applyEnvironment(environment), m_impl->applyFile(environment) }) {
        if (!status.ok())
            return m_impl->fail(status, err);
    }
    if (const absl::Status status = m_impl->validate(); !status.ok())
        return m_impl->fail(status, err);
    if (flags->count("print-settings") == 0)
        return std::nullopt;
    m_impl->printSettings(out);
    return 0;
}

std::string_view version() { return SAGECHUTE_VERSION; }

} // namespace sagechute::process
