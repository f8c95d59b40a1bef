# Bash completion: source this file, or put it into /usr/share/bash-completion/completions/tamarindring.
_tamarindring() {
    local IFS=$'\n'
    mapfile -t COMPREPLY < <(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}" 2>/dev/null)
    # A file name where the program has nothing to offer.
    [ ${#COMPREPLY[@]} -gt 0 ] || mapfile -t COMPREPLY < <(compgen -f -- "${COMP_WORDS[$COMP_CWORD]}")
}
complete -o filenames -F _tamarindring tamarindring
