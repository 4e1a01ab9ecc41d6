#include "vm/member.hpp"

namespace dandelionstep {

std::string_view to_string(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        return "left";
    }
    return "unknown";
}

} // namespace dandelionstep
