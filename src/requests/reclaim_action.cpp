#include "chivedeal/requests/reclaim_action.hpp"

namespace chivedeal::requests {

std::string to_string(reclaim_action value)
{
    switch (value) {
    case reclaim_action::finish:
        return "finish";
    case reclaim_action::export_kv:
        return "export_kv";
    case reclaim_action::resume_tokens:
        return "resume_tokens";
    }
    return "unknown_action";
}

} // namespace chivedeal::requests
