#ifndef CHIVEDEAL_REQUESTS_ADDRESS_ENTRY_HPP
#define CHIVEDEAL_REQUESTS_ADDRESS_ENTRY_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

namespace chivedeal::requests {

/// A node that callers may connect to.
struct address_entry
{
    address listen;
    region_id region;
    /// Relative share of connections.
    double weight = 1;

    friend bool operator==(const address_entry&, const address_entry&) = default;
};

} // namespace chivedeal::requests

#endif
