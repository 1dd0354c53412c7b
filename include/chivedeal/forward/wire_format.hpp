#ifndef CHIVEDEAL_FORWARD_WIRE_FORMAT_HPP
#define CHIVEDEAL_FORWARD_WIRE_FORMAT_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/endpoint_record.hpp"
#include "chivedeal/forward/operator_record.hpp"
#include "chivedeal/forward/rollout_status.hpp"
#include "chivedeal/forward/stored_record.hpp"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Converts between values and the platform's records and bodies. Malformed input is reported as
/// `malformed_message` with the name of the field.
class wire_format
{
public:
    virtual ~wire_format() = default;

    virtual result<operator_record> decode_operator_record(const stored_record& record) const = 0;
    virtual result<endpoint_record> decode_endpoint(const stored_record& record) const = 0;
    virtual result<rollout_status> decode_rollout_status(const stored_record& record) const = 0;
    virtual std::string rollout_status_key(const rollout_status& status) const = 0;
    virtual std::string encode_rollout_status(const rollout_status& status) const = 0;

    /// Response body for a caller that requests addresses.
    virtual std::string encode_addresses(const std::vector<address>& addresses,
                                         absl::Duration ttl) const = 0;
    /// Names of the query parameters with the host and the caller's region in a directory request.
    virtual std::string host_parameter() const = 0;
    virtual std::string region_parameter() const = 0;
    /// Paths of the directory and readiness requests.
    virtual std::string directory_path() const = 0;
    virtual std::string ready_path() const = 0;
};

} // namespace chivedeal::forward

#endif
