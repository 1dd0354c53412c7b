#ifndef CHIVEDEAL_FORWARD_RESPONSE_MATCHER_HPP
#define CHIVEDEAL_FORWARD_RESPONSE_MATCHER_HPP

#include "chivedeal/core/id.hpp"

#include <string>

namespace chivedeal::forward {

struct http_response_head;

/// Tells which request a response on one connection belongs to.
///
/// A faulty endpoint may repeat a response late, when the connection carries the next request. The
/// identifier that endpoints echo tells the two apart. A repeated response without one can't be
/// told from the awaited response once the connection has carried another.
class response_matcher
{
public:
    enum class match
    {
        awaited,
        /// The endpoint echoes no identifiers, and the connection has carried another response.
        probably_awaited,
        /// The response belongs to another request; the awaited one may follow.
        earlier,
        /// The response names several requests, or none although an earlier one did.
        unknown,
    };

    /// `id_field` is the header field in which endpoints echo the identifier.
    match on_head(const http_response_head& head, const std::string& id_field,
                  const request_id& expected);

private:
    bool m_has_carried_response = false;
    bool m_echoes_identifiers = false;
};

} // namespace chivedeal::forward

#endif
