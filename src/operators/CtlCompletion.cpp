#include "operators/CtlCommands.h"

namespace sagechute::operators {
namespace {

    constexpr std::string_view bashScript
        = R"sh(# sagechutectl completion for bash: source it, or put it into /etc/bash_completion.d
_sagechutectl()
{
    local word="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}"
    local commands="@COMMANDS@"
    local kinds="customer service target fleet vm"
    case "$previous" in
        -f|--file) COMPREPLY=($(compgen -f -- "$word")); return ;;
        -o|--output) COMPREPLY=($(compgen -W "table narrow json names" -- "$word")); return ;;
        completion) COMPREPLY=($(compgen -W "bash zsh" -- "$word")); return ;;
    esac
    if [[ "$word" == -* ]]; then
        COMPREPLY=($(compgen -W "--api --output --file --wait --undo --timeout --expected --from --most --count --help" -- "$word"))
        return
    fi
    case "$COMP_CWORD" in
        1) COMPREPLY=($(compgen -W "$commands" -- "$word")) ;;
        2) case "${COMP_WORDS[1]}" in
               get|watch) COMPREPLY=($(compgen -W "$kinds all" -- "$word")) ;;
               describe|delete|explain) COMPREPLY=($(compgen -W "$kinds" -- "$word")) ;;
               drain) COMPREPLY=($(compgen -W "target vm" -- "$word")) ;;
           esac ;;
        3) case "${COMP_WORDS[1]}" in
               get|describe|delete|drain)
                   COMPREPLY=($(compgen -W "$(sagechutectl get "$previous" -o names 2>/dev/null)" -- "$word")) ;;
           esac ;;
    esac
}
complete -F _sagechutectl sagechutectl
)sh";

    constexpr std::string_view zshPrefix = R"sh(# sagechutectl completion for zsh: source it after compinit
autoload -U +X bashcompinit && bashcompinit
)sh";

    std::string commandNames()
    {
        std::string names;
        for (const Ctl::Command& command : Ctl::commands())
            names += (names.empty() ? "" : " ") + std::string(command.name);
        return names;
    }

} // namespace

std::string completionScript(std::string_view shell)
{
    constexpr std::string_view placeholder = "@COMMANDS@";
    std::string script(bashScript);
    script.replace(script.find(placeholder), placeholder.size(), commandNames());
    if (shell == "bash")
        return script;
    return shell == "zsh" ? std::string(zshPrefix) + script : std::string();
}

} // namespace sagechute::operators
