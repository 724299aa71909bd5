#pragma once

#include <sagechute/Core.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::process {

/// Where a setting comes from and how often.
enum class SettingRole { Single, Switch, List, Positional, Secret };

/// One declared setting, bound to the variable that it fills.
struct SettingValue {
    std::string name;
    std::string help;
    SettingRole role = SettingRole::Single;
    bool required = false;
    bool given = false;
    bool emptyIsDefault = false; ///< An empty value in the settings file counts as not given.

    /// Reads the texts into the bound variable; its error says what is wrong with the value, without the setting's
    /// name.
    std::function<absl::Status(const std::vector<std::string>& texts)> assign;

    /// @return the bound variable's value as --print-settings shows it.
    std::function<std::string()> show;
};

SettingValue textValue(std::string_view name, std::string& out, std::string_view help);
SettingValue secretValue(std::string_view name, std::string& out, std::string_view help);
SettingValue switchValue(std::string_view name, bool& out, std::string_view help);
SettingValue countValue(
    std::string_view name, std::uint64_t& out, std::uint64_t least, std::uint64_t most, std::string_view help);
SettingValue realValue(std::string_view name, double& out, double least, double most, std::string_view help);
SettingValue durationValue(std::string_view name, Duration& out, Duration least, Duration most, std::string_view help);
SettingValue listValue(std::string_view name, std::vector<std::string>& out, std::string_view help);
SettingValue positionalValue(std::string_view name, std::vector<std::string>& out, std::string_view help);

} // namespace sagechute::process
