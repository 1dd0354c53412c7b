#ifndef CHIVEDEAL_MEMBERSHIP_INSTANCE_SOURCE_HPP
#define CHIVEDEAL_MEMBERSHIP_INSTANCE_SOURCE_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/membership/endpoint.hpp"
#include "chivedeal/membership/reclaim_notice.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::membership {

/// The platform's instance list and reclaim notices. Calls block for a bounded time; errors are
/// `io_error`, `timeout` and `malformed_message`.
class instance_source
{
public:
    virtual ~instance_source() = default;

    virtual result<std::vector<endpoint>> instances() = 0;

    /// Notices with a sequence above `after`.
    virtual result<std::vector<reclaim_notice>> notices(std::uint64_t after) = 0;
};

} // namespace chivedeal::membership

#endif
