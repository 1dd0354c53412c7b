#ifndef CHIVEDEAL_FORWARD_REJECTION_HPP
#define CHIVEDEAL_FORWARD_REJECTION_HPP

#include "chivedeal/forward/http_field.hpp"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Response to a request that was not read to its end, beside its status.
struct rejection
{
    std::vector<http_field> fields;
    std::string body;

    friend bool operator==(const rejection&, const rejection&) = default;
};

} // namespace chivedeal::forward

#endif
