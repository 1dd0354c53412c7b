#include "chivedeal/requests/outcome.hpp"

namespace chivedeal::requests {

std::string to_string(outcome value)
{
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::failed:
        return "failed";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace chivedeal::requests
