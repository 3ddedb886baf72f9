# Bash completion of kingcuphub. Names of accounts, keys, zones, targets,
# models and routes come from the agent that KINGCUPHUB_AGENT names.

_kingcuphub_names() { # group, field
  kingcuphub "$1" list --json 2>/dev/null | jq -r ".[].$2" 2>/dev/null
}

_kingcuphub_commands() {
  kingcuphub --help | sed -n 's/^  \([a-z-]*\)\( [a-z-]*\)\{0,1\}  .*/\1\2/p'
}

_kingcuphub() {
  local word=${COMP_WORDS[COMP_CWORD]} group=${COMP_WORDS[1]-}
  local verb=${COMP_WORDS[2]-} options
  COMPREPLY=()
  if [[ $word == -* ]]; then
    options=$(kingcuphub "$group" "$verb" --help 2>/dev/null |
      grep -oE -- '--[a-z-]+' | sort -u)
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word")
    return
  fi
  case $COMP_CWORD in
  1)
    options=$(_kingcuphub_commands | cut -d' ' -f1 | sort -u)
    ;;
  2)
    options=$(_kingcuphub_commands | sed -n "s/^$group //p")
    ;;
  3)
    case "$group $verb" in
    "preset use") options="ordinary peak maintenance" ;;
    "zone out" | "zone in") options=$(_kingcuphub_names zone zone) ;;
    "account show" | "account set-rate" | "account delete" | "key create")
      options=$(_kingcuphub_names account account)
      ;;
    "key withdraw") options=$(_kingcuphub_names key key) ;;
    "target leave") options=$(_kingcuphub_names target target) ;;
    "model delete") options=$(_kingcuphub_names model model) ;;
    "route delete") options=$(_kingcuphub_names route route) ;;
    esac
    ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "${options-}" -- "$word")
}

complete -F _kingcuphub kingcuphub
